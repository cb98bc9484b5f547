// Package cellpb defines the protobuf messages of a cell's durable state.
package cellpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative cell.proto
