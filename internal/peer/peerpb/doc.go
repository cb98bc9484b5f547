// Package peerpb holds the messages that jasminebay's processes send each other.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
