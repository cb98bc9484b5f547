package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration is how long a case may run.
const maxDuration = 110 * time.Second

// cases are the scripts, by the name that run.sh gives.
var cases = map[string]func(d *deployment, trouble bool) error{
	"advice-lost-runner": adviceLostRunner,
	"gang-apart":         gangApart,
	"changed-kind":       changedKind,
	"advised-inbox":      advisedInbox,
	"config-in-takeover": configInTakeover,
	"timed-takeover":     timedTakeover,
	"late-start-reborn":  lateStartReborn,
	"restarted-agent":    restartedAgent,
}

var errTimeout = errors.New("the case took too long")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

func execute(run func(*deployment, bool) error, path string) int {
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.record.Close()
	d, err := newDeployment(w)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.stopAll()
	stop := make(chan struct{})
	defer close(stop)
	go w.runEvery(10*time.Millisecond, stop)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- run(d, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-time.After(maxDuration):
		err = errTimeout
	case s := <-signals:
		err = fmt.Errorf("signal %s", s)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.note("the case could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case len(w.broken) > 0:
		w.note("result: broken")
		fmt.Println("broken:", w.broken[0])
		return exitBroken
	}
	w.note("result: held")
	fmt.Println("held")
	return exitHeld
}
