// Package scenario proves what must always hold: its tests run real processes with a
// fault-injecting relay on each link, as scripts under testdata say. docs/PROMISES.md
// lists what each script proves.
package scenario
