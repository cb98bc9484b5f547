package agent

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// answers maps the words of the scripts to the answers of a runner. A silent one answers nothing.
var answers = map[string]error{
	"ok": nil, "silent": driver.ErrRunnerIndeterminate, "busy": driver.ErrUnhealthy, "room": driver.ErrNoRoom, "old": driver.ErrStaleRun,
	"late": driver.ErrLeaseExpired, "fence": driver.ErrFenced, "ticket": driver.ErrTicketRefused, "invalid": driver.ErrInvalidRequest,
	"other": driver.ErrWrongIncarnation, "closed": driver.ErrRunnerNotListening,
}

// orderHarness is an agent with a token, whose runner and owner write down what they get. Its times are
// counted from the start of the script.
type orderHarness struct {
	t      *testing.T
	agent  *Agent
	began  time.Time
	token  uint64
	events []string
	// born identifies the present life of the runner, which began at lifeBegan; runs are its runs.
	born      int64
	lifeBegan time.Time
	runs      map[driver.RunID]bool
	// fence is the highest token that the present life has seen. It is down while it does not listen.
	fence uint64
	down  bool
	// stopped holds the runs that were stopped in the present life.
	stopped map[driver.RunID]bool
	// listDelay is how long the runner takes to list its runs.
	listDelay time.Duration
	// answers holds, by task, the answers to the next calls for it; all others are answered with ok.
	answers map[string][]string
}

// clock returns the runner's clock.
func (h *orderHarness) clock() driver.RunnerTime { return driver.RunnerTime(time.Since(h.lifeBegan)) }

func (h *orderHarness) printf(format string, args ...any) {
	h.events = append(h.events, fmt.Sprintf("%4d "+format+"\n", append([]any{time.Since(h.began).Milliseconds()}, args...)...))
}

// accept returns the answer of the runner to a call under a token, as far as that decides it.
func (h *orderHarness) accept(token uint64) (answer string) {
	switch {
	case h.down:
		return "closed"
	case token < h.fence:
		return "fence"
	}
	h.fence = token
	return "ok"
}

// receive handles a call to the runner, which it answers as the script says.
func (h *orderHarness) receive(ctx context.Context, order, task string, run uint32, token uint64) (err error) {
	answer := "ok"
	_ = h.agent.loop.Do(func() {
		if next := h.answers[task]; len(next) > 0 {
			answer, h.answers[task] = next[0], next[1:]
		}
		if answer == "ok" {
			answer = h.accept(token)
		}
		h.printf("runner: %s %s run %d token %d: %s", order, task, run, token, answer)
		if id := (driver.RunID{Task: task, Run: run}); answer == "ok" && order == "start" {
			h.runs[id] = true
		} else if answer == "ok" && order == "stop" {
			delete(h.runs, id)
			h.stopped[id] = true
		}
	})
	if answer == "silent" {
		<-ctx.Done()
	}
	return answers[answer]
}

func (h *orderHarness) Start(ctx context.Context, _ driver.RunnerID, r driver.StartRequest) (driver.RunnerTime, error) {
	return h.clock(), h.receive(ctx, "start", r.Task, r.Run, r.Token)
}

func (h *orderHarness) Stop(ctx context.Context, _ driver.RunnerID, id driver.RunID, token uint64) error {
	return h.receive(ctx, "stop", id.Task, id.Run, token)
}

func (h *orderHarness) Pace(ctx context.Context, _ driver.RunnerID, id driver.RunID, percent int, token uint64) error {
	return h.receive(ctx, fmt.Sprintf("pace %d%%", percent), id.Task, id.Run, token)
}

func (h *orderHarness) Hold(_ context.Context, _ driver.RunnerID, request driver.HoldRequest) (r driver.HoldReport, err error) {
	var delay time.Duration
	_ = h.agent.loop.Do(func() { delay = h.listDelay })
	time.Sleep(delay)
	_ = h.agent.loop.Do(func() {
		if err = answers[h.accept(request.Token)]; err != nil {
			return
		}
		r = driver.HoldReport{Runner: driver.RunnerID{ID: "i-1", StartedMillis: h.born}, Clock: h.clock()}
		for id := range h.runs {
			r.Running = append(r.Running, driver.ActiveRun{RunID: id})
		}
	})
	return r, err
}

// Send implements ownerLink. The owner answers each synchronisation at once.
func (h *orderHarness) Send(f *flowpb.Frame) {
	if s := f.GetSync(); s != nil {
		h.printf("owner: synchronise, %d unanswered", len(s.GetUnanswered()))
		return
	}
	for _, r := range f.GetReport().GetResults() {
		h.printf("owner: %s run %d %s", r.GetTask(), r.GetRun(), strings.TrimPrefix(r.GetOutcome().String(), "START_OUTCOME_"))
	}
}

// confirm gives the agent a new token that the runner has accepted, and a lease.
func (h *orderHarness) confirm() {
	h.token++
	a := h.agent
	a.applyOrders(h, &flowpb.Orders{Token: h.token, Runner: "i-1", Born: a.state.runner.GetBorn()})
	h.accept(h.token)
	h.poll()
	a.state.leaseEnd = a.options.Clock() + 10*time.Second
}

// poll has the runner answer a poll under the present token.
func (h *orderHarness) poll() {
	id := driver.RunnerID{ID: "i-1", StartedMillis: h.born}
	h.agent.handlePoll(driver.RunnerID{ID: "i-1"}, driver.HoldRequest{Token: h.token}, driver.HoldReport{Runner: id, Clock: h.clock()}, nil, 0)
}

// TestOrders runs the scripts in testdata/orders: which attempts of which orders reach the runner when,
// and what the owner is told of them.
func TestOrders(t *testing.T) {
	datadriven.Walk(t, "testdata/orders", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) (out string) {
			synctest.Test(t, func(t *testing.T) { out = runOrders(t, d.Input) })
			return out
		})
	})
}

