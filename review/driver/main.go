// Command driver plays the cases of the review that are no days: it starts the project's own programs
// as separate processes with stand-ins around them, and judges what the stand-ins see.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errTimeout = errors.New("the condition did not come true in time")

func main() { os.Exit(play()) }

// play plays the case named by the first argument, with the program and the folder of the record in the
// others.
func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE PROGRAM FOLDER")
		return exitNotRun
	}
	cases := map[string]func(w *world, trouble bool) error{"killed": playKilled, "crowded": playCrowded, "silent": playSilent, "cancelled": playCancelled, "reborn": playReborn}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.stop()
		os.Exit(exitNotRun)
	}()
	done := make(chan struct{})
	defer close(done)
	go w.observe(done)
	if err = f(w, os.Getenv("TROUBLE") != "0"); err != nil {
		w.record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		w.write("broken: %v", w.broken)
		fmt.Println("broken:", w.broken)
		return exitBroken
	}
	w.write("all rules that are judged held")
	fmt.Println("held")
	return exitHeld
}

func waitFor(limit time.Duration, f func() bool) error {
	for deadline := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errTimeout
		}
	}
	return nil
}

// begin starts a deployment of machines with the names given, and a job whose tasks last, at most one of
// which may be away. It returns once all of them are at work.
func (w *world) begin(names []string, tasks int) error {
	if err := w.addEntry("edge-kirishima-a-1"); err != nil {
		return err
	}
	return w.beginJob(names, tasks)
}

// beginJob is begin without the entry.
func (w *world) beginJob(names []string, tasks int) error {
	for _, name := range names {
		if err := w.addMachine(name, 4000); err != nil {
			return err
		}
	}
	w.job, w.count, w.mayMiss = "5c0e7a21d94b36f8", tasks, 1
	body := fmt.Sprintf(`{"spec":"watch","phases":[{"count":%d,"cpu":2500,"memMb":1000,"estimateMs":1000,"longRunning":true,"antiAffinity":1,"mayMiss":%d}]}`, w.count, w.mayMiss)
	w.record("the job is %s", body)
	if err := waitFor(10*time.Second, func() bool {
		status, _ := w.call("POST", w.job, body)
		w.record("POST %s: %d", w.job, status)
		return status == 200
	}); err != nil {
		return err
	}
	if err := waitFor(10*time.Second, func() bool { return w.tasksAtWork() == w.count }); err != nil {
		return err
	}
	w.record("all %d tasks are at work", w.count)
	time.Sleep(3 * time.Second)
	return nil
}

// holders returns the names of the machines on which tasks run.
func (w *world) holders() (names []string) {
	for _, m := range w.machines {
		m.mu.Lock()
		if m.life != nil && len(m.life.runs) > 0 {
			names = append(names, m.name)
		}
		m.mu.Unlock()
	}
	return names
}

// request writes a wave as the operator does.
func (w *world) request(number uint64, names []string, most int, within time.Duration) error {
	w.mu.Lock()
	w.waves[number], w.caps[number] = names, most
	w.mu.Unlock()
	raw, err := json.Marshal(map[string]any{"wave": number, "machines": names, "durationS": within.Seconds(), "cap": most})
	if err != nil {
		return err
	}
	w.record("the operator writes wave %d: %s", number, raw)
	w.store.Put(fmt.Sprintf("op/wave/%d", number), raw)
	return nil
}

// awaitWave waits until a wave is said to be completed.
func (w *world) awaitWave(number uint64, limit time.Duration) error {
	return waitFor(limit, func() bool {
		var status struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(w.store.Value(fmt.Sprintf("status/wave/%d", number)), &status)
		return status.State == "completed"
	})
}

// playKilled plays a wave over the machines of a job whose tasks last, with room for them on two others.
// The disruption is that all processes of the system are killed at the same moment.
func playKilled(w *world, trouble bool) error {
	if err := w.begin([]string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6"}, 4); err != nil {
		return err
	}
	if err := w.request(7, w.holders(), 2, 60*time.Second); err != nil {
		return err
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		killed := w.processes
		if os.Getenv("KILL") == "entry" {
			killed = w.processes[:1]
		}
		if err := w.killAndRestart(killed); err != nil {
			return err
		}
	}
	if err := w.awaitWave(7, 80*time.Second); err != nil {
		w.record("the wave is not completed after 80 s, which is not judged")
	}
	return nil
}

// playCrowded plays a wave over the machines of a job whose tasks last, with room for them on one other.
// The disruption is that the runner on that one is lost for good.
func playCrowded(w *world, trouble bool) error {
	if err := w.begin([]string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"}, 7); err != nil {
		return err
	}
	holders := w.holders()
	if trouble {
		for _, m := range w.machines {
			if !slices.Contains(holders, m.name) {
				w.record("the runner on %s is lost for good", m.name)
				m.end("down")
			}
		}
	}
	if err := w.request(7, holders, 2, 60*time.Second); err != nil {
		return err
	}
	if err := w.awaitWave(7, 80*time.Second); err != nil {
		w.record("the wave is not completed after 80 s, which is not judged")
	}
	return nil
}
