package main

import (
	"fmt"
	"time"
)

// wideJobs has clients hand in jobs of many short tasks, one after another. Beside them an ordinary client hands in
// jobs, which must be done.
func wideJobs(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	f.onlyCounts = true
	stop := f.guardMemory()
	const jobs = 100
	count := 20000
	if !trouble {
		count = 36
	}
	body := fmt.Sprintf(`{"spec":"work-ms=20 cpu=5","phases":[{"count":%d,"cpu":5,"memMb":1,"estimateMs":20}]}`, count)
	var accepted []string
	for n := range jobs {
		path := fmt.Sprintf("/patient/%016x", 0xaa000000+n)
		_, tries := f.submit(n, path, body, 1)
		f.note("job of %d tasks %s: %v", count, path, tries)
		if n%4 == 0 {
			path := fmt.Sprintf("/urgent/%016x", 0xbb000000+n)
			ok, tries := f.submit(n, path, smallBody, 3)
			f.note("ordinary job %s: %v", path, tries)
			if ok {
				accepted = append(accepted, path)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	err := f.checkCompleted(accepted)
	stop()
	f.noteCounts()
	return err
}