// runOrders runs the lines of one script, and then until nothing is under way.
func runOrders(t *testing.T, script string) string {
	h := &orderHarness{t: t, began: time.Now(), born: 1000, lifeBegan: time.Now().Add(-8 * time.Second), runs: map[driver.RunID]bool{}, stopped: map[driver.RunID]bool{}, answers: map[string][]string{}}
	h.agent = New(Options{Clock: func() time.Duration { return time.Hour + time.Since(h.began) }, MaxLease: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewFlow(telemetry.NewMetrics()), Runner: h})
	ctx, stop := context.WithCancel(t.Context())
	h.agent.ctx = ctx
	h.agent.state.link, h.agent.state.runner = h, &flowpb.Runner{Id: "i-1", Born: 1000, MilliCpu: 4}
	h.agent.state.lastRunner = h.agent.runnerID()
	done := loop.Go(ctx, h.agent.loop.Run)
	_ = h.agent.loop.Do(h.confirm)
	for _, line := range strings.Split(script, "\n") {
		h.runLine(line)
		synctest.Wait()
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	stop()
	<-done
	h.agent.guards.Wait()
	h.agent.calls.Wait()
	// Calls of the same moment come in any order.
	slices.Sort(h.events)
	return strings.Join(h.events, "")
}

func (h *orderHarness) runLine(line string) {
	command, rest, _ := strings.Cut(line, " ")
	var task string
	var number int
	_, _ = fmt.Sscan(rest, &task, &number)
	a, o := h.agent, &flowpb.Orders{Token: h.token, Runner: "i-1"}
	// The owner knows of the incarnation that the agent knows of.
	_ = a.loop.Do(func() { o.Born = a.state.runner.GetBorn() })
	switch command {
	case "answers":
		task, words, _ := strings.Cut(rest, " ")
		_ = a.loop.Do(func() { h.answers[task] = strings.Fields(words) })
		return
	case "wait":
		pause, err := time.ParseDuration(rest)
		if err != nil {
			h.t.Fatal(err)
		}
		time.Sleep(pause)
		return
	case "lists-take":
		delay, err := time.ParseDuration(rest)
		if err != nil {
			h.t.Fatal(err)
		}
		_ = a.loop.Do(func() { h.listDelay = delay })
		return
	case "synchronised":
		_ = a.loop.Do(h.confirm)
		return
	case "session-lost":
		_ = a.loop.Do(func() { a.state.link, a.state.token, a.state.tokenConfirmed = nil, 0, false })
		return
	case "polled":
		// The runner answers a poll under the token that it has accepted before.
		_ = a.loop.Do(h.poll)
		return
	case "restarts":
		// The runner starts again under its id.
		_ = a.loop.Do(func() {
			h.born, h.lifeBegan, h.fence, h.down = h.born+1000, time.Now(), 0, false
			clear(h.runs)
			clear(h.stopped)
		})
		return
	case "crashes":
		// The runner does not listen until it restarts.
		_ = a.loop.Do(func() { h.down = true })
		return
	case "announced":
		_ = a.loop.Do(func() { a.applyRunner(&flowpb.Runner{Id: "i-1", Born: h.born, MilliCpu: 4}) })
		return
	case "late-start":
		// The runner carries out an attempt that got no answer, under the token of the script's begin.
		_ = a.loop.Do(func() {
			if id := (driver.RunID{Task: task, Run: 1}); h.stopped[id] || h.fence > 1 {
				h.printf("runner: refuses the start of %s late", task)
			} else {
				h.printf("runner: carries out the start of %s late", task)
				h.runs[id] = true
			}
		})
		return
	case "lease-ends-in":
		left, err := time.ParseDuration(rest)
		if err != nil {
			h.t.Fatal(err)
		}
		_ = a.loop.Do(func() { a.state.leaseEnd = a.options.Clock() + left })
		return
	case "lease-ends":
		_ = a.loop.Do(func() { a.state.leaseEnd = a.options.Clock() })
		return
	case "token":
		// The owner issues a token that the runner has not accepted yet.
		h.token++
		o.Token = h.token
	case "gone":
		_ = a.loop.Do(func() {
			for range goneAfterRefused {
				a.handlePollError(driver.RunnerID{ID: "i-1"}, driver.ErrRunnerNotListening, 0)
			}
		})
		return
	case "draining":
		_ = a.loop.Do(func() {
			a.applyRunner(&flowpb.Runner{Id: "i-1", Born: 1000, MilliCpu: 4, Draining: true})
		})
		return
	case "start":
		o.Starts = append(o.Starts, &flowpb.Start{Task: task, Run: 1})
	case "aged-start":
		// The owner has sent the start after a report that the agent sent so many milliseconds ago.
		o.Starts = append(o.Starts, &flowpb.Start{Task: task, Run: 1})
		_ = a.loop.Do(func() {
			a.state.sequence++
			a.state.reportSentAt[a.state.sequence%reportHistory] = a.options.Clock() - time.Duration(number)*time.Millisecond
			o.Report = a.state.sequence
		})
	case "starts":
		for i := range number {
			o.Starts = append(o.Starts, &flowpb.Start{Task: fmt.Sprintf("%s.%d", task, i), Run: 1})
		}
	case "stop":
		o.Stops = append(o.Stops, &flowpb.Stop{Task: task, Run: 1})
	case "pace":
		o.Paces = append(o.Paces, &flowpb.Pace{Task: task, Run: 1, Percent: int32(number)})
	default:
		h.t.Fatalf("unknown command %s", command)
	}
	_ = a.loop.Do(func() { a.applyOrders(h, o) })
}
