package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryBytes returns the memory that a process occupies.
func memoryBytes(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for s := bufio.NewScanner(file); s.Scan(); {
		if fields := strings.Fields(s.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// The rule on faults counts a day on which processes end by themselves this often on each of so many machines, which
// are more than a tenth of those in use.
const (
	faultEnds     = 3
	faultMachines = 2
)

// guardMemory kills each entry that exceeds the memory of its machine, as the platform does, and starts it
// again after a second, until the returned function is called. That breaks the rule on faults if it was necessary
// often enough.
func (f *fleet) guardMemory() (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	kills := map[string]int{}
	f.guarded = true
	go func() {
		defer close(done)
		highest := map[string]int64{}
		for {
			select {
			case <-ended:
				f.note("most memory of each entry: %v", highest)
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, name := range f.order[:len(f.entries)] {
				used := memoryBytes(f.procs[name].cmd.Process.Pid)
				highest[name] = max(highest[name], used>>20)
				if used > entryMemoryMB<<20 {
					f.note("process %s has %d MB of memory, its machine has %d MB: it is killed", name, used>>20, entryMemoryMB)
					kills[name]++
					f.signal(name, syscall.SIGKILL)
					<-f.procs[name].exited
					time.Sleep(time.Second)
					_ = f.start(name)
				}
			}
		}
	}()
	return func() {
		close(ended)
		<-done
		often := 0
		for _, n := range kills {
			if n >= faultEnds {
				often++
			}
		}
		f.note("ends of processes that exceeded the memory of their machines: %v", kills)
		if often >= faultMachines {
			f.breaks("on %d machines, processes ended by themselves %d times or more: %v", often, faultEnds, kills)
		}
	}
}

// cancelledJobs has clients hand in large jobs of legal size and cancel each as soon as it is accepted. Beside them
// an ordinary client hands in a job each second.
func cancelledJobs(f *fleet, trouble bool) error {
	if err := f.deploy(3, 3, 64000); err != nil {
		return err
	}
	stop := f.guardMemory()
	steps := 980
	if !trouble {
		steps = 4
	}
	body := largeBody(steps)
	f.note("jobs of %d bytes are handed in and cancelled; the limit is 262144", len(body))
	var work sync.WaitGroup
	slots := make(chan struct{}, 16)
	var mu sync.Mutex
	statuses := map[string]int{}
	var ordinary []string
	end := time.Now().Add(90 * time.Second)
	nextOrdinary := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			path := fmt.Sprintf("/patient/%016x", 0xaa000000+n)
			ok, tries := f.submit(n, path, body, 1)
			cancelled := 0
			if ok {
				cancelled = f.call(n, http.MethodDelete, path, "", 3*time.Second).status
			}
			mu.Lock()
			statuses[fmt.Sprint(tries, " cancel ", cancelled)]++
			mu.Unlock()
		})
		if time.Now().After(nextOrdinary) {
			nextOrdinary = time.Now().Add(time.Second)
			work.Go(func() {
				path := fmt.Sprintf("/urgent/%016x", 0xbb000000+n)
				ok, tries := f.submit(n, path, smallBody, 3)
				f.note("ordinary job %s: %v", path, tries)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					ordinary = append(ordinary, path)
				}
			})
		}
		time.Sleep(7 * time.Millisecond)
	}
	work.Wait()
	f.note("answers: %v", statuses)
	err := f.checkCompleted(ordinary)
	stop()
	return err
}
