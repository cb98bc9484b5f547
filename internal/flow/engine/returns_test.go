package engine

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// The replayed overload: a runner of 8 processors, a burst of jobs of 8 core-seconds at once and newcomers for some
// time. There is room for replayRoom jobs. Admission counts on three quarters of the processors, and allows three times the objective of 3 s.
const (
	replayBurst       = 20
	replayNewcomers   = 20
	replayInterval    = 700 * time.Millisecond
	replayRoom        = 7
	replayTaskTime    = time.Second
	replayAllowed     = 9 * time.Second
	replayJobWork     = 8.0
	replayJobsASecond = 0.75 * 8 / replayJobWork
)

// replayCaller submits a job, and after a refusal again, up to 30% before the time that it was told.
type replayCaller struct {
	id              string
	firstAt, nextAt time.Duration
	// dueAt is when the caller was last told to come at the latest.
	dueAt time.Duration
	told  []time.Duration
	// toldUseful is set if the first time that the caller was told was useful.
	toldUseful      bool
	refusedInTimeAt time.Duration
	accepted        bool
}

// useful reports whether the job can still be done within the time that is allowed when its caller returns as told.
func (c *replayCaller) useful() bool { return c.dueAt-c.firstAt+replayTaskTime <= replayAllowed }

type replay struct {
	*harness
	t       *testing.T
	callers []*replayCaller
	calls   map[uint64]*replayCaller
	ages    map[driver.RunID]time.Duration
}

func newReplay(t *testing.T) *replay {
	r := &replay{harness: newHarness(t), t: t, calls: map[uint64]*replayCaller{}, ages: map[driver.RunID]time.Duration{}}
	r.restart(0)
	r.engine.SetGrantUntil(r.now.Monotonic + time.Hour)
	r.runners["a"] = &fakeRunner{running: map[driver.RunID]*flowpb.Run{}, info: &flowpb.Runner{Id: "i-a", Born: 1, Service: "hub", MilliCpu: 8000, MemoryMb: 64_000}}
	r.connect("a")
	r.onReply = r.handleReply
	r.wait(2 * warmUpTime)
	return r
}

func (r *replay) add(count int, interval time.Duration) {
	for i := range count {
		at := r.now.Monotonic + time.Duration(i)*interval
		r.callers = append(r.callers, &replayCaller{id: fmt.Sprintf("j%03d", len(r.callers)), firstAt: at, nextAt: at})
	}
}

func (r *replay) submit(c *replayCaller) {
	r.lastCall++
	r.calls[r.lastCall] = c
	step := &flowpb.Step{Count: 4, MilliCpu: 2000, MemoryMb: 1, EstimateMillis: replayTaskTime.Milliseconds()}
	r.engine.Submit(r.lastCall, &flowpb.Job{Id: c.id, Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{step}}, r.now)
	r.commitAll()
}

func (r *replay) handleReply(reply Reply) {
	c := r.calls[reply.Call]
	if c == nil || c.accepted {
		return
	}
	if c.accepted = reply.Status == flowpb.Status_STATUS_OK; c.accepted {
		if len(c.told) == 0 {
			r.checkNoneIsOvertaken(c)
		}
		return
	}
	if len(c.told) > 0 && c.useful() && c.refusedInTimeAt == 0 {
		c.refusedInTimeAt = r.now.Monotonic
	}
	told := (reply.RetryAfter + time.Second - 1) / time.Second * time.Second
	c.told = append(c.told, told)
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.id))
	c.dueAt = r.now.Monotonic + told
	c.toldUseful = c.toldUseful || len(c.told) == 1 && c.useful()
	c.nextAt = c.dueAt - told*3/10*time.Duration(h.Sum32()%100)/100
}

// checkNoneIsOvertaken checks that nobody who returned in its time waits outside while a newcomer is admitted.
func (r *replay) checkNoneIsOvertaken(newcomer *replayCaller) {
	for _, c := range r.callers {
		if c.refusedInTimeAt > 0 && !c.accepted && newcomer.firstAt > c.refusedInTimeAt && len(c.told) <= maxReplayRetries {
			r.t.Errorf("newcomer %s was admitted after %s, which had returned in its time, was refused", newcomer.id, c.id)
		}
	}
}

