package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin/relay"
)

const (
	prefix = "/renders/"
	jobID  = "5c0e7a21d94b36f8"
)

// runnerCount makes one runner an eighth, which is less than the share of a site's disruptions.
const runnerCount = 8

// newRunners starts the entries, and agents with runners, which begin once their agents run.
func newRunners(d *deployment, labels func(i int) []string, serviceOf func(i int) string) error {
	for i := range runnerCount {
		d.w.runners = append(d.w.runners, &runner{
			w: d.w, machine: fmt.Sprintf("m%d", i+1), service: serviceOf(i), cpu: 16000, mem: 64000, runs: map[string]*activeRun{}, newest: map[string]uint32{}, lateStart: map[string]time.Duration{},
			changed: make(chan struct{}), beats: make(chan struct{}),
		})
	}
	if err := d.startAll(d.w.runners); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for i, r := range d.w.runners {
		r.begin(fmt.Sprintf("i-%04d", i+1), labels(i), 0)
	}
	return nil
}

// rack returns the labels of a runner: its kind, and one of racks of three.
func rack(i int) []string { return []string{"a", fmt.Sprintf("r%d-1", i/3+1)} }

func oneService(int) string { return service }

// halves splits the runners between two services.
func halves(i int) string {
	if i < runnerCount/2 {
		return service
	}
	return otherService
}

// restart begins the next life of a runner that has crashed.
func restart(d *deployment, r *runner, id string, labels []string, firstBeat time.Duration) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	r.begin(id, labels, firstBeat)
}

func crash(d *deployment, r *runner) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	r.crash()
}

// LOST holds for a task that lasts from 6 s after its last run: nothing may run for 3 s, if these and the 4 s
// before are calm.
const (
	afterLastRun = 6 * time.Second
	calmBefore   = 4 * time.Second
	longestIdle  = 3 * time.Second
)

// checkIdle watches a task that lasts for a time. All machines are calm since calmSince.
func checkIdle(d *deployment, task string, calmSince time.Time, length time.Duration) {
	lastRun, idleSince, found := time.Now(), time.Time{}, false
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		if len(d.runningOn(task)) > 0 {
			lastRun, idleSince = now, time.Time{}
			continue
		}
		if now.Sub(lastRun) < afterLastRun || now.Sub(calmSince) < calmBefore {
			continue
		}
		if idleSince.IsZero() {
			idleSince = now
		}
		if now.Sub(idleSince) >= longestIdle && !found {
			found = true
			d.w.mu.Lock()
			d.w.breaks("LOST: nothing runs of %s for %.1f s, calm for %.1f s, though there is room for it", task, now.Sub(lastRun).Seconds(), now.Sub(calmSince).Seconds())
			d.w.mu.Unlock()
		}
	}
}

// adviceLostRunner has a task that lasts on a queue with advice. Only the runners of machine m1 may run it.
// The runner of m1 crashes and is back at once, in another life under another id.
func adviceLostRunner(d *deployment, trouble bool) error {
	d.w.ticketed = true
	d.w.approve = func(_ string, r *runner) bool { return r.machine == "m1" }
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1, Advised: true})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if err := d.submit(prefix, jobID, step{Count: 1, CPU: 2000, MemMb: 4000, Lasts: true}); err != nil {
		return err
	}
	task := jobID + ".0.0.0"
	if !await(10*time.Second, func() bool { return len(d.runningOn(task)) > 0 }) {
		return fmt.Errorf("the task did not start")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		crash(d, d.w.runners[0])
		time.Sleep(crashTime)
		restart(d, d.w.runners[0], "i-0101", rack(0), 0)
	}
	checkIdle(d, task, time.Now(), 25*time.Second)
	return nil
}

