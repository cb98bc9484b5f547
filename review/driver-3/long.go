package main

import (
	"fmt"
	"time"
)

// longTasks has clients hand in a job whose tasks take seven times as long as it declares, and 40 ordinary jobs, one
// every half second. The ordinary jobs must be done on the runners, which have room.
func longTasks(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	estimate := 30_000
	if !trouble {
		estimate = 210_000
	}
	path := fmt.Sprintf("/patient/%016x", 0xcc000000)
	ok, tries := f.submit(0, path, fmt.Sprintf(`{"spec":"work-ms=210000 cpu=2000","phases":[{"count":24,"cpu":2000,"memMb":100,"estimateMs":%d}]}`, estimate), 3)
	f.note("job of long tasks %s: %v", path, tries)
	if !ok {
		return fmt.Errorf("the job was refused: %v", tries)
	}
	time.Sleep(4 * time.Second)
	var accepted []string
	for n := range 40 {
		path := fmt.Sprintf("/patient/%016x", 0xbb000000+n)
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
