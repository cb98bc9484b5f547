// Package joblog lays out the open jobs of a cell in the key-value store. Each commit writes one
// segment, which holds the changes of all jobs of that commit, into a ring of items. A job is read
// from its last full record and the changes after it.
package joblog
