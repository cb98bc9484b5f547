// Package local runs the whole system in one process over loopback with the stand-ins,
// for a first look, for tests and for the load tool.
package local
