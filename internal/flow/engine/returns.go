package engine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// The order of retries addresses demand that exceeds the capacity for seconds: callers are refused and
// retry, some again and again, while newcomers are admitted ahead of them. A refused caller gets a place,
// which is a reserved time for its retry.
const (
	// maxPlaces bounds the memory that refused callers take.
	maxPlaces = 4096
	// maxRetries is how often a caller retries. One that is refused after that has given up.
	maxRetries = 4
	// earliestReturn is the share of the time that a caller was told after which its retry is in time.
	// Callers come back up to 30% early.
	earliestReturn = 0.7
	// placeGrace is how long after its time a place is kept free. A call takes up to a second while the
	// owner changes.
	placeGrace = time.Second
	// lateReturnTime is how long after the end of its place a caller is remembered.
	lateReturnTime = 10 * time.Second
	// maxSpread bounds the time over which retries are spread while the store fails or no capacity is
	// known. An outage takes seconds, and what waits longer is of no use to urgent callers.
	maxSpread = 4 * time.Second
)

// returnTiming tells when a caller submits a job in relation to its place.
type returnTiming uint8

const (
	notRefused returnTiming = iota
	returnsEarly
	returnsInTime
	returnsLate
)

// ReturnCounts counts the retries of refused callers by their timing, and the places whose callers did not
// return.
type ReturnCounts struct{ InTime, Early, Late, Expired int }

// place is the reserved time for the retry of a refused caller.
type place struct {
	id         string
	service    string
	priority   int
	bestEffort bool
	// work is the expected work of the job, in thousandths of a processor times milliseconds.
	work float64
	// firstAt is the time of the first attempt, from which the objective counts.
	firstAt time.Duration
	// order is the time at which there is room for the job. Places are served in this order, which a
	// refused retry leaves as it was.
	order time.Duration
	// opensAt and due bound the time of the retry. due is what the caller was told.
	opensAt, due time.Duration
	// holds is set if callers that come after the place leave room for its job. A job that is of no use
	// any more at that time keeps nobody out.
	holds bool
	// refusals counts how often the caller was refused.
	refusals int
}

// timing returns the timing of a retry. A nil place is that of a caller that was not refused.
func (p *place) timing(now time.Duration) returnTiming {
	switch {
	case p == nil:
		return notRefused
	case now < p.opensAt:
		return returnsEarly
	case now <= p.due+placeGrace:
		return returnsInTime
	}
	return returnsLate
}

// isExpected reports whether the caller may still return in its time.
func (p *place) isExpected(now time.Duration) bool { return now <= p.due+placeGrace }

func comparePlaces(a, b *place) int {
	return cmp.Or(cmp.Compare(a.order, b.order), strings.Compare(a.id, b.id))
}

// places holds the places of refused callers.
type places struct {
	byID map[string]*place
	// ordered holds them in the order in which they are served within a priority.
	ordered []*place
}

// attempt is a submission of a job, as the order of retries sees it.
type attempt struct {
	id         string
	service    string
	priority   int
	bestEffort bool
	// firstAt is the time of the caller's first attempt.
	firstAt time.Duration
	// load is the load on the runners with the job, without the work of places.
	load Load
	// work is that of the job itself.
	work float64
	// servedFor is how long after the first attempt the job may be admitted and still be done within the time
	// that admission allows.
	servedFor time.Duration
	// usefulFor is how long after the first attempt the job may be done and still be of use.
	usefulFor time.Duration
}

// firstAttempt returns when a caller first came.
func (b *places) firstAttempt(id string, now time.Duration) time.Duration {
	if p := b.byID[id]; p != nil {
		return p.firstAt
	}
	return now
}

// workBefore returns the work of the places that come before an attempt: that for which room is left, and that
// of the other callers who were told to return. For a caller that returns to its own place these are the places
// before that one, and for any other all. Places of a more urgent queue come before those of a less urgent one,
// and best-effort jobs take no processors from other jobs.
func (b *places) workBefore(a attempt, now time.Duration) (held, others float64) {
	own := b.byID[a.id]
	if own.timing(now) == returnsLate {
		own = nil
	}
	for _, p := range b.ordered {
		isLater := own != nil && p.priority == own.priority && comparePlaces(p, own) >= 0
		switch {
		case !p.isExpected(now) || p.service != a.service || p.priority > a.priority || !a.bestEffort && p.bestEffort || isLater:
		case p.holds:
			held += p.work
		default:
			others += p.work
		}
	}
	return held, others
}

// decide reports whether an attempt is admitted. A caller that returns in its time is, since all others left
// room for it: the estimates from which its time followed may have been wrong, but it is not to pay for that
// again. Any other retry must end while its job is of use, or begin almost at once, since a job that ends too
// late only keeps others out. The returned load includes the work of places.
func (b *places) decide(a attempt, now time.Duration) (ok bool, l Load) {
	own := b.byID[a.id]
	l = a.load
	held, _ := b.workBefore(a, now)
	l.Backlog += held
	if own != nil {
		useful := float64((own.firstAt + a.usefulFor - now).Milliseconds())
		l.AllowedMillis = min(l.AllowedMillis, max(useful, l.CriticalPathMillis))
	}
	ok, _ = Admit(l)
	return ok || own.timing(now) == returnsInTime && own.holds && l.MilliCPU > 0, l
}

