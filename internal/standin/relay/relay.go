// Package relay is a stand-in for a network link: a TCP relay that delays, stalls and cuts.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes = 16 << 10
	// inTransit bounds the chunks that are on their way in one direction.
	inTransit = 1024
)

// Mode is what a relay does with the bytes that pass.
type Mode struct {
	// Delay and Jitter make each chunk late by Delay to Delay plus Jitter, in order.
	Delay  time.Duration
	Jitter time.Duration
	// HoldUp and HoldDown stall one direction, towards the server or from it.
	HoldUp   bool
	HoldDown bool
	// Refuse closes new connections at once.
	Refuse bool
	// CutAfter breaks each connection after this many bytes from the server; 0 means never.
	CutAfter int
}

// Relay is one link; it is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool
	passed   atomic.Int64
}

// New returns a Relay in front of the target address that serves until Close.
func New(target string, m Mode) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, mode: m, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Passed returns the bytes that have passed in both directions.
func (r *Relay) Passed() int64 { return r.passed.Load() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(Mode{})
	r.Cut()
}

// Set changes the mode for open and new connections.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

// Cut breaks the connections that are open.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) current() (Mode, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.changed
}

func (r *Relay) track(c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

func (r *Relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := r.current(); m.Refuse {
			_ = client.Close()
			continue
		}
		go r.join(client)
	}
}

func (r *Relay) join(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.track(client, true)
	r.track(server, true)
	go r.pass(client, server, true)
	r.pass(server, client, false)
}

// chunk is a piece of one direction with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// pass copies one direction; up is the one towards the server.
func (r *Relay) pass(from, to net.Conn, up bool) {
	chunks := make(chan chunk, inTransit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.deliver(chunks, to, up)
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m, _ := r.current()
			c := chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(m.Delay + rand.N(m.Jitter+1))}
			select {
			case chunks <- c:
			case <-done:
				err = net.ErrClosed
			}
		}
		if err != nil {
			close(chunks)
			<-done
			r.track(from, false)
			return
		}
	}
}

// deliver writes the chunks when they are due.
func (r *Relay) deliver(chunks <-chan chunk, to net.Conn, up bool) {
	passed := 0
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		m := r.gate(up)
		passed += len(c.data)
		r.passed.Add(int64(len(c.data)))
		if !up && m.CutAfter > 0 && passed > m.CutAfter {
			_, _ = to.Write(c.data[:max(0, len(c.data)-(passed-m.CutAfter))])
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// gate waits while a direction is stalled and returns the mode.
func (r *Relay) gate(up bool) Mode {
	for {
		m, changed := r.current()
		if up && !m.HoldUp || !up && !m.HoldDown {
			return m
		}
		<-changed
	}
}
