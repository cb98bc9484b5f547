// Package intake decides how much of a process's memory and how many of its descriptors the connections
// of clients may hold, and which connection is closed when there is not enough.
package intake
