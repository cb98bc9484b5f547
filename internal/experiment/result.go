package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// creditInterval is the interval at which long-running jobs earn credit, and the length of the
	// windows of Result.WorstWindows.
	creditInterval = 2 * time.Second
	// overTargetPenalty is subtracted from the credit of a long-running task, which is 1, while
	// best-effort tasks push its tail latency over its target.
	overTargetPenalty = 4
	// sampleInterval is the interval of Result.Samples.
	sampleInterval = 500 * time.Millisecond
	// fixedValueShare is the share of the value of a job that does not depend on its processor time.
	fixedValueShare = 0.3
)

// counters accumulates events and samples during a simulation.
type counters struct {
	retries, starts, stopped, noRoom                            int
	wastedCoreSeconds                                           float64
	bestEffortCoreSeconds, wantedCoreSeconds, overTargetSeconds float64
	imageCount, runnerSamples                                   float64
	samples                                                     []Sample
}

// Sample is the state of a simulation at a time.
type Sample struct {
	Seconds float64 `json:"seconds"`
	// BestEffort is the number of processors that best-effort tasks use at their pace, Withheld the
	// number that pacing keeps them from using.
	BestEffort float64 `json:"filling"`
	Withheld   float64 `json:"held"`
	// Waiting is the number of accepted jobs of which no task has started, OverTarget the number of
	// latency-critical tasks that best-effort tasks push over their latency target.
	Waiting    int `json:"waiting"`
	OverTarget int `json:"over"`
}

