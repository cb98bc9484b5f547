package cell

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
)

// Workers that fail the attempts of several jobs, or of one that does well elsewhere, are ejected. A job
// whose attempts fail on several workers and do well on none is at fault itself: its failures count
// against no worker.
const (
	ejectFailures = 3
	ejectMin      = 20 * time.Second
	ejectMax      = 10 * time.Minute
	// faultWorkers is the number of workers on which a job has to fail to be at fault.
	faultWorkers = 2
)

// jobFailures records where the attempts of a job have failed since one finished.
type jobFailures struct {
	workers map[string]bool
	// longest is the longest time that an attempt took to fail.
	longest time.Duration
}

// updateWorkerHealth judges a worker, and the job, by the end of an attempt that began at began.
func (o *Owner) updateWorkerHealth(w *worker, job string, ending cellpb.Ending, began, now time.Time) {
	switch ending {
	case cellpb.Ending_ENDING_FINISHED:
		w.failedJobs, w.ejectedFor, w.ejections = nil, nil, 0
		delete(o.control.failures, job)
	case cellpb.Ending_ENDING_FAILED:
		wasAtFault := o.atFault(job, now)
		o.recordFailure(w, job, now.Sub(began))
		if !wasAtFault && o.atFault(job, now) {
			o.log.Warn("job fails on several workers and does well on none", "job", job)
			o.withdrawEjections(now)
		}
		o.countFailure(w, job, now)
	}
}

// recordFailure records that an attempt of a job failed on a worker after a time.
func (o *Owner) recordFailure(w *worker, job string, took time.Duration) {
	f := o.control.failures[job]
	if f == nil {
		f = &jobFailures{workers: map[string]bool{}}
		o.control.failures[job] = f
	}
	f.workers[w.Name] = true
	f.longest = max(f.longest, took)
}

// atFault reports whether a job fails on several workers and does well on none.
func (o *Owner) atFault(job string, now time.Time) bool {
	f := o.control.failures[job]
	return f != nil && len(f.workers) >= faultWorkers && !o.doesWell(job, f, now)
}

// doesWell reports whether an attempt of the job goes on, where none has failed, for twice as long as
// those that failed.
func (o *Owner) doesWell(job string, f *jobFailures, now time.Time) bool {
	for name, w := range o.control.workers {
		if f.workers[name] {
			continue
		}
		for task, a := range w.assigned {
			jt := o.control.state.tasks[task]
			if jt != nil && jt.job.GetId() == job && a.mayHaveRun && now.Sub(a.placedAt) > 2*f.longest {
				return true
			}
		}
	}
	return false
}

// countFailure ejects a worker after several failures in a row that count against it. The job is "" if
// the worker has refused a start since it has failed, which counts in any case.
func (o *Owner) countFailure(w *worker, job string, now time.Time) {
	w.failedJobs = append(w.failedJobs, job)
	if o.atFault(job, now) || !o.incriminates(w.failedJobs, now) {
		w.failedJobs = w.failedJobs[max(0, len(w.failedJobs)-ejectFailures+1):]
		return
	}
	delay := min(ejectMin<<min(w.ejections, 8), ejectMax)
	w.ejections++
	w.ejectedUntil, w.ejectedFor = now.Add(delay), slices.Clone(w.failedJobs)
	// A single failure after the ejection has ended ejects the worker again.
	w.failedJobs = w.failedJobs[1:]
	o.log.Warn("worker ejected: it fails the tasks that it starts", "worker", w.Name, "seconds", delay.Seconds(), "jobs", w.ejectedFor)
}

// incriminates reports whether the failures of the jobs suffice to eject a worker.
func (o *Owner) incriminates(jobs []string, now time.Time) bool {
	count := 0
	for _, job := range jobs {
		if !o.atFault(job, now) {
			count++
		}
	}
	return count >= ejectFailures
}

// withdrawEjections ends the ejections for failures that do not count any more.
func (o *Owner) withdrawEjections(now time.Time) {
	for _, w := range o.control.workers {
		if now.Before(w.ejectedUntil) && !o.incriminates(w.ejectedFor, now) {
			w.ejectedUntil, w.ejectedFor, w.failedJobs = time.Time{}, nil, nil
			w.ejections--
			o.control.placementDue = true
			o.log.Info("ejection of a worker withdrawn", "worker", w.Name)
		}
	}
}

// forgetFailures drops what is known of jobs that the cell does not hold any more.
func (o *Owner) forgetFailures() {
	for job := range o.control.failures {
		if o.control.state.jobs[job] == nil {
			delete(o.control.failures, job)
		}
	}
}
