// Package owner runs the engine of a cell: one goroutine holds its state, every change is
// committed to the key-value service under the fence of the cell's head before it has an
// effect, and sessions carry orders to agents and replies to entries.
package owner
