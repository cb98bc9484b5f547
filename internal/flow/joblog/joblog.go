package joblog

import (
	"cmp"
	"slices"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Ring tracks which segments of a cell are still needed. A job's last full record must be written
// again before its segment is overwritten. A Ring is not safe for concurrent use.
type Ring struct {
	length uint64
	// last is the sequence number of the last segment that was written.
	last uint64
	// fullRecords maps each job to the segment with its last full record.
	fullRecords map[string]uint64
}

// NewRing returns a Ring of a number of segments of which none is written.
func NewRing(length int) *Ring {
	return &Ring{length: uint64(length), fullRecords: map[string]uint64{}}
}

// Next returns the sequence number of the next segment, and its index in the ring.
func (r *Ring) Next() (sequence uint64, index int) {
	return r.last + 1, int((r.last + 1) % r.length)
}

// RecordsDue returns the ids of the jobs that need full records in the next segment, which
// overwrites their last ones.
func (r *Ring) RecordsDue() (ids []string) {
	for id, sequence := range r.fullRecords {
		if sequence+r.length <= r.last+1 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Written records that the next segment has been written.
func (r *Ring) Written(s *flowpb.Segment) {
	r.last = s.GetSequence()
	for _, record := range s.GetJobs() {
		if record.GetJob() != nil {
			r.fullRecords[record.GetId()] = s.GetSequence()
		}
	}
}

// Remove records that the segments need no longer hold a job.
func (r *Ring) Remove(id string) { delete(r.fullRecords, id) }

// Stored is a job as the segments hold it.
type Stored struct {
	Job      *flowpb.Job
	Progress *flowpb.Progress
}

// Read returns the jobs that are held by the segments of a ring, and the Ring itself. The segments
// may be in any order. Changes of a job without a full record are left out.
func Read(segments []*flowpb.Segment, length int) (jobs map[string]Stored, r *Ring) {
	jobs, r = map[string]Stored{}, NewRing(length)
	sorted := slices.SortedFunc(slices.Values(segments), func(a, b *flowpb.Segment) int {
		return cmp.Compare(a.GetSequence(), b.GetSequence())
	})
	for _, s := range sorted {
		r.Written(s)
		for _, record := range s.GetJobs() {
			if record.GetJob() != nil {
				jobs[record.GetId()] = Stored{Job: record.GetJob(), Progress: record.GetProgress()}
			} else if stored, known := jobs[record.GetId()]; known {
				applyTasks(stored.Progress, record.GetTasks())
			}
		}
	}
	return jobs, r
}

// applyTasks applies changes of tasks to the progress of their job. Those of tasks that the job does
// not have are left out.
func applyTasks(p *flowpb.Progress, changes []*flowpb.TaskChange) {
	for _, c := range changes {
		for _, o := range p.GetOccurrences() {
			if o.GetNumber() == c.GetOccurrence() && int(c.GetTask()) < len(o.GetTasks()) {
				o.Tasks[c.GetTask()] = c.GetProgress()
			}
		}
	}
}
