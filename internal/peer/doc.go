// Package peer connects jasminebay's processes. They exchange length-delimited
// protobuf frames on yamux streams over TCP.
//
// The dialling side opens the first stream, the control stream, sends a Hello on it
// and reads a Welcome. After that either side may open streams; the first frame of a
// stream determines its purpose.
package peer
