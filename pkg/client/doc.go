// Package client is a client of an entry's HTTP APIs for callers and operators.
//
// A call returns an *Error if the system answers with a problem (RFC 9457). Any other error comes from
// the connection or from decoding; it is then unknown whether the call took effect.
package client
