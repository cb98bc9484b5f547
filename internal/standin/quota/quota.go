// Package quota limits processes under test to a share of processor time in the way of a platform
// with quotas: a process runs for a part of each tenth of a second and is stopped for the rest.
package quota

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
)

// Period is the length of time for which a quota is given.
const Period = 100 * time.Millisecond

// Limit lets a process run for the given part of each period, until ctx ends or the process has
// ended. It reports each stop, which lasts longer than the rest of a period if the caller itself was
// short of processor time.
func Limit(ctx context.Context, p *os.Process, run time.Duration, report func(from, to time.Time)) {
	for ctx.Err() == nil {
		from := time.Now()
		if p.Signal(syscall.SIGSTOP) != nil {
			return
		}
		loop.Pause(ctx, Period-run)
		if p.Signal(syscall.SIGCONT) != nil {
			return
		}
		report(from, time.Now())
		loop.Pause(ctx, run)
	}
}
