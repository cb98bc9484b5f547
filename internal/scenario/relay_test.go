package scenario

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a relay does with the bytes that pass.
type mode struct {
	delay  time.Duration
	jitter time.Duration
	// holdUp and holdDown swallow one direction without closing the connection.
	holdUp   bool
	holdDown bool
	// refuse closes new connections at once.
	refuse bool
	// cutAfter breaks each connection after this many bytes from the server; 0 means never.
	cutAfter int
}

// relay is a TCP relay that injects faults on one link.
type relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     mode
	changed  chan struct{}
	conns    map[net.Conn]bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.cut()
}

// set changes the mode; cut also breaks the connections that are open.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) current() (mode, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.changed
}

func (r *relay) track(c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := r.current(); m.refuse {
			_ = client.Close()
			continue
		}
		go r.join(client)
	}
}

func (r *relay) join(client net.Conn) {
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

// pass copies one direction; up is the one towards the server.
func (r *relay) pass(from, to net.Conn, up bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		r.track(from, false)
	}()
	buffer := make([]byte, 16<<10)
	passed := 0
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			passed += n
			m := r.gate(up)
			if m.delay > 0 {
				time.Sleep(m.delay + rand.N(m.jitter+1))
			}
			if !up && m.cutAfter > 0 && passed > m.cutAfter {
				_, _ = to.Write(buffer[:max(0, n-(passed-m.cutAfter))])
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// gate waits while a direction is held and returns the mode.
func (r *relay) gate(up bool) mode {
	for {
		m, changed := r.current()
		if up && !m.holdUp || !up && !m.holdDown {
			return m
		}
		<-changed
	}
}
