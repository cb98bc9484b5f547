// Package owner runs the engine of one cell. A single goroutine holds the engine's state. Every
// change is committed to the key-value store, conditional on the head of the cell, before it takes
// effect. Sessions carry orders to agents and replies to entries.
package owner
