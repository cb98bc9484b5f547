// Package peer speaks to jasminebay's other processes: protobuf frames on yamux
// streams over TCP.
//
// The dialling side opens the first stream, sends a Hello and reads a Welcome.
// After that each side may open streams; the first frame of a stream tells what
// it is for.
package peer
