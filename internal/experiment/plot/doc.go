// Package plot draws the results of experiments. It is separate from package experiment because
// its dependencies parse fonts at start-up, a cost that agents and entries should not bear.
package plot
