// Package command implements the jasminebay command line.
package command
