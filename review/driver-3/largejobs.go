package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// largeBody returns a job of legal size with many steps that follow each other, each of an image with a name as
// images have. It is due in an hour.
func largeBody(steps int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"spec":"work-ms=20 cpu=10","repeats":1,"startAtMs":%d,"intervalMs":1000,"phases":[`, time.Now().Add(time.Hour).UnixMilli())
	for i := range steps {
		if i > 0 {
			b.WriteString(`,`)
		}
		fmt.Fprintf(&b, `{"count":1,"cpu":10,"memMb":1,"estimateMs":20,"image":"registry.hub.example/plates/colour-separation/stage-%03d@sha256:%064x"`, i, i*7919)
		if i > 0 {
			fmt.Fprintf(&b, `,"after":[%d]`, i-1)
		}
		b.WriteString(`}`)
	}
	b.WriteString(`]}`)
	return b.String()
}

// smallBody is an ordinary job.
const smallBody = `{"spec":"work-ms=200 cpu=500","phases":[{"count":2,"cpu":500,"memMb":10,"estimateMs":200}]}`

// largeJobs has clients hand in large jobs of legal size, after which the owner is killed. Jobs that are accepted
// from then on must be done, and ordinary callers must get answers.
func largeJobs(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	count, steps := 136, 980
	if !trouble {
		steps = 4
	}
	f.submitLarge(count, largeBody(steps))
	owner := f.store.writer()
	f.kill(owner)
	accepted := f.submitAtOthers(owner)
	time.Sleep(2 * time.Second)
	if err := f.start(owner); err != nil {
		return err
	}
	time.Sleep(time.Second)
	taken := 0
	for n := range 10 {
		path := fmt.Sprintf("/urgent/%016x", 0xbb000000+n)
		a := f.call(n, http.MethodPost, path, smallBody, 3*time.Second)
		f.note("ordinary job %d: %d", n, a.status)
		if a.status == http.StatusOK {
			taken++
			accepted = append(accepted, path)
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.note("%d of 10 ordinary jobs were accepted after the kill", taken)
	if taken == 0 {
		f.breaks("none of 10 ordinary jobs was taken, one after another, later than 3 s after the kill")
	}
	return f.checkCompleted(accepted)
}

// submitAtOthers hands in jobs at the entries that were not killed, all at once, and returns the paths of those
// that were accepted.
func (f *fleet) submitAtOthers(killed string) (accepted []string) {
	var mu sync.Mutex
	var work sync.WaitGroup
	for n := range 12 {
		if entry := n % len(f.entries); f.order[entry] != killed {
			work.Go(func() {
				path := fmt.Sprintf("/urgent/%016x", 0xdd000000+n)
				a := f.call(entry, http.MethodPost, path, smallBody, 3*time.Second)
				f.note("job %s at %s: %d", path, f.order[entry], a.status)
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK {
					accepted = append(accepted, path)
				}
			})
		}
	}
	work.Wait()
	return accepted
}

// checkCompleted checks that accepted jobs are completed 14 s after the end of the traffic. The runners have room.
func (f *fleet) checkCompleted(accepted []string) error {
	end := time.Now().Add(14 * time.Second)
	for _, path := range accepted {
		for f.state(0, path) != "completed" && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
		}
		if state := f.state(1, path); state != "completed" {
			id := path[strings.LastIndexByte(path, '/')+1:]
			f.breaks("accepted job %s has the state %s 14 s after the end of the traffic, with room on the runners; its tasks were started %d times", id, state, f.startCount(id))
		}
	}
	for _, name := range f.order {
		if !f.guarded && f.hasEnded(name) {
			f.breaks("process %s has ended by itself", name)
		}
	}
	return nil
}

// submitLarge hands in a number of large jobs, eight at a time.
func (f *fleet) submitLarge(count int, body string) {
	f.note("%d jobs of %d bytes are handed in; the limit is 262144", count, len(body))
	var mu sync.Mutex
	var work sync.WaitGroup
	next, accepted := 0, 0
	for range 8 {
		work.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				mu.Unlock()
				if n >= count {
					return
				}
				ok, tries := f.submit(n, fmt.Sprintf("/patient/%016x", 0xaa000000+n), body, 1)
				f.note("large job %d: %v", n, tries)
				mu.Lock()
				if ok {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	f.note("%d of %d large jobs were accepted", accepted, count)
}
