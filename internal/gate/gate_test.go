package gate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestGate runs the scripts in testdata. Each command changes a gate and prints the verdicts
// that it caused and the state of the gate.
func TestGate(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1_000_000, 0)
		now := start
		g := New()
		var verdicts []string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			verdicts = nil
			if d.HasArg("after") {
				var millis int
				d.ScanArgs(t, "after", &millis)
				now = now.Add(time.Duration(millis) * time.Millisecond)
			}
			run(t, g, now, d, &verdicts)
			return fmt.Sprintf("%sin-flight=%d queued=%d ready=%v\n", strings.Join(verdicts, ""), g.InFlight(), g.Queued(), g.Ready(now))
		})
	})
}

func run(t *testing.T, g *Gate, now time.Time, d *datadriven.TestData, verdicts *[]string) {
	var id string
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	switch d.Cmd {
	case "announce":
		slots := 2
		if d.HasArg("slots") {
			d.ScanArgs(t, "slots", &slots)
		}
		g.Announce(now, slots, d.HasArg("draining"), strings.Fields(d.Input))
	case "offer":
		urgency, timeout, target, age := 1, 1000, 0, 0
		if d.HasArg("urgency") {
			d.ScanArgs(t, "urgency", &urgency)
		}
		if d.HasArg("timeout") {
			d.ScanArgs(t, "timeout", &timeout)
		}
		for name, value := range map[string]*int{"target": &target, "age": &age} {
			if d.HasArg(name) {
				d.ScanArgs(t, name, value)
			}
		}
		millis := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		for _, id := range strings.Fields(d.Input) {
			g.Submit(now, &Request{ID: id, Urgency: urgency, Deadline: now.Add(millis(timeout)), Target: millis(target), Waited: millis(age), Notify: func(v Verdict) {
				text := strings.ToLower(strings.TrimPrefix(v.Reason.String(), "REASON_"))
				if v.Admitted {
					text = "admitted"
				}
				*verdicts = append(*verdicts, id+": "+text+"\n")
			}})
		}
	case "release":
		g.Release(now, id)
	case "abandon":
		g.Abandon(now, id)
	case "cancel":
		*verdicts = append(*verdicts, fmt.Sprintf("withdrawn=%v\n", g.Cancel(id)))
	case "drain":
		g.Drain()
	case "expire":
		g.Expire(now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

// TestGateNeverPassesSlots submits, releases, abandons and cancels requests at random. It checks
// that no more requests run than there are slots and that each gets at most one verdict.
func TestGateNeverPassesSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		now := time.Unix(1_000_000, 0)
		g := New()
		running := map[string]bool{}
		answered := map[string]int{}
		announce := func(*rapid.T) {
			list := make([]string, 0, len(running))
			for id := range running {
				list = append(list, id)
			}
			g.Announce(now, slots, false, list)
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"announce": announce,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"offer": func(t *rapid.T) {
				next++
				id := fmt.Sprint(next)
				g.Submit(now, &Request{ID: id, Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"), Deadline: now.Add(time.Second), Notify: func(v Verdict) {
					answered[id]++
					if v.Admitted {
						running[id] = true
					}
				}})
			},
			"end": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					g.Release(now, id)
					return
				}
			},
			"lose": func(t *rapid.T) {
				for id := range running {
					g.Abandon(now, id)
					return
				}
			},
			"expire": func(*rapid.T) { g.Expire(now) },
			"cancel": func(t *rapid.T) { g.Cancel(fmt.Sprint(rapid.IntRange(1, 1+next).Draw(t, "id"))) },
			"": func(t *rapid.T) {
				if waiting := next - len(answered); waiting != g.Queued() {
					t.Fatalf("%d requests have no verdict, but %d wait", waiting, g.Queued())
				}
				if len(running) > slots {
					t.Fatalf("%d requests run in %d slots", len(running), slots)
				}
				for id, n := range answered {
					if n > 1 {
						t.Fatalf("request %s got %d verdicts", id, n)
					}
				}
			},
		})
	})
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	g := New()
	g.Announce(now, 1, false, nil)
	now = now.Add(maxDeliveryDelay)
	g.Announce(now, 1, false, nil)
	refused := 0
	for i := range 100 {
		g.Submit(now, &Request{ID: fmt.Sprint(i), Deadline: now.Add(time.Hour), Notify: func(v Verdict) {
			if !v.Admitted {
				refused++
			}
		}})
	}
	is.Equal(g.InFlight(), 1)
	is.Equal(g.Queued(), QueuePerSlot)
	is.Equal(refused, 100-1-QueuePerSlot)
}
