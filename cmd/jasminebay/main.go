// Command jasminebay runs the roles of the scheduler and the tools around it.
package main

import (
	"os"

	"github.com/jasminebay/jasminebay/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
