// Driver-3 plays the cases of the third review: a small deployment of the project's own processes on
// loopback addresses, with stand-ins for the store, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// A case returns an error if it could not run.
var cases = map[string]func(f *fleet, trouble bool) error{
	"large-jobs":     largeJobs,
	"cancelled-jobs": cancelledJobs,
	"hopeless-jobs":  hopelessJobs,
	"failed-gang":    failedGang,
	"small-tasks":    smallTasks,
	"long-tasks":     longTasks,
	"wide-jobs":      wideJobs,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-3 CASE FOLDER")
		return exitFailed
	}
	f, err := newFleet(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	if err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0"); err != nil {
		f.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, text := range f.broken {
		fmt.Println("broken:", text)
	}
	if len(f.broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
