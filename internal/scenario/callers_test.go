package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/standin/caller"
	"github.com/jasminebay/jasminebay/internal/standin/quota"
	"github.com/jasminebay/jasminebay/pkg/client"
)

const (
	// cutSlack is how long after its last byte a request may still be cut by planned work.
	cutSlack = 200 * time.Millisecond
	// callerTimeout is longer than the timeout of the kinds that scripts use here.
	callerTimeout  = 5 * time.Second
	callerMaxPause = 150 * time.Millisecond
)

// openCallers are callers that keep their connections to one entry open.
type openCallers struct {
	stop     context.CancelFunc
	finished []<-chan struct{}
	mu       sync.Mutex
	tries    []caller.Try
}

func (c *openCallers) hangUp() {
	c.stop()
	for _, done := range c.finished {
		<-done
	}
}

// cmdCallers starts callers in the background, each with a connection that it keeps open, until the
// command hangup:
//
//	callers NAME KIND entry= [connections=]
func cmdCallers(s *system, a arguments) (string, error) {
	p := s.processes[a.text("entry", "")]
	if p == nil {
		return "", fmt.Errorf("unknown entry %q", a.text("entry", ""))
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &openCallers{stop: stop}
	request := fmt.Appendf(nil, "POST /v1/services/%s/requests HTTP/1.1\r\nHost: callers\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}",
		s.document.Services[0].Name, client.HeaderKind, a.arg(1))
	for i := range a.number("connections", 24) {
		one := &caller.Caller{
			Address: strings.TrimPrefix(p.callersURL, "http://"), MaxPause: callerMaxPause, Timeout: callerTimeout,
			Random:  rand.New(rand.NewPCG(uint64(i), 1)),
			Request: func() []byte { return request },
			Report: func(t caller.Try) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.tries = append(c.tries, t)
			},
		}
		c.finished = append(c.finished, loop.Go(ctx, one.Run))
	}
	s.callers[a.arg(0)] = c
	s.cleanups = append(s.cleanups, c.hangUp)
	return "", nil
}

// cmdHangUp stops callers and prints how their tries ended. Of the cut requests it counts those that
// ended later than the slack after their last byte, and those that were sent before SIGTERM:
//
//	hangup NAME entry=
func cmdHangUp(s *system, a arguments) (string, error) {
	c, p := s.callers[a.arg(0)], s.processes[a.text("entry", "")]
	if c == nil || p == nil {
		return "", fmt.Errorf("unknown callers %q or entry %q", a.arg(0), a.text("entry", ""))
	}
	c.hangUp()
	counts := map[caller.Outcome]int{}
	late, early := 0, 0
	var details strings.Builder
	for _, t := range c.tries {
		counts[t.Outcome]++
		if t.Outcome != caller.Cut && t.Outcome != caller.CutInside {
			continue
		}
		if t.Ended.Sub(t.Sent) > cutSlack {
			late++
		}
		if t.Sent.Before(p.terminatedAt) {
			early++
		}
		fmt.Fprintf(&details, "request %d of its connection: sent %v after SIGTERM, %s after %v\n", t.Number, t.Sent.Sub(p.terminatedAt), t.Outcome, t.Ended.Sub(t.Sent))
	}
	var b strings.Builder
	for _, o := range []caller.Outcome{caller.Answered, caller.Refused, caller.ClosedIdle, caller.Unsent, caller.Cut, caller.CutInside, caller.TimedOut} {
		fmt.Fprintf(&b, "%s=%d ", o, counts[o])
	}
	fmt.Fprintf(&b, "cut-late=%d cut-before-signal=%d\n%s", late, early, details.String())
	return b.String(), nil
}

// cmdQuota limits running processes to a part of each tenth of a second, until they have ended:
//
//	quota run= NAME...
func cmdQuota(s *system, a arguments) (string, error) {
	ctx, stop := context.WithCancel(context.Background())
	var finished []<-chan struct{}
	s.cleanups = append(s.cleanups, func() {
		stop()
		for _, done := range finished {
			<-done
		}
	})
	for _, name := range a.positional {
		p := s.processes[name]
		if p == nil {
			return "", fmt.Errorf("unknown process %q", name)
		}
		limited, run := p.command.Process, a.duration("run", quota.Period/5)
		finished = append(finished, loop.Go(ctx, func(ctx context.Context) { quota.Limit(ctx, limited, run, func(_, _ time.Time) {}) }))
	}
	return "", nil
}
