package main

import (
	"fmt"
	"time"
)

const (
	// cutTime is how long the machine is cut off, and darkTime how long its runner is down behind the cut.
	cutTime  = 5500 * time.Millisecond
	darkTime = 140 * time.Millisecond
	// uptime is how long the runners are up before.
	uptime = 8 * time.Second
)

// crashAt makes the runner that gets the first start of a task crash silently before it carries that out,
// and start again under its id. It calls then with the machine.
func (w *world) crashAt(task string, then func(m *machine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashTask, w.crashed = task, then
}

// crashes reports whether a start is the one at which the runner crashes, and lets it crash.
func (m *machine) crashes(task string) bool {
	w := m.world
	m.mu.Lock()
	defer m.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if task == "" || task != w.crashTask {
		return false
	}
	w.crashTask = ""
	w.write("%s: gets the start of %s and crashes before it answers", m.name, task)
	m.dark = true
	go w.crashed(m)
	time.AfterFunc(darkTime, m.restart)
	return true
}

// restart ends the crash of a runner, which holds nothing of before.
func (m *machine) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.life
	l.born, l.token, l.leaseEnd, l.runs, l.newest, l.ends, l.lastEnd = time.Now(), 0, 0, map[string]*run{}, map[string]uint32{}, nil, 0
	m.dark = false
	m.world.record("%s: runner %s has started again under its id, born %d", m.name, l.id, l.born.UnixMilli())
	m.notify()
}

// playReborn plays a job whose only task lasts. The disruption is that the machine to which it is given is
// cut off, and that its runner crashes behind the cut and starts again.
func playReborn(w *world, trouble bool) error {
	v := &views{relays: map[string]map[string]*relay{}, delay: storeTime}
	w.storeAt = v.serveView(w, "")
	for _, name := range []string{"edge-kirishima-a-1", "edge-aso-b-1", "edge-ebino-c-1"} {
		if err := w.addEntry(name); err != nil {
			return err
		}
	}
	for i := range 8 {
		name := fmt.Sprintf("m-%d", i+1)
		w.storeAt = v.serveView(w, "side-"+name)
		if err := w.addMachine(name, 4000); err != nil {
			return err
		}
	}
	time.Sleep(uptime)
	w.job, w.count, w.mayMiss = "5c0e7a21d94b36f8", 1, 1
	if trouble {
		w.crashAt(w.task(0), func(m *machine) {
			v.cut("side-"+m.name, "", true)
			w.record("%s is cut off from the entries", m.name)
			time.AfterFunc(cutTime, func() {
				v.cut("side-"+m.name, "", false)
				w.record("%s is not cut off any more", m.name)
			})
		})
	}
	if !w.submit(w.job, `{"spec":"watch","phases":[{"count":1,"cpu":1000,"memMb":1000,"estimateMs":1000,"longRunning":true}]}`) {
		return errTimeout
	}
	told := false
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(watchInterval) {
		if n := w.jobRuns(w.job); n > 1 && !told {
			told = true
			w.mu.Lock()
			w.broken = append(w.broken, "TWICE")
			w.write("TWICE: %d runs of %s at the same time, on runners that are up", n, w.task(0))
			w.mu.Unlock()
		}
	}
	return nil
}
