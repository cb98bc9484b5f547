// Package flowpb holds the messages of jobs made of steps, as they are stored and as processes
// exchange them.
package flowpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative flow.proto
