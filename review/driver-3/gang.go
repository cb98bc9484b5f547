package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// gang is one run of all tasks of a step that work only together.
type gang struct {
	mu      sync.Mutex
	missing int
	began   time.Time
	broken  bool
}

// joinGang adds a member to the gang of its step and run.
func (f *fleet) joinGang(task string, run, members int) *gang {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fmt.Sprintf("%s run %d", task[:strings.LastIndexByte(task, '.')], run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{missing: members}
		f.gangs[key] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.missing--; g.missing == 0 {
		g.began = time.Now()
	}
	return g
}

// ends returns how a member of the given age ends now, or nothing if it goes on.
func (g *gang) ends(age, work time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.broken:
		return "broken"
	case g.missing > 0 && age >= gangWait:
		return "alone"
	case g.missing <= 0 && time.Since(g.began) >= work:
		return "done"
	}
	return ""
}

// breakUp ends the gang, since a member has ended.
func (g *gang) breakUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// failTime is how long a runner fails all that it starts.
const failTime = 6500 * time.Millisecond

func (r *runner) fail(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
	r.fleet.note("runner %s fails all that it starts: %v", r.id, failing)
}

// failedGang has a client hand in jobs whose tasks work only together, while one of eleven runners fails all that
// it starts for some seconds. A job may be shown as failed only once its gang has failed as often as its queue allows.
func failedGang(f *fleet, trouble bool) error {
	const runners, members, allowed = 11, 8, 2
	if err := f.addEntries(3, ""); err != nil {
		return err
	}
	f.store.put("op/config", fmt.Appendf(nil, config, 1, 3, allowed))
	for i := range runners {
		r := newRunner(f, fmt.Sprintf("i-%02d", i), "hub", string(rune('a'+i%3)), 64000, "a", fmt.Sprintf("r1-%d", i/3))
		if err := f.addRunner(r); err != nil {
			return err
		}
	}
	if err := f.serves(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.runners[0].fail(true)
		time.AfterFunc(failTime, func() { f.runners[0].fail(false) })
	}
	body := fmt.Sprintf(`{"spec":"work-ms=1500 cpu=20000 gang=%d","phases":[{"count":%d,"cpu":20000,"memMb":100,"estimateMs":1500,"gang":true,"sameRack":true}]}`, members, members)
	var accepted []string
	for n := range 6 {
		path := fmt.Sprintf("/patient/%016x", 0xaa000000+n)
		ok, tries := f.submit(n, path, body, 3)
		f.note("job %s: %v", path, tries)
		if ok {
			accepted = append(accepted, path)
		}
		time.Sleep(3 * time.Second)
	}
	for _, path := range accepted {
		var state string
		await(20*time.Second, func() bool { state = f.state(0, path); return state == "completed" || state == "failed" })
		id := path[strings.LastIndexByte(path, '/')+1:]
		attempts := f.gangRuns(id)
		f.note("job %s is %s; its gang was started %d times", id, state, attempts)
		if state == "failed" && attempts < allowed {
			f.breaks("job %s is shown as failed after %d run of its gang, and %d are allowed", id, attempts, allowed)
		}
	}
	return nil
}

// gangRuns returns how many runs of a job's gang were started.
func (f *fleet) gangRuns(job string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.gangs {
		if strings.HasPrefix(key, job+".") {
			n++
		}
	}
	return n
}