const maxReplayRetries = 4

// run lets callers submit and tasks run until nothing is left to do.
func (r *replay) run() {
	for range int(90 * time.Second / testTick) {
		for _, c := range r.callers {
			if !c.accepted && len(c.told) <= maxReplayRetries && c.nextAt <= r.now.Monotonic {
				r.submit(c)
			}
		}
		runner := r.runners["a"]
		for _, id := range runner.sortedRuns() {
			if r.ages[id] += testTick; r.ages[id] >= replayTaskTime {
				runner.end(id, driver.EndDone, "")
			}
		}
		r.wait(testTick)
	}
}

// TestRetriesGoBeforeNewcomers replays a burst above the capacity, whose refused callers return while newcomers come. It
// guards against refused callers that are treated as newcomers again and again.
func TestRetriesGoBeforeNewcomers(t *testing.T) {
	is := is.New(t)
	r := newReplay(t)
	r.add(replayBurst, testTick)
	r.add(replayNewcomers, replayInterval)
	r.run()
	refused, inUse := 0, 0
	for _, c := range r.callers {
		refused += min(1, len(c.told))
		if c.refusedInTimeAt > 0 {
			t.Errorf("%s was refused %d times, after it had returned in its time: told %v", c.id, len(c.told), c.told)
		}
		if c.toldUseful && len(c.told) != 1 {
			t.Errorf("%s was refused %d times, want once: told %v", c.id, len(c.told), c.told)
		}
		if c.toldUseful {
			inUse++
		}
	}
	is.True(inUse > replayBurst/4)                  // some were told a time at which their job is still of use
	is.True(refused > replayBurst/2)                // the load exceeds the capacity
	is.Equal(len(r.engine.openJobs), 0)             // all that was accepted is done
	is.Equal(r.engine.Stats().Places, 0)            // no place is left
	is.Equal(len(r.engine.places.byID), 0)          // not by id either
	is.True(r.engine.TakeReturnCounts().InTime > 0) // and some returned in their time
}

// TestPlacesAreSpread guards against callers that were refused together and return together. In each second come those for
// whom there is room; the ones that are of no use by then come spread over maxSpread.
func TestPlacesAreSpread(t *testing.T) {
	is := is.New(t)
	r := newReplay(t)
	r.add(replayBurst, 0)
	for i, c := range r.callers {
		if i == replayRoom {
			// Tasks count as waiting after some time.
			r.wait(2 * minQueueingDelay)
		}
		r.submit(c)
	}
	inUse, others, useless := map[time.Duration]int{}, map[time.Duration]int{}, 0
	for _, c := range r.callers[replayRoom:] {
		is.Equal(len(c.told), 1)
		if c.toldUseful {
			inUse[c.told[0]]++
		} else {
			others[c.told[0]]++
			useless++
		}
	}
	is.True(len(inUse) >= 4)
	for told, count := range inUse {
		if float64(count) > replayJobsASecond+1 {
			t.Errorf("%d callers were told %v, room is for %.2f a second", count, told, replayJobsASecond)
		}
	}
	for told, count := range others {
		if count > useless/int(maxSpread/time.Second)+1 {
			t.Errorf("%d of %d callers without room in time were told %v", count, useless, told)
		}
	}
}

