// Package http1 serves HTTP/1.1 to clients that keep their connections open, and stops without closing
// a connection on which a request has arrived.
package http1
