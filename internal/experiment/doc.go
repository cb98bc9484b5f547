// Package experiment simulates the scheduling engine in virtual time with simulated runners, and
// compares scheduling policies on the same arrivals.
package experiment
