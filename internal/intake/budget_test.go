package intake

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestBudget runs the scripts in testdata. Each begins with a budget of some KiB and connections. A command is given the
// connection on which it acts, and prints what was decided with the connections that are to be closed.
func TestBudget(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *Budget
		now := time.Unix(1000, 0)
		holdings := map[string]*Holding{}
		describe := func(d Decision) string {
			var names []string
			for name, c := range holdings {
				if slices.Contains(d.Selected, c) {
					names = append(names, name)
				}
			}
			slices.Sort(names)
			out := map[bool]string{true: "granted", false: "refused"}[d.Granted]
			if d.Wait != nil {
				out = "waits"
			}
			return strings.TrimSpace(out+" "+strings.Join(names, " ")) + "\n"
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var kib, conns, millis, count int
			name := ""
			for key, into := range map[string]any{"kib": &kib, "conns": &conns, "ms": &millis, "conn": &name, "count": &count} {
				if d.HasArg(key) {
					d.ScanArgs(t, key, into)
				}
			}
			c := holdings[name]
			switch d.Cmd {
			case "budget":
				b, holdings = NewBudget(int64(kib)<<10, conns), map[string]*Holding{}
			case "open":
				opened, decision := b.Open(now, func() {})
				if opened != nil {
					holdings[name] = opened
				}
				return describe(decision)
			case "begin":
				c.Begin(now)
			case "take":
				return describe(c.Take(now, int64(kib)<<10))
			case "give":
				c.Give(now, int64(kib)<<10)
			case "progress":
				c.Progress(now)
			case "complete":
				return fmt.Sprintln(c.Complete())
			case "idle":
				c.Idle(now)
			case "close":
				c.Close()
			case "pass":
				now = now.Add(time.Duration(millis) * time.Millisecond)
			case "usage":
				bytes, open := b.Usage()
				return fmt.Sprintf("%d KiB, %d connections\n", bytes>>10, open)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestSizes checks that the budgets of the usual limits leave the process room, and that no deployment's clients
// meet the limit on connections.
func TestSizes(t *testing.T) {
	for _, mb := range []int64{64, 96, 152, 184, 536} {
		limit := mb << 20
		if budget, soft := BudgetBytes(limit), SoftLimit(limit); 2*budget > soft || soft+15<<20 > limit {
			t.Errorf("%d MB: budget %d MB and soft limit %d MB leave too little room", mb, budget>>20, soft>>20)
		}
	}
	if n := MaxConnections(4096); n < 64*40 {
		t.Errorf("%d connections for 4096 descriptors are too few for 40 client VMs", n)
	}
	if BudgetBytes(0) != 0 || MaxConnections(0) != 0 {
		t.Error("limits without a setting")
	}
}
