package agent

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// grant is the lease under which the cell's owner lets this agent run attempts. Its duration counts
// from the time at which the agent sent the report that renewed it. That is before the owner starts
// to count, so the grant ends here first.
type grant struct {
	cell  string
	epoch uint64
	term  uint64
	until time.Time
	// duration is the length of the latest renewal; it is 0 if the grant was taken over from the
	// worker's lease.
	duration time.Duration
}

// accepts reports whether an update from an owner is not older than the current grant.
func (g grant) accepts(u *peerpb.Update) bool {
	if u.GetCell() != g.cell {
		return true
	}
	if u.GetEpoch() != g.epoch {
		return u.GetEpoch() > g.epoch
	}
	return u.GetTerm() >= g.term
}

// covers reports whether a command carries the epoch and term of the grant, and the grant has not
// ended.
func (g grant) covers(now time.Time, cell string, epoch, term uint64) bool {
	return g.cell == cell && g.epoch == epoch && g.term == term && now.Before(g.until)
}

// supersedes reports whether a command is from another cell, or from an older epoch or term.
func (g grant) supersedes(cell string, epoch, term uint64) bool {
	if g.cell != cell {
		return g.cell != ""
	}
	return epoch < g.epoch || (epoch == g.epoch && term < g.term)
}

// stopAt returns when attempts are checkpointed and stopped unless the grant is renewed. It is early
// enough for them to end before the grant does.
func (g grant) stopAt() time.Time { return g.until.Add(-g.duration / 4) }

// renew updates the grant from the owner's update, which answers the report sent at sent. An update
// from the same term that arrives late does not shorten the grant.
func (g *grant) renew(u *peerpb.Update, sent time.Time) {
	duration := time.Duration(u.GetGrantMillis()) * time.Millisecond
	until := sent.Add(duration)
	newer := u.GetCell() != g.cell || u.GetEpoch() != g.epoch || u.GetTerm() != g.term
	if newer || until.After(g.until) {
		g.until = until
	}
	g.cell, g.epoch, g.term, g.duration = u.GetCell(), u.GetEpoch(), u.GetTerm(), duration
}