// gangApart has a gang of which no two tasks may run on one runner. One of the runners is lost
// for good.
func gangApart(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if err := d.submit(prefix, jobID, step{Count: runnerCount, CPU: 2000, MemMb: 4000, Gang: true, Apart: 1, WorkMs: 8000}); err != nil {
		return err
	}
	if !await(10*time.Second, func() bool {
		for i := range runnerCount {
			if len(d.runningOn(fmt.Sprintf("%s.0.0.%d", jobID, i))) == 0 {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the gang did not start")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		crash(d, d.w.runners[runnerCount-1])
	}
	time.Sleep(15 * time.Second)
	return nil
}

// changedKind has short jobs that require the label "a", which only the runner of m1 has. That crashes and
// starts again under its id as one of kind "b".
func changedKind(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, func(i int) []string {
		if i == 0 {
			return rack(i)
		}
		return []string{"b", rack(i)[1]}
	}, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(12 * time.Second)
	crashed := false
	for n := 0; time.Now().Before(stop); n++ {
		if err := d.submit(prefix, fmt.Sprintf("5c0e7a21d94b%04x", n), step{Count: 2, CPU: 1000, MemMb: 1000, Label: "a", WorkMs: 300}); err != nil {
			break
		}
		if trouble && n == 15 && !crashed {
			crashed = true
			crash(d, d.w.runners[0])
			go func() {
				time.Sleep(crashTime)
				restart(d, d.w.runners[0], "i-0001", []string{"b", "r1-1"}, firstBeat)
			}()
		}
		time.Sleep(150 * time.Millisecond)
	}
	return nil
}

// Figures of the pages and of the site's disruptions.
const (
	crashTime   = 3 * time.Second
	cutTime     = 5500 * time.Millisecond
	finish      = 14 * time.Second
	slowFactor  = 60
	killTime    = 3500 * time.Millisecond
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	contact     = 3 * time.Second
	// changeDelay is how long after the acquisition of the cell the operator's change comes.
	changeDelay = 120 * time.Millisecond
)

var errNoOwner = errors.New("no entry owns the cell")

// checkUnfinished watches a job that was accepted from a time on: it may not have nothing running for 3 s
// unless it has ended.
func checkUnfinished(d *deployment, path string, tasks []string, from time.Time, length time.Duration) {
	time.Sleep(time.Until(from))
	idleSince := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if slices.ContainsFunc(tasks, func(t string) bool { return len(d.runningOn(t)) > 0 }) {
			idleSince = time.Now()
		}
	}
	status, answer := d.send(d.from, "GET", path, nil)
	d.w.note("client: GET %s -> %d %v", path, status, answer)
	if idle := time.Since(idleSince); answer["state"] != "completed" && idle >= longestIdle {
		d.w.mu.Lock()
		d.w.breaks("LOST: %s was accepted, is %v, and nothing runs of it for %.1f s, %.1f s after the end of the traffic", path, answer["state"], idle.Seconds(), time.Since(from.Add(-finish)).Seconds())
		d.w.mu.Unlock()
	}
}

// firstBeat is when a runner sends its first heartbeat after its start, which may take heartbeatMs, 1,100 ms.
const firstBeat = 550 * time.Millisecond

// advisedInbox has a job on a queue with advice, which an entry accepts while it is cut off from the others.
func advisedInbox(d *deployment, trouble bool) error {
	d.w.ticketed = true
	d.w.approve = func(string, *runner) bool { return true }
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1, Advised: true})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	owner := d.owner()
	if owner < 0 {
		return errNoOwner
	}
	if err := d.submit(prefix, "5c0e7a21d94b0001", step{Count: 2, CPU: 2000, MemMb: 4000, WorkMs: 1000}); err != nil {
		return err
	}
	d.from = (owner + 1) % len(d.entries)
	if trouble {
		d.cut(d.from)
		time.Sleep(2 * time.Second)
	}
	err := d.submit(prefix, jobID, step{Count: 2, CPU: 2000, MemMb: 4000, WorkMs: 1000})
	trafficEnd := time.Now()
	time.Sleep(cutTime - 2*time.Second)
	if trouble {
		d.heal(d.from)
	}
	if err != nil {
		return err
	}
	checkUnfinished(d, prefix+jobID, []string{jobID + ".0.0.0", jobID + ".0.0.1"}, trafficEnd.Add(finish), 12*time.Second)
	return nil
}

// timedTakeover has a job that is due some seconds after it was accepted. The entry that decides is killed
// before.
func timedTakeover(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	owner := d.owner()
	if owner < 0 {
		return errNoOwner
	}
	d.from = (owner + 1) % len(d.entries)
	due := time.Now().Add(dueAfter)
	if err := d.submitTimed(prefix, jobID, due, step{Count: 2, CPU: 2000, MemMb: 4000, WorkMs: 1000}); err != nil {
		return err
	}
	trafficEnd := time.Now()
	time.Sleep(time.Second)
	if trouble {
		d.kill(d.entries[owner])
		time.Sleep(killTime)
		if err := d.restart(d.entries[owner]); err != nil {
			return err
		}
	}
	checkUnfinished(d, prefix+jobID, []string{jobID + ".0.0.0", jobID + ".0.0.1"}, trafficEnd.Add(finish), 12*time.Second)
	return nil
}

