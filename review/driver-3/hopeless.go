package main

import (
	"fmt"
	"time"
)

// hopelessJobs has clients hand in two jobs that last and whose tasks fail during their startup, and 40 ordinary
// jobs, one every half second. The ordinary jobs must be done on the idle runners.
func hopelessJobs(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	spec := "lasting cpu=2000 fails-ms=150"
	if !trouble {
		spec = "lasting cpu=2000"
	}
	for n := range 2 {
		path := fmt.Sprintf("/urgent/%016x", 0xcc000000+n)
		ok, tries := f.submit(n, path, fmt.Sprintf(`{"spec":%q,"phases":[{"count":6,"cpu":2000,"memMb":100,"estimateMs":300,"longRunning":true}]}`, spec), 3)
		f.note("job that lasts %s: %v", path, tries)
		if !ok {
			return fmt.Errorf("a job that lasts was refused: %v", tries)
		}
	}
	var accepted []string
	for n := range 40 {
		path := fmt.Sprintf("/urgent/%016x", 0xbb000000+n)
		ok, tries := f.submit(n, path, smallBody, 3)
		f.note("ordinary job %s: %v", path, tries)
		if ok {
			accepted = append(accepted, path)
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.note("%d of 40 ordinary jobs were accepted", len(accepted))
	return f.checkCompleted(accepted)
}