// QueueResult is the outcome of the jobs of one queue.
type QueueResult struct {
	Queue string `json:"queue"`
	Jobs  int    `json:"jobs"`
	// OnTime counts the jobs that met their objective, Late those that earned their late value, and
	// Missed those that ended later, ended with the wrong outcome, or did not end.
	OnTime  int `json:"in-time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Missed  int `json:"undone"`
	// EarnedShare is the earned share of the value of all jobs.
	EarnedShare float64 `json:"earned"`
	// StartP50Millis and StartP99Millis are percentiles of the time from the first submission to the
	// first start of a task.
	StartP50Millis float64 `json:"start-p50-millis"`
	StartP99Millis float64 `json:"start-p99-millis"`
	possible       float64
	earned         float64
	starts         []float64
}

// Result is the outcome of one simulation.
type Result struct {
	Policy      string  `json:"policy"`
	Seed        uint64  `json:"seed"`
	EarnedShare float64 `json:"earned"`
	// WorstWindows is the share earned by the jobs that were submitted in the two worst windows of two
	// seconds; see worstWindows.
	WorstWindows float64 `json:"worst-windows"`
	// RefusedShare is the share of the value of all jobs that refused jobs account for.
	RefusedShare float64       `json:"refused-worth"`
	Queues       []QueueResult `json:"kinds"`
	// ImagesPerRunner is the average number of different images of long-running tasks on a runner.
	ImagesPerRunner float64 `json:"images-per-runner"`
	// BestEffortCoreSeconds is the processor time that best-effort tasks got.
	BestEffortCoreSeconds float64 `json:"filling-core-seconds"`
	// WithheldShare is the share of the processor time of best-effort tasks that they did not get.
	WithheldShare float64 `json:"held"`
	// OverTargetSeconds is the total time for which best-effort tasks pushed latency-critical tasks
	// over their latency target.
	OverTargetSeconds float64 `json:"over-seconds"`
	Starts            int     `json:"starts"`
	// Stopped is the number of runs that the engine stopped.
	Stopped int `json:"stopped"`
	// WastedCoreSeconds is the processor time of stopped runs that no checkpoint holds.
	WastedCoreSeconds float64 `json:"wasted-core-seconds"`
	Retries           int     `json:"retries"`
	// NoRoom is the number of starts that runners rejected for lack of room.
	NoRoom      int      `json:"no-room"`
	TookSeconds float64  `json:"took-seconds"`
	Samples     []Sample `json:"course"`
}

// observe takes samples and credits long-running jobs at their intervals.
func (sm *simulation) observe() {
	if sm.now%sampleInterval == 0 {
		sm.sample()
	}
	if sm.now%creditInterval == 0 {
		sm.creditLongRunning()
	}
}

func (sm *simulation) sample() {
	s := Sample{Seconds: (sm.now - warmUpTime).Seconds()}
	for _, r := range sm.runners {
		images := map[string]bool{}
		for _, x := range r.runs {
			cpu := float64(x.step.GetMilliCpu()) / 1000
			switch {
			case x.step.GetFills():
				s.BestEffort += cpu * x.pace
				s.Withheld += cpu * (1 - x.pace)
			case x.step.GetLasting():
				images[x.step.GetImage()] = true
				if x.overTarget {
					s.OverTarget++
					sm.counters.overTargetSeconds += sampleInterval.Seconds()
				}
			}
		}
		if sm.now > warmUpTime {
			sm.counters.imageCount += float64(len(images))
			sm.counters.runnerSamples++
		}
	}
	for _, c := range sm.jobs {
		if c.accepted && c.startedAt == 0 && !c.cancelled {
			s.Waiting++
		}
	}
	sm.counters.samples = append(sm.counters.samples, s)
}

// creditLongRunning credits each long-running job with the share of its tasks that serve. Tasks that
// best-effort tasks push over their latency target count against it.
func (sm *simulation) creditLongRunning() {
	serving := map[string]float64{}
	for _, r := range sm.runners {
		if r.lost() {
			continue
		}
		for _, x := range r.runs {
			if !x.step.GetLasting() || !x.serving {
				continue
			}
			credit := 1.0
			if x.overTarget {
				credit -= overTargetPenalty
			}
			serving[x.arrival.Job.GetId()] += credit
		}
	}
	for id, c := range sm.jobs {
		if !c.arrival.longRunning() || sm.now < c.submittedAt+creditInterval || c.cancelled || sm.now > warmUpTime+sm.load.Length.D() {
			continue
		}
		tasks := 0.0
		for _, s := range c.arrival.Job.GetSteps() {
			tasks += float64(s.GetCount())
		}
		c.possible++
		c.earned += max(0, serving[id]/tasks)
	}
}

func (a *Arrival) longRunning() bool { return a.Lifetime > 0 }

// result evaluates the simulation.
func (sm *simulation) result(o Options, clients []*client, took time.Duration) *Result {
	r := &Result{Policy: o.PolicyName, Seed: o.Seed, Starts: sm.counters.starts, Stopped: sm.counters.stopped, WastedCoreSeconds: sm.counters.wastedCoreSeconds, Retries: sm.counters.retries, NoRoom: sm.counters.noRoom, TookSeconds: took.Seconds(), Samples: sm.counters.samples, BestEffortCoreSeconds: sm.counters.bestEffortCoreSeconds, OverTargetSeconds: sm.counters.overTargetSeconds}
	if sm.counters.wantedCoreSeconds > 0 {
		r.WithheldShare = 1 - sm.counters.bestEffortCoreSeconds/sm.counters.wantedCoreSeconds
	}
	if sm.counters.runnerSamples > 0 {
		r.ImagesPerRunner = sm.counters.imageCount / sm.counters.runnerSamples
	}
	meanWork := meanCoreSeconds(clients)
	queues := map[string]*QueueResult{}
	windows := map[int]*[2]float64{}
	var possible, earned, refused float64
	for _, c := range clients {
		k := queues[c.arrival.Job.GetQueue()]
		if k == nil {
			k = &QueueResult{Queue: c.arrival.Job.GetQueue()}
			queues[k.Queue] = k
		}
		jobPossible, jobEarned := sm.credit(c, k, meanWork[k.Queue])
		k.possible, k.earned = k.possible+jobPossible, k.earned+jobEarned
		possible, earned = possible+jobPossible, earned+jobEarned
		if c.refused {
			refused += jobPossible
		}
		window := int((c.submittedAt - warmUpTime) / creditInterval)
		if windows[window] == nil {
			windows[window] = &[2]float64{}
		}
		windows[window][0] += jobPossible
		windows[window][1] += jobEarned
	}
	for i := range o.Load.Streams {
		if k := queues[o.Load.Streams[i].Queue]; k != nil {
			k.summarize()
			r.Queues = append(r.Queues, *k)
		}
	}
	r.EarnedShare, r.RefusedShare = ratio(earned, possible), ratio(refused, possible)
	r.WorstWindows = worstWindows(windows)
	return r
}

// meanCoreSeconds returns the mean processor time of the jobs of each queue.
func meanCoreSeconds(clients []*client) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, c := range clients {
		if !c.arrival.longRunning() {
			sums[c.arrival.Job.GetQueue()] += c.arrival.coreSeconds()
			counts[c.arrival.Job.GetQueue()]++
		}
	}
	for queue := range sums {
		sums[queue] /= counts[queue]
	}
	return sums
}

// credit returns the value that a job could earn and the value that it has earned, and counts its
// outcome.
func (sm *simulation) credit(c *client, k *QueueResult, meanWork float64) (possible, earned float64) {
	k.Jobs++
	s := c.arrival.stream
	if c.refused {
		k.Refused++
	}
	if c.startedAt > 0 {
		k.starts = append(k.starts, float64((c.startedAt - c.submittedAt).Milliseconds()))
	}
	if c.arrival.longRunning() {
		return s.Value * c.possible, s.Value * c.earned
	}
	valueFactor := min(maxValueFactor, fixedValueShare+(1-fixedValueShare)*ratio(c.arrival.coreSeconds(), meanWork))
	possible = valueFactor * s.Value
	took := c.endedAt - c.submittedAt
	switch objective := c.arrival.objective(); {
	case c.refused:
	case c.endedAt == 0 || c.arrival.AlwaysFails != (c.outcome == "failed"):
		k.Missed++
	case took <= objective:
		k.OnTime++
		earned = possible
	case took <= lateFactor*objective:
		k.Late++
		earned = valueFactor * s.LateValue
	default:
		k.Missed++
	}
	return possible, earned
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (k *QueueResult) summarize() {
	k.EarnedShare = ratio(k.earned, k.possible)
	slices.Sort(k.starts)
	k.StartP50Millis, k.StartP99Millis = quantile(k.starts, 0.5), quantile(k.starts, 0.99)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// worstWindows returns the mean of the shares earned in the two worst windows. Each window is its
// possible and its earned value. Windows whose possible value is at most a third of the average are
// left out.
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

// Header returns the header row of a table of results.
func Header() []string {
	return []string{"policy", "seed", "earned", "worst", "refused", "images", "filling", "held", "over s", "stopped", "wasted", "kind", "jobs", "in time", "late", "refused", "undone", "earned", "start p50 ms", "p99 ms"}
}

// Rows returns the result as table rows, one for each queue. Figures of the whole simulation are in
// the first row only.
func (r *Result) Rows() (rows [][]string) {
	first := []string{r.Policy, fmt.Sprint(r.Seed), formatShare(r.EarnedShare), formatShare(r.WorstWindows), formatShare(r.RefusedShare), fmt.Sprintf("%.2f", r.ImagesPerRunner), fmt.Sprintf("%.0f", r.BestEffortCoreSeconds), formatShare(r.WithheldShare), fmt.Sprintf("%.0f", r.OverTargetSeconds), fmt.Sprint(r.Stopped), fmt.Sprintf("%.0f", r.WastedCoreSeconds)}
	for _, k := range r.Queues {
		rows = append(rows, append(slices.Clone(first), k.Queue, fmt.Sprint(k.Jobs), fmt.Sprint(k.OnTime), fmt.Sprint(k.Late), fmt.Sprint(k.Refused), fmt.Sprint(k.Missed), formatShare(k.EarnedShare), fmt.Sprintf("%.0f", k.StartP50Millis), fmt.Sprintf("%.0f", k.StartP99Millis)))
		first = make([]string, len(first))
	}
	return rows
}

func formatShare(x float64) string { return fmt.Sprintf("%.3f", x) }

// Mean returns the mean of results of one policy with several seeds. Starts, Stopped, Retries,
// NoRoom and the numbers of jobs are sums. The mean has no samples.
func Mean(results []*Result) *Result {
	if len(results) == 1 {
		return results[0]
	}
	m := &Result{Policy: results[0].Policy}
	n := float64(len(results))
	for _, r := range results {
		m.EarnedShare += r.EarnedShare / n
		m.WorstWindows += r.WorstWindows / n
		m.RefusedShare += r.RefusedShare / n
		m.ImagesPerRunner += r.ImagesPerRunner / n
		m.BestEffortCoreSeconds += r.BestEffortCoreSeconds / n
		m.WithheldShare += r.WithheldShare / n
		m.OverTargetSeconds += r.OverTargetSeconds / n
		m.WastedCoreSeconds += r.WastedCoreSeconds / n
		m.TookSeconds += r.TookSeconds / n
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
			into.OnTime += k.OnTime
			into.Late += k.Late
			into.Refused += k.Refused
			into.Missed += k.Missed
			into.EarnedShare += k.EarnedShare / n
			into.StartP50Millis += k.StartP50Millis / n
			into.StartP99Millis += k.StartP99Millis / n
		}
	}
	return m
}
