// Package plot draws the results of experiments. It is apart from package experiment since its
// fonts are parsed at start, which agents and entries should not pay for.
package plot