// lateStartReborn has a task whose first start gets no answer and is carried out late. Meanwhile the task is
// done, and its runner is cut off, crashes and starts again under its id.
func lateStartReborn(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	task := jobID + ".0.0.0"
	if trouble {
		d.w.mu.Lock()
		for _, r := range d.w.runners {
			r.lateStart[task] = lateBy
		}
		d.w.mu.Unlock()
	}
	// The start is one of twenty.
	for n := range 19 {
		if err := d.submit(prefix, fmt.Sprintf("5c0e7a21d94b%04x", n), step{Count: 1, CPU: 1000, MemMb: 1000, WorkMs: 500}); err != nil {
			return err
		}
	}
	submittedAt := time.Now()
	if err := d.submit(prefix, jobID, step{Count: 1, CPU: 1000, MemMb: 1000, WorkMs: 1000}); err != nil {
		return err
	}
	var on *runner
	if !await(5*time.Second, func() bool {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		for _, r := range d.w.runners {
			if r.runs[task] != nil {
				on = r
			}
		}
		return on != nil
	}) {
		return errors.New("the task did not start")
	}
	d.w.mu.Lock()
	for _, r := range d.w.runners {
		delete(r.lateStart, task)
	}
	d.w.mu.Unlock()
	if !await(5*time.Second, func() bool {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		return d.w.settled[task]
	}) {
		return errors.New("the end of the task was not taken note of")
	}
	if trouble {
		time.Sleep(time.Until(submittedAt.Add(lateBy - cutTime + time.Second)))
		d.w.mu.Lock()
		on.cut(true)
		d.w.mu.Unlock()
		time.Sleep(time.Second)
		crash(d, on)
		time.Sleep(time.Second)
		restart(d, on, on.id, on.labels, 0)
		time.Sleep(cutTime - 2*time.Second)
		d.w.mu.Lock()
		on.cut(false)
		d.w.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	return nil
}

// restartedAgent has a start that gets no answer and is carried out late. Its machine is cut off, and agent and
// runner there are killed and start again.
func restartedAgent(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, rack, oneService); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for n := range 19 {
		if err := d.submit(prefix, fmt.Sprintf("5c0e7a21d94b%04x", n), step{Count: 1, CPU: 1000, MemMb: 1000, WorkMs: 500}); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	task := jobID + ".0.0.0"
	if trouble {
		d.w.mu.Lock()
		for _, r := range d.w.runners {
			r.lateStart[task] = rebootLateBy
		}
		d.w.mu.Unlock()
	}
	if err := d.submit(prefix, jobID, step{Count: 1, CPU: 1000, MemMb: 1000, Lasts: true}); err != nil {
		return err
	}
	if !trouble {
		time.Sleep(10 * time.Second)
		return nil
	}
	at := -1
	if !await(5*time.Second, func() bool {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		at = slices.Index(d.w.runners, d.w.lateOn)
		return at >= 0
	}) {
		return errors.New("the task was not ordered")
	}
	on, agent := d.w.runners[at], d.agents[at]
	cutAt := time.Now()
	d.w.note("%s and its runner are cut off from the entries, and killed", agent.name)
	d.network.Set(agent.name, relay.Mode{StallToServer: true, StallFromServer: true})
	d.kill(agent)
	d.w.mu.Lock()
	on.crash()
	for _, r := range d.w.runners {
		delete(r.lateStart, task)
	}
	d.w.mu.Unlock()
	time.Sleep(time.Second)
	restart(d, on, on.id, on.labels, 0)
	if err := d.restart(agent); err != nil {
		return err
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	d.w.note("%s is no longer cut off", agent.name)
	d.network.Set(agent.name, relay.Mode{})
	time.Sleep(8 * time.Second)
	return nil
}

// rebootLateBy is how late the start is carried out by the runner's next life, which may be 2 to 12 s.
const rebootLateBy = 2500 * time.Millisecond

// lateBy is how late the start is carried out, which may be 2 to 12 s.
const lateBy = 8 * time.Second

// dueAfter is how long after it is handed in a job is due.
const dueAfter = 8 * time.Second

// configInTakeover has the operator move a queue to another service while an entry takes over from one that was
// killed. The store is slow meanwhile.
func configInTakeover(d *deployment, trouble bool) error {
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1})
	if err := newRunners(d, rack, halves); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	owner := d.owner()
	if owner < 0 {
		return errNoOwner
	}
	if err := d.submit(prefix, "5c0e7a21d94b0001", step{Count: 2, CPU: 2000, MemMb: 4000, WorkMs: 1000}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for len(d.acquired) > 0 {
		<-d.acquired
	}
	restarted := make(chan struct{})
	if trouble {
		d.w.note("the store is slow")
		d.slow.Store(slowFactor)
		d.kill(d.entries[owner])
		killedAt := time.Now()
		d.from = (owner + 1) % len(d.entries)
		defer func() { <-restarted }()
		go func() {
			defer close(restarted)
			time.Sleep(time.Until(killedAt.Add(killTime)))
			if err := d.restart(d.entries[owner]); err != nil {
				d.w.note("restarting an entry failed: %s", err)
			}
		}()
		select {
		case <-d.acquired:
		case <-time.After(10 * time.Second):
			return errNoOwner
		}
		time.Sleep(changeDelay)
	}
	d.configure(route{Name: "renders", Prefix: prefix, Priority: 1, Service: otherService})
	acknowledged := time.Now()
	time.Sleep(2 * time.Second)
	d.slow.Store(1)
	d.w.note("the store answers as usual")
	time.Sleep(time.Until(acknowledged.Add(configApply + maxStretch + contact)))
	d.w.mu.Lock()
	d.w.service = otherService
	d.w.mu.Unlock()
	for n := range 20 {
		if err := d.submit(prefix, fmt.Sprintf("5c0e7a21d94b%04x", 16+n), step{Count: 2, CPU: 1000, MemMb: 1000, WorkMs: 300}); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}
