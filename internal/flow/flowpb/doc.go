// Package flowpb holds the records of jobs made of steps, as they are stored and as they
// travel between the processes.
package flowpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative flow.proto
