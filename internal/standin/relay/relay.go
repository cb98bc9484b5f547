// Package relay provides a TCP proxy that simulates a faulty network link: it can delay and stall
// traffic, refuse connections, close them and silence them for good.
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
	// maxChunksInTransit bounds the delayed chunks of one direction of a connection.
	maxChunksInTransit = 1024
)

// Mode selects the faults of a link; the zero value forwards everything at once.
type Mode struct {
	// Delay and Jitter delay each chunk by a random time between Delay and Delay plus Jitter; the
	// order of the bytes is kept.
	Delay  time.Duration
	Jitter time.Duration
	// StallToServer and StallFromServer hold back the bytes of one direction until the mode changes.
	StallToServer   bool
	StallFromServer bool
	// Refuse closes new connections at once and leaves open ones alone.
	Refuse bool
	// CutAfter closes each connection after this many bytes from the server; 0 means never.
	CutAfter int
}

// Relay is one link to a server; it is safe for concurrent use.
type Relay struct {
	target         string
	listener       net.Listener
	mu             sync.Mutex
	mode           Mode
	modeChanged    chan struct{}
	connections    map[*connection]bool
	bytesForwarded atomic.Int64
}

// connection is an open connection through a relay. The bytes of a silent direction are lost, and the
// other side does not learn that it was closed.
type connection struct {
	client, server                   net.Conn
	silentToServer, silentFromServer atomic.Bool
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// New returns a Relay that listens on a free port of 127.0.0.1 and forwards connections to target,
// a host and port, until Close. It fails if it cannot listen.
func New(target string, m Mode) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, mode: m, modeChanged: make(chan struct{}), connections: map[*connection]bool{}}
	go r.serve()
	return r, nil
}

// Address returns the host and port at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// BytesForwarded returns the number of bytes forwarded in both directions of all connections.
func (r *Relay) BytesForwarded() int64 { return r.bytesForwarded.Load() }

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(Mode{})
	r.CloseConnections()
}

// Set replaces the mode, for open and new connections.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

// CloseConnections closes all open connections; the relay goes on accepting new ones.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.close()
	}
}

// Silence silences directions of all open connections for good, without a reset; new ones work. It
// returns how many connections are open.
func (r *Relay) Silence(toServer, fromServer bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if toServer {
			c.silentToServer.Store(true)
		}
		if fromServer {
			c.silentFromServer.Store(true)
		}
	}
	return len(r.connections)
}

func (r *Relay) currentMode() (Mode, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.modeChanged
}

func (r *Relay) track(c *connection, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.connections[c] = true
	} else {
		delete(r.connections, c)
	}
}

func (r *Relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := r.currentMode(); m.Refuse {
			_ = client.Close()
			continue
		}
		go r.handle(client)
	}
}

func (r *Relay) handle(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, server: server}
	r.track(c, true)
	toServerDone := make(chan struct{})
	go func() {
		defer close(toServerDone)
		r.forward(client, server, &c.silentToServer, true)
	}()
	r.forward(server, client, &c.silentFromServer, false)
	<-toServerDone
	r.track(c, false)
}

// chunk is a piece of the data of one direction with the time from which it may be delivered.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward copies the data of one direction until either side closes, and then closes both. It reads
// ahead of the delivery, so that a delay does not limit the throughput. If the direction is silent, the
// other side stays open.
func (r *Relay) forward(from, to net.Conn, silent *atomic.Bool, toServer bool) {
	chunks := make(chan chunk, maxChunksInTransit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.deliver(chunks, to, silent, toServer)
		_ = from.Close()
		if !silent.Load() {
			_ = to.Close()
		}
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m, _ := r.currentMode()
			c := chunk{data: append([]byte(nil), buffer[:n]...), deliverAt: time.Now().Add(m.Delay + rand.N(m.Jitter+1))}
			select {
			case chunks <- c:
			case <-done:
				err = net.ErrClosed
			}
		}
		if err != nil {
			close(chunks)
			<-done
			return
		}
	}
}

// deliver writes each chunk to the destination at its time, until a write fails or CutAfter is
// reached.
func (r *Relay) deliver(chunks <-chan chunk, to net.Conn, silent *atomic.Bool, toServer bool) {
	forwarded := 0
	for c := range chunks {
		time.Sleep(time.Until(c.deliverAt))
		m := r.waitWhileStalled(toServer)
		if silent.Load() {
			continue
		}
		forwarded += len(c.data)
		r.bytesForwarded.Add(int64(len(c.data)))
		if !toServer && m.CutAfter > 0 && forwarded > m.CutAfter {
			_, _ = to.Write(c.data[:max(0, len(c.data)-(forwarded-m.CutAfter))])
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// waitWhileStalled waits until the direction is not stalled and returns the mode in force.
func (r *Relay) waitWhileStalled(toServer bool) Mode {
	for {
		m, changed := r.currentMode()
		if toServer && !m.StallToServer || !toServer && !m.StallFromServer {
			return m
		}
		<-changed
	}
}
