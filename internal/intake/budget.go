package intake

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ConnBytes is counted for each connection, and RequestBytes in addition while it has a request:
	// goroutines, buffers, the request, and what the kernel has received.
	ConnBytes    = 20 << 10
	RequestBytes = 32 << 10
	// smallBytes is what a connection with an ordinary request holds. Only such connections get the last
	// part of the budget.
	smallBytes = ConnBytes + RequestBytes + 24<<10
	// largeFraction is the part of the budget that connections with more than smallBytes can fill, and
	// shareFraction is the part that a single connection can hold.
	largeFraction = 0.75
	shareFraction = 0.25
	// Connections that are being closed may be open beside the most that are allowed, up to one in spareDivisor
	// of these and up to maxSpare.
	spareDivisor = 8
	maxSpare     = 256
	// grace is how long an unfinished request is not closed for a large one. Clients inside the limits
	// have sent theirs by then.
	grace = 300 * time.Millisecond
)

// Phase says what a connection is doing.
type phase int

const (
	// phaseNew waits for the first request, and phaseIdle for another one.
	phaseNew phase = iota
	phaseIdle
	phaseReceiving
	// phaseComplete has a request that was read completely, which must be answered.
	phaseComplete
)

// Budget allocates bytes to connections. It is safe for concurrent use.
type Budget struct {
	maxBytes, largeBytes, shareBytes int64
	maxConns, spareConns             int
	mu                               sync.Mutex
	holdings                         map[*Holding]struct{}
	used                             int64
	// leavingBytes and leavingConns belong to connections that were selected and are not closed yet.
	leavingBytes int64
	leavingConns int
	// changed is closed and replaced when something is given back.
	changed chan struct{}
}

// Holding is what one connection holds.
type Holding struct {
	budget *Budget
	// evict is called by the receiver of a Decision that selects this holding.
	evict func()
	held  int64
	phase phase
	// since is when the phase began, or the request of phaseComplete.
	since time.Time
	// weight is what was held since then, in byte-seconds, up to countedAt.
	weight    float64
	countedAt time.Time
	// progressAt is when bytes were last received, in Unix nanoseconds.
	progressAt atomic.Int64
	selected   bool
}

// Decision is the outcome of a request for bytes or for a connection. It is refused if it is neither
// granted nor waits.
type Decision struct {
	Granted bool
	// Wait is closed when it is worth asking again, or nil.
	Wait <-chan struct{}
	// Small is set if it was an ordinary request that asked.
	Small bool
	// Selected are the holdings whose connections are to be closed.
	Selected []*Holding
}

// NewBudget returns a Budget of that many bytes and connections, where 0 means no limit.
func NewBudget(maxBytes int64, maxConns int) *Budget {
	if maxBytes <= 0 {
		maxBytes = math.MaxInt64 / 4
	}
	if maxConns <= 0 {
		maxConns = math.MaxInt / 4
	}
	return &Budget{
		maxBytes: maxBytes, largeBytes: int64(largeFraction * float64(maxBytes)), shareBytes: int64(shareFraction * float64(maxBytes)), maxConns: maxConns, spareConns: min(maxConns/spareDivisor, maxSpare),
		holdings: map[*Holding]struct{}{}, changed: make(chan struct{}),
	}
}

// Usage returns how many bytes are held and by how many connections.
func (b *Budget) Usage() (bytes int64, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.holdings)
}

// Open asks for a connection, and returns its holding if it is granted. Evict is to close the connection
// when another one needs what it holds.
func (b *Budget) Open(now time.Time, evict func()) (*Holding, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.decide(now, nil, ConnBytes, 1)
	if !d.Granted {
		return nil, d
	}
	c := &Holding{budget: b, evict: evict, held: ConnBytes, since: now, countedAt: now}
	c.progressAt.Store(now.UnixNano())
	b.holdings[c] = struct{}{}
	b.used += ConnBytes
	return c, d
}

// decide says whether bytes and connections are granted to a holding, or to a new connection if it is nil. The
// caller holds mu.
func (b *Budget) decide(now time.Time, c *Holding, bytes int64, conns int) Decision {
	small, limit := c == nil || c.held+bytes <= smallBytes, b.maxBytes
	if !small {
		limit = b.largeBytes
	}
	missingBytes, missingConns := b.used+bytes-limit, len(b.holdings)+conns-b.maxConns
	if conns == 0 {
		missingConns = 0
	}
	if missingBytes <= 0 && missingConns <= 0 {
		return Decision{Granted: true, Small: small}
	}
	missingBytes, missingConns = missingBytes-b.leavingBytes, missingConns-b.leavingConns
	d := Decision{Wait: b.changed, Small: small}
	for missingBytes > 0 || missingConns > 0 {
		v := b.choose(now, c, small)
		if v == nil {
			break
		}
		b.setSelected(v, true)
		d.Selected = append(d.Selected, v)
		missingBytes, missingConns = missingBytes-v.held, missingConns-1
	}
	if missingBytes > 0 || missingConns > 0 {
		for _, v := range d.Selected {
			b.setSelected(v, false)
		}
		return Decision{}
	}
	// A new connection need not wait for a connection that waits for its client to close it, as long as they are few.
	if c == nil && b.leavingConns <= b.spareConns {
		d.Granted, d.Wait = true, nil
	}
	return d
}