// TestWorkIsCountedOnce guards against work that counts as waiting outside and inside at once, or twice for one caller.
func TestWorkIsCountedOnce(t *testing.T) {
	is := is.New(t)
	b := &places{byID: map[string]*place{}}
	a := attempt{service: "hub", priority: 1, work: 8e6, firstAt: time.Hour, load: Load{MilliCPU: 8000, Backlog: 60e6, AllowedMillis: 9000}, servedFor: 8 * time.Second, usefulFor: 9 * time.Second}
	refuse := func(id string) *place {
		a.id = id
		ok, l := b.decide(a, time.Hour)
		is.True(!ok)
		p, _ := b.refuse(a, l, true, time.Hour)
		return p
	}
	one, two := refuse("one"), refuse("two")
	is.Equal(refuse("one"), one) // it returns early, and keeps its place
	is.Equal(len(b.ordered), 2)
	is.True(one.order < two.order)
	held := func(id string, priority int, now time.Duration) float64 {
		work, _ := b.workBefore(attempt{id: id, service: "hub", priority: priority}, now)
		return work
	}
	is.Equal(held("one", 1, time.Hour), 0.0) // neither its own nor what comes after
	is.Equal(held("two", 1, time.Hour), 8e6)
	is.Equal(held("newcomer", 1, time.Hour), 16e6)
	is.Equal(held("urgent", 0, time.Hour), 0.0)
	b.drop("one")
	is.Equal(held("newcomer", 1, time.Hour), 8e6)
	is.Equal(held("newcomer", 1, two.due+placeGrace+1), 0.0) // its time is over
	is.Equal(b.expire(two.due+time.Minute), 1)
	is.Equal(len(b.byID)+len(b.ordered), 0)
}

// TestPlacesAreBounded guards against memory that refused callers take without limit, and against urgent ones that lose
// their place to others.
func TestPlacesAreBounded(t *testing.T) {
	is := is.New(t)
	b := &places{byID: map[string]*place{}}
	for i := range maxPlaces + 100 {
		a := attempt{id: fmt.Sprint(i), priority: i % 2, work: 1e6, load: Load{MilliCPU: 8000, Backlog: 60e6}}
		b.refuse(a, a.load, true, time.Hour+time.Duration(i))
	}
	is.Equal(len(b.ordered), maxPlaces)
	is.Equal(len(b.byID), maxPlaces)
	urgent := 0
	for _, p := range b.ordered {
		urgent += 1 - p.priority
	}
	is.Equal(urgent, maxPlaces/2+50)
}

// TestRetriesOutlastAnOutage guards against callers that use up their retries during an outage of the store, and against
// all of them returning in the same second after it.
func TestRetriesOutlastAnOutage(t *testing.T) {
	is := is.New(t)
	r := newReplay(t)
	r.add(replayBurst, 0)
	r.engine.SetStoreFailing(r.now)
	for range maxReplayRetries + 1 {
		for _, c := range r.callers {
			r.now.Monotonic = c.nextAt
			r.submit(c)
		}
	}
	firsts := map[time.Duration]int{}
	for _, c := range r.callers {
		is.True(c.nextAt-c.told[maxReplayRetries]-c.firstAt > 5*time.Second) // the last retry comes after an outage of 5 s
		is.True(slices.Max(c.told) <= maxSpread && slices.Min(c.told) >= minRetryAfter)
		firsts[c.told[0]]++
	}
	is.True(len(firsts) >= 3 && firsts[time.Second] < replayBurst/2)
}

// TestFirstAttemptIsRemembered guards against a retry that counts as a newcomer: one that was admitted and dropped since the
// store fails, and against a place that outlives a cancel or a takeover.
func TestFirstAttemptIsRemembered(t *testing.T) {
	is := is.New(t)
	r := newReplay(t)
	r.add(1, 0)
	c := r.callers[0]
	r.engine.SetStoreFailing(r.now)
	r.submit(c)
	r.engine.SetStoreRecovered()
	r.wait(time.Second)
	r.engine.Submit(99, &flowpb.Job{Id: c.id, Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 1}}}, r.now)
	r.engine.SetStoreFailing(r.now)
	is.Equal(len(r.engine.jobs), 0)
	is.Equal(r.engine.places.firstAttempt(c.id, r.now.Monotonic), c.firstAt)
	r.engine.Cancel(100, c.id, r.now)
	is.Equal(r.engine.Stats().Places, 0)
	r.submit(c)
	is.Equal(r.engine.Stats().Places, 1)
	r.restart(time.Second)
	r.submit(c)
	is.True(c.accepted) // the next owner takes the retry for a newcomer
	is.Equal(r.engine.jobs[c.id].arrivedAt, r.now.Monotonic)
}
