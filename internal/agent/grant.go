package agent

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// grant is the lease under which the cell's owner lets this agent run attempts. It is
// counted on this agent's clock from the moment that the renewed report was sent, which
// is before the owner counts it from.
type grant struct {
	cell  string
	epoch uint64
	term  uint64
	until time.Time
	// span is the length of the last grant.
	span time.Duration
}

// accepts reports whether an update of the owner is not older than the grant in force.
func (g grant) accepts(u *peerpb.Update) bool {
	if u.GetCell() != g.cell {
		return true
	}
	if u.GetEpoch() != g.epoch {
		return u.GetEpoch() > g.epoch
	}
	return u.GetTerm() >= g.term
}

// covers reports whether a command carries the grant's epoch and term and the grant has
// not ended.
func (g grant) covers(now time.Time, cell string, epoch, term uint64) bool {
	return g.cell == cell && g.epoch == epoch && g.term == term && now.Before(g.until)
}

// outdates reports whether a command was sent under an older epoch or term.
func (g grant) outdates(cell string, epoch, term uint64) bool {
	if g.cell != cell {
		return g.cell != ""
	}
	return epoch < g.epoch || (epoch == g.epoch && term < g.term)
}

// stopAt is when attempts are checkpointed and stopped if the grant is not renewed, early
// enough that they have ended before the grant does.
func (g grant) stopAt() time.Time { return g.until.Add(-g.span / 4) }

// renew takes in the owner's answer to a report that was sent at sent.
func (g *grant) renew(u *peerpb.Update, sent time.Time) {
	span := time.Duration(u.GetGrantMillis()) * time.Millisecond
	until := sent.Add(span)
	newer := u.GetCell() != g.cell || u.GetEpoch() != g.epoch || u.GetTerm() != g.term
	if newer || until.After(g.until) {
		g.until = until
	}
	g.cell, g.epoch, g.term, g.span = u.GetCell(), u.GetEpoch(), u.GetTerm(), span
}
