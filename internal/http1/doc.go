// Package http1 serves HTTP/1.1 to clients that keep their connections open.
package http1