// setSelected changes whether the connection of a holding is being closed. The caller holds mu.
func (b *Budget) setSelected(v *Holding, selected bool) {
	v.selected = selected
	if selected {
		b.leavingBytes += v.held
		b.leavingConns++
		return
	}
	b.leavingBytes -= v.held
	b.leavingConns--
}

// choose returns the holding whose connection is closed first for another one, or nil. The caller holds mu.
func (b *Budget) choose(now time.Time, requester *Holding, small bool) (chosen *Holding) {
	bestRank, bestScore := 0, 0.0
	for c := range b.holdings {
		if c == requester || c.selected {
			continue
		}
		rank, score := c.rank(now, small)
		if rank > bestRank || rank > 0 && rank == bestRank && score > bestScore {
			chosen, bestRank, bestScore = c, rank, score
		}
	}
	if requester == nil || bestRank < rankUnfinished {
		return chosen
	}
	// The requester would be the first to be closed for another one, so that it is the one to give way.
	if rank, score := requester.rank(now, small); rank > bestRank || rank == bestRank && score > bestScore {
		return nil
	}
	return chosen
}

// Ranks of connections. One of a higher rank is closed first.
const (
	// rankKept is not closed.
	rankKept = iota
	// rankFresh is idle for a short time, or has begun a large request, which is closed for a small one.
	rankFresh
	rankIdle
	rankUnfinished
	// rankStalled has an unfinished request without progress. It may have reserved much and sent nothing.
	rankStalled
)

// rank returns how readily the connection is closed, and a score among those of the same rank.
func (c *Holding) rank(now time.Time, small bool) (rank int, score float64) {
	age := now.Sub(c.since)
	switch c.phase {
	case phaseComplete:
		return rankKept, 0
	case phaseIdle:
		if age < grace {
			return rankFresh, age.Seconds()
		}
		return rankIdle, age.Seconds()
	}
	score = c.weight + float64(c.held)*now.Sub(c.countedAt).Seconds()
	switch {
	case age >= grace && now.UnixNano()-c.progressAt.Load() >= int64(grace):
		return rankStalled, score
	case age >= grace:
		return rankUnfinished, score
	case small && c.held > smallBytes:
		return rankFresh, score
	}
	return rankKept, 0
}

// notify wakes those that wait. The caller holds mu.
func (b *Budget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Evict closes the connection of a selected holding.
func (c *Holding) Evict() { c.evict() }

// Take asks for more bytes.
func (c *Holding) Take(now time.Time, bytes int64) Decision {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.selected || c.held+bytes > b.shareBytes {
		return Decision{}
	}
	d := b.decide(now, c, bytes, 0)
	if d.Granted {
		c.change(now, bytes)
	}
	return d
}

// Give returns bytes that were taken.
func (c *Holding) Give(now time.Time, bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.change(now, -bytes)
}

// change changes what is held. The caller holds the budget's mu.
func (c *Holding) change(now time.Time, bytes int64) {
	b := c.budget
	if _, open := b.holdings[c]; !open {
		return
	}
	c.weight += float64(c.held) * now.Sub(c.countedAt).Seconds()
	c.countedAt = now
	c.held += bytes
	b.used += bytes
	if c.selected {
		b.leavingBytes += bytes
	}
	if bytes < 0 {
		b.notify()
	}
}

// Begin records that the first bytes of a request have arrived. A connection that was selected before is
// not closed, as its request may be complete.
func (c *Holding) Begin(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.selected {
		c.budget.setSelected(c, false)
		c.budget.notify()
	}
	c.enter(now, phaseReceiving)
}

func (c *Holding) enter(now time.Time, p phase) {
	c.phase, c.since, c.countedAt, c.weight = p, now, now, 0
	c.progressAt.Store(now.UnixNano())
}

// Progress records that bytes of the request were received.
func (c *Holding) Progress(now time.Time) { c.progressAt.Store(now.UnixNano()) }

// Complete records that the request was read completely, and reports false if its connection was selected
// before, so that the request has to be refused.
func (c *Holding) Complete() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.selected {
		return false
	}
	c.phase = phaseComplete
	return true
}

// Idle records that the request was answered, and gives back what it held.
func (c *Holding) Idle(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.change(now, ConnBytes-c.held)
	c.enter(now, phaseIdle)
}

// Selected reports whether the connection is to be closed.
func (c *Holding) Selected() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.selected
}

// Close records that the connection was closed.
func (c *Holding) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.holdings[c]; !open {
		return
	}
	if c.selected {
		b.setSelected(c, false)
	}
	delete(b.holdings, c)
	b.used -= c.held
	b.notify()
}
