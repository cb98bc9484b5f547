// Package cell owns the batch tasks of a cell: a few hundred workers whose tasks one
// entry places, keeps under grants and makes durable by group commit.
//
// State is the durable part, changed by records alone. Journal writes the records and
// fences owners by compare-and-swap on one key. Owner decides.
package cell