// refuse gives the caller of a refused attempt a place, and returns how long it is to wait. A caller that
// returns early keeps the place that it has. With capacityKnown unset, the time of its room is not known.
func (b *places) refuse(a attempt, l Load, capacityKnown bool, now time.Duration) (p *place, after time.Duration) {
	p = b.byID[a.id]
	timing := p.timing(now)
	if p == nil {
		p = &place{id: a.id, firstAt: a.firstAt}
	}
	_, others := b.workBefore(a, now)
	b.drop(a.id)
	p.refusals++
	p.service, p.priority, p.bestEffort, p.work = a.service, a.priority, a.bestEffort, a.work
	switch {
	case !capacityKnown || l.MilliCPU <= 0:
		after = spread(a.id, p.refusals, b.waitingTime(a))
		p.order = now + after
	case timing == returnsEarly:
		after = max(p.due-now, minRetryAfter)
	default:
		// A time that proved too short is not told again, so that the retries are not used up within
		// a few seconds.
		_, after = Admit(l)
		after = max(after, min(time.Duration(p.refusals)*time.Second, maxSpread))
		if p.firstAt+a.servedFor < now+wholeSeconds(after) {
			// No room is left for the others. Most of them give up, so that their whole work would make
			// the time too long, but they are not to arrive together.
			after += l.timeFor(others) % maxSpread
		}
		if timing != returnsInTime {
			p.order = now + after
		}
	}
	after = wholeSeconds(after)
	p.opensAt, p.due = now+time.Duration(earliestReturn*float64(after)), now+after
	if timing != returnsEarly {
		p.holds = a.work > 0 && p.due <= p.firstAt+a.servedFor
	}
	if p.refusals <= maxRetries {
		b.add(p)
	}
	return p, after
}

// wholeSeconds rounds a time up to whole seconds, in which callers are told it.
func wholeSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1) / time.Second * time.Second
}

// waitingTime returns how long the runners of a service take for the work of all places.
func (b *places) waitingTime(a attempt) time.Duration {
	work := a.work
	for _, p := range b.ordered {
		if p.service == a.service {
			work += p.work
		}
	}
	return a.load.timeFor(work)
}

// spread returns a time of whole seconds, up to that which the waiting work needs and within minRetryAfter and
// maxSpread, by a hash of the job's id, so that the retries arrive evenly. Each further refusal adds a second
// to the least, so that the retries of a caller outlast an outage of several seconds.
func spread(id string, refusals int, waiting time.Duration) time.Duration {
	least := min(max(refusals, 1), int(maxSpread/time.Second))
	most := max(least, int(min(wholeSeconds(waiting), maxSpread)/time.Second))
	return SpreadRetry(id, time.Duration(least)*time.Second, time.Duration(most)*time.Second)
}

// SpreadRetry returns a time of whole seconds from least to most by a hash of a job's id.
func SpreadRetry(id string, least, most time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	choices := uint32((most-least)/time.Second) + 1
	return least + time.Duration(h.Sum32()%choices)*time.Second
}

// add adds a place. If there are too many, the one of the lowest priority goes, and of these the last.
func (b *places) add(p *place) {
	b.insert(p)
	if len(b.ordered) > maxPlaces {
		b.drop(slices.MaxFunc(b.ordered, func(a, b *place) int {
			return cmp.Or(cmp.Compare(a.priority, b.priority), comparePlaces(a, b))
		}).id)
	}
}

func (b *places) insert(p *place) {
	i, _ := slices.BinarySearchFunc(b.ordered, p, comparePlaces)
	b.ordered = slices.Insert(b.ordered, i, p)
	b.byID[p.id] = p
}

// drop deletes the place of a caller, if it has one.
func (b *places) drop(id string) {
	p := b.byID[id]
	if p == nil {
		return
	}
	delete(b.byID, id)
	if i, found := slices.BinarySearchFunc(b.ordered, p, comparePlaces); found {
		b.ordered = slices.Delete(b.ordered, i, i+1)
	}
}

// expire deletes the places whose callers have not returned, and returns how many there were.
func (b *places) expire(now time.Duration) (expired int) {
	b.ordered = slices.DeleteFunc(b.ordered, func(p *place) bool {
		if now <= p.due+placeGrace+lateReturnTime {
			return false
		}
		delete(b.byID, p.id)
		expired++
		return true
	})
	return expired
}

// count counts a retry by its timing.
func (c *ReturnCounts) count(t returnTiming) {
	switch t {
	case returnsEarly:
		c.Early++
	case returnsInTime:
		c.InTime++
	case returnsLate:
		c.Late++
	}
}
