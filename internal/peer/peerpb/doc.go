// Package peerpb contains the protobuf messages that jasminebay's processes exchange.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
