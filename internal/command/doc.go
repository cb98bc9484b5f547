// Package command is the command line.
package command
