// Package cell schedules the batch tasks of a cell, which is a group of a few hundred workers with
// one entry as its owner. The owner places the tasks, keeps them running under time-limited
// grants, and makes every decision durable by group commit.
//
// State is the durable part and changes only by applying records. Journal persists the records and
// fences off previous owners by compare-and-swap on a single key. Owner makes the scheduling
// decisions.
package cell
