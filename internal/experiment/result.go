package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// lastingInterval is how often a lasting job earns.
	lastingInterval = 2 * time.Second
	// overPenalty is how many times a task counts whose tail is over its target because of
	// what fills beside it.
	overPenalty = 4
	// sampleInterval is the resolution of the course over time.
	sampleInterval = 500 * time.Millisecond
	// fixedShare of a job's worth doesn't depend on its work.
	fixedShare = 0.3
)

// tally counts what happens during a run.
type tally struct {
	retries, starts, stopped, noRoom int
	wasted                           float64
	filled, wanted, over             float64
	images, imageSamples             float64
	course                           []Sample
}

// Sample is a moment of a run.
type Sample struct {
	Seconds float64 `json:"seconds"`
	// BestEffort and Held are processors that tasks which fill use, and that they are held back
	// from using.
	BestEffort float64 `json:"filling"`
	Held       float64 `json:"held"`
	// Waiting counts the open jobs that have not begun, Over the serving tasks that are over
	// their target because of what fills.
	Waiting int `json:"waiting"`
	Over    int `json:"over"`
}

// QueueResult is what came of the jobs of one queue.
type QueueResult struct {
	Queue   string `json:"queue"`
	Jobs    int    `json:"jobs"`
	InTime  int    `json:"in-time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Undone  int    `json:"undone"`
	// Earned is the share of what could be earned.
	Earned float64 `json:"earned"`
	// StartP50 and StartP99 are from handing in to the first start, in milliseconds.
	StartP50 float64 `json:"start-p50-millis"`
	StartP99 float64 `json:"start-p99-millis"`
	owed     float64
	got      float64
	starts   []float64
}

// Result is what came of one run.
type Result struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Earned float64 `json:"earned"`
	// Worst is the share earned by jobs that came in the worst two seconds but one in ten.
	Worst   float64       `json:"worst-windows"`
	Refused float64       `json:"refused-worth"`
	Queues  []QueueResult `json:"kinds"`
	// Images is how many images of serving tasks a runner has, on average.
	Images  float64 `json:"images-per-runner"`
	Filling float64 `json:"filling-core-seconds"`
	// Held is the share of the time of tasks which fill in which they were held back.
	Held float64 `json:"held"`
	// Over is how long serving tasks were over their target because of what fills, in all.
	Over    float64  `json:"over-seconds"`
	Starts  int      `json:"starts"`
	Stopped int      `json:"stopped"`
	Wasted  float64  `json:"wasted-core-seconds"`
	Retries int      `json:"retries"`
	NoRoom  int      `json:"no-room"`
	Took    float64  `json:"took-seconds"`
	Samples []Sample `json:"course"`
}

// observe samples the course of the run, and what lasting jobs earn.
func (w *world) observe() {
	if w.now%sampleInterval == 0 {
		w.sample()
	}
	if w.now%lastingInterval == 0 {
		w.earnLasting()
	}
}

func (w *world) sample() {
	s := Sample{Seconds: (w.now - settleTime).Seconds()}
	for _, r := range w.runners {
		images := map[string]bool{}
		for _, x := range r.runs {
			cpu := float64(x.step.GetMilliCpu()) / 1000
			switch {
			case x.step.GetFills():
				s.BestEffort += cpu * x.pace
				s.Held += cpu * (1 - x.pace)
			case x.step.GetLasting():
				images[x.step.GetImage()] = true
				if x.over {
					s.Over++
					w.tally.over += sampleInterval.Seconds()
				}
			}
		}
		if w.now > settleTime {
			w.tally.images += float64(len(images))
			w.tally.imageSamples++
		}
	}
	for _, c := range w.jobs {
		if c.accepted && c.begun == 0 && !c.cancelled {
			s.Waiting++
		}
	}
	w.tally.course = append(w.tally.course, s)
}

func (w *world) earnLasting() {
	good := map[string]float64{}
	for _, r := range w.runners {
		if r.lost() {
			continue
		}
		for _, x := range r.runs {
			if !x.step.GetLasting() || !x.atWork {
				continue
			}
			worth := 1.0
			if x.over {
				worth -= overPenalty
			}
			good[x.arrival.Job.GetId()] += worth
		}
	}
	for id, c := range w.jobs {
		if !c.arrival.lasting() || w.now < c.first+lastingInterval || c.cancelled || w.now > settleTime+w.load.Length.D() {
			continue
		}
		tasks := 0.0
		for _, s := range c.arrival.Job.GetSteps() {
			tasks += float64(s.GetCount())
		}
		c.owed++
		c.earned += max(0, good[id]/tasks)
	}
}

func (a *Arrival) lasting() bool { return a.Stay > 0 }

// result works out what was earned.
func (w *world) result(o Options, clients []*client, took time.Duration) *Result {
	r := &Result{Policy: o.PolicyName, Seed: o.Seed, Starts: w.tally.starts, Stopped: w.tally.stopped, Wasted: w.tally.wasted, Retries: w.tally.retries, NoRoom: w.tally.noRoom, Took: took.Seconds(), Samples: w.tally.course, Filling: w.tally.filled, Over: w.tally.over}
	if w.tally.wanted > 0 {
		r.Held = 1 - w.tally.filled/w.tally.wanted
	}
	if w.tally.imageSamples > 0 {
		r.Images = w.tally.images / w.tally.imageSamples
	}
	means := meanWorks(clients)
	kinds := map[string]*QueueResult{}
	windows := map[int]*[2]float64{}
	var owed, got, refused float64
	for _, c := range clients {
		k := kinds[c.arrival.Job.GetQueue()]
		if k == nil {
			k = &QueueResult{Queue: c.arrival.Job.GetQueue()}
			kinds[k.Queue] = k
		}
		o, g := w.credit(c, k, means[k.Queue])
		k.owed, k.got = k.owed+o, k.got+g
		owed, got = owed+o, got+g
		if c.refused {
			refused += o
		}
		window := int((c.first - settleTime) / lastingInterval)
		if windows[window] == nil {
			windows[window] = &[2]float64{}
		}
		windows[window][0] += o
		windows[window][1] += g
	}
	for i := range o.Load.Streams {
		if k := kinds[o.Load.Streams[i].Queue]; k != nil {
			k.finish()
			r.Queues = append(r.Queues, *k)
		}
	}
	r.Earned, r.Refused = ratio(got, owed), ratio(refused, owed)
	r.Worst = worstWindows(windows)
	return r
}

// meanWorks returns the mean work of the jobs of each queue.
func meanWorks(clients []*client) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, c := range clients {
		if !c.arrival.lasting() {
			sums[c.arrival.Job.GetQueue()] += c.arrival.work()
			counts[c.arrival.Job.GetQueue()]++
		}
	}
	for queue := range sums {
		sums[queue] /= counts[queue]
	}
	return sums
}

// credit returns what a job could earn and what it has earned.
func (w *world) credit(c *client, k *QueueResult, meanWork float64) (owed, got float64) {
	k.Jobs++
	s := c.arrival.stream
	if c.refused {
		k.Refused++
	}
	if c.begun > 0 {
		k.starts = append(k.starts, float64((c.begun - c.first).Milliseconds()))
	}
	if c.arrival.lasting() {
		return s.Worth * c.owed, s.Worth * c.earned
	}
	worth := min(workMost, fixedShare+(1-fixedShare)*ratio(c.arrival.work(), meanWork))
	owed = worth * s.Worth
	took := c.ended - c.first
	switch objective := c.arrival.objective(); {
	case c.refused:
	case c.ended == 0 || c.arrival.Hopeless != (c.outcome == "failed"):
		k.Undone++
	case took <= objective:
		k.InTime++
		got = owed
	case took <= lateFactor*objective:
		k.Late++
		got = worth * s.LateWorth
	default:
		k.Undone++
	}
	return owed, got
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (k *QueueResult) finish() {
	k.Earned = ratio(k.got, k.owed)
	slices.Sort(k.starts)
	k.StartP50, k.StartP99 = quantile(k.starts, 0.5), quantile(k.starts, 0.99)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// worstWindows returns the mean share earned in the two worst windows that hold at least a
// third of what windows hold on average.
func worstWindows(windows map[int]*[2]float64) float64 {
	total := 0.0
	for _, w := range windows {
		total += w[0]
	}
	var shares []float64
	for _, w := range windows {
		if w[0] > total/float64(len(windows))/3 {
			shares = append(shares, w[1]/w[0])
		}
	}
	slices.Sort(shares)
	if len(shares) < 2 {
		return 0
	}
	return (shares[0] + shares[1]) / 2
}

// Header returns the head of a table of results.
func Header() []string {
	return []string{"policy", "seed", "earned", "worst", "refused", "images", "filling", "held", "over s", "stopped", "wasted", "kind", "jobs", "in time", "late", "refused", "undone", "earned", "start p50 ms", "p99 ms"}
}

// Rows returns the rows of a table, one for each kind.
func (r *Result) Rows() (rows [][]string) {
	lead := []string{r.Policy, fmt.Sprint(r.Seed), share3(r.Earned), share3(r.Worst), share3(r.Refused), fmt.Sprintf("%.2f", r.Images), fmt.Sprintf("%.0f", r.Filling), share3(r.Held), fmt.Sprintf("%.0f", r.Over), fmt.Sprint(r.Stopped), fmt.Sprintf("%.0f", r.Wasted)}
	for _, k := range r.Queues {
		rows = append(rows, append(slices.Clone(lead), k.Queue, fmt.Sprint(k.Jobs), fmt.Sprint(k.InTime), fmt.Sprint(k.Late), fmt.Sprint(k.Refused), fmt.Sprint(k.Undone), share3(k.Earned), fmt.Sprintf("%.0f", k.StartP50), fmt.Sprintf("%.0f", k.StartP99)))
		lead = make([]string, len(lead))
	}
	return rows
}

func share3(x float64) string { return fmt.Sprintf("%.3f", x) }

// Mean returns the means of runs of one policy with several seeds.
func Mean(results []*Result) *Result {
	if len(results) == 1 {
		return results[0]
	}
	m := &Result{Policy: results[0].Policy}
	n := float64(len(results))
	for _, r := range results {
		m.Earned += r.Earned / n
		m.Worst += r.Worst / n
		m.Refused += r.Refused / n
		m.Images += r.Images / n
		m.Filling += r.Filling / n
		m.Held += r.Held / n
		m.Over += r.Over / n
		m.Wasted += r.Wasted / n
		m.Took += r.Took / n
		m.Starts += r.Starts
		m.Stopped += r.Stopped
		m.Retries += r.Retries
		m.NoRoom += r.NoRoom
		for i, k := range r.Queues {
			if len(m.Queues) <= i {
				m.Queues = append(m.Queues, QueueResult{Queue: k.Queue})
			}
			into := &m.Queues[i]
			into.Jobs += k.Jobs
			into.InTime += k.InTime
			into.Late += k.Late
			into.Refused += k.Refused
			into.Undone += k.Undone
			into.Earned += k.Earned / n
			into.StartP50 += k.StartP50 / n
			into.StartP99 += k.StartP99 / n
		}
	}
	return m
}
