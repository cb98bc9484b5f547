package main

import (
	"fmt"
	"time"
)

// smallTasks has clients hand in 102 jobs of twelve small tasks that last, at once, which take a third of the
// processors. Ordinary jobs must be done on the rest.
func smallTasks(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	const jobs = 102
	count, cpu := 12, 50
	if !trouble {
		count, cpu = 2, 300
	}
	body := fmt.Sprintf(`{"spec":"lasting cpu=%d","phases":[{"count":%d,"cpu":%d,"memMb":10,"estimateMs":300,"longRunning":true}]}`, cpu, count, cpu)
	for n := range jobs {
		path := fmt.Sprintf("/urgent/%016x", 0xcc000000+n)
		ok, tries := f.submit(n, path, body, 3)
		f.note("job that lasts %s: %v", path, tries)
		if !ok {
			return fmt.Errorf("a job that lasts was refused: %v", tries)
		}
	}
	time.Sleep(3 * time.Second)
	for _, r := range f.runners {
		runs, used := r.use()
		f.note("runner %s has %d runs, which use %d of %d thousandths of a core", r.id, runs, used, r.cpu)
	}
	var accepted []string
	for n := range 20 {
		path := fmt.Sprintf("/urgent/%016x", 0xbb000000+n)
		ok, tries := f.submit(n, path, smallBody, 3)
		f.note("ordinary job %s: %v", path, tries)
		if ok {
			accepted = append(accepted, path)
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.note("%d of 20 ordinary jobs were accepted", len(accepted))
	return f.checkCompleted(accepted)
}

// use returns how many runs a runner has, and the room that they take.
func (r *runner) use() (runs int, cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.runs {
		cpu += a.cpu
	}
	return len(r.runs), cpu
}
