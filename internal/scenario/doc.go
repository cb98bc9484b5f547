// Package scenario holds the end-to-end tests of the system's guarantees. The tests run real
// processes with a fault-injecting relay on each link; the scripts under testdata control them.
// docs/PROMISES.md lists the guarantees that each script verifies.
package scenario
