package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// answerWait limits how long a script waits for an answer.
	answerWait = 10 * time.Second
	// settlePause lets the server's goroutines reach the point at which they wait.
	settlePause = 50 * time.Millisecond
	// shortHeaderTimeout is that of scripts in which it passes.
	shortHeaderTimeout = 500 * time.Millisecond
	// handlerTimeout is how long handlers may take to answer after the time for stopping.
	handlerTimeout = 2 * time.Second
	maxBodyBytes   = 100
)

// TestStopCutsNoRequest runs the scripts in testdata/stop, in which requests reach a server that has no
// processor time to read them while it stops. It guards against connections that are closed with them.
func TestStopCutsNoRequest(t *testing.T) {
	testStop(t, func() *Limits { return nil })
}

// TestLimitedStopCutsNoRequest is TestStopCutsNoRequest with limits of what clients hold.
func TestLimitedStopCutsNoRequest(t *testing.T) {
	testStop(t, func() *Limits {
		b := intake.NewBudget(8<<20, 64)
		return &Limits{Budget: b, Metrics: telemetry.NewIntake(telemetry.NewMetrics(), b.Usage)}
	})
}

func testStop(t *testing.T, newLimits func() *Limits) {
	datadriven.Walk(t, "testdata/stop", func(t *testing.T, path string) {
		w := newWorld(t, path, newLimits())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return w.runCommand(t, d) })
	})
}

// world is a server and its clients.
type world struct {
	server   *Server
	address  string
	clients  map[string]*client
	accepts  *gate
	reads    *gate
	closes   *gate
	answers  *gate
	log      lockedBuffer
	handling chan struct{}
	served   chan error
	stopped  chan error
}

// client is a connection to the server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// gate holds those that pass it while it is closed, as a process does that gets no processor time.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) pass(ctx context.Context) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}

// slowListener holds connections in its queue, and reads of those that were accepted.
type slowListener struct {
	*net.TCPListener
	world *world
}

func (l slowListener) Accept() (net.Conn, error) {
	l.world.accepts.pass(context.Background())
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.world}, nil
}

type slowConn struct {
	*net.TCPConn
	world *world
}

func (c slowConn) Read(p []byte) (int, error) {
	c.world.reads.pass(context.Background())
	n, err := c.TCPConn.Read(p)
	c.world.reads.pass(context.Background())
	return n, err
}

// SetDeadline is called when the server closes a connection with a refusal.
func (c slowConn) SetDeadline(t time.Time) error {
	c.world.closes.pass(context.Background())
	return c.TCPConn.SetDeadline(t)
}

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

func newWorld(t *testing.T, script string, limits *Limits) *world {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		address: l.Addr().String(), clients: map[string]*client{}, accepts: newGate(), reads: newGate(), closes: newGate(), answers: newGate(),
		handling: make(chan struct{}, 100), served: make(chan error, 1), stopped: make(chan error, 1),
	}
	headerTimeout := answerWait
	if filepath.Base(script) == "timed-out" {
		headerTimeout = shortHeaderTimeout
	}
	w.server = New(Options{
		Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: headerTimeout, IdleTimeout: answerWait, Limits: limits,
		Refuse: func(rw http.ResponseWriter) { rw.WriteHeader(http.StatusServiceUnavailable) },
		Log:    slog.New(slog.NewTextHandler(io.MultiWriter(t.Output(), &w.log), nil)), Metrics: telemetry.NewConnections(telemetry.NewMetrics()),
	})
	go func() { w.served <- w.server.Serve(slowListener{l.(*net.TCPListener), w}) }()
	t.Cleanup(func() {
		w.accepts.release()
		w.reads.release()
		w.closes.release()
		w.answers.release()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = w.server.Stop(ctx, 0)
		if err := <-w.served; err != nil {
			t.Error(err)
		}
		for _, c := range w.clients {
			_ = c.Close()
		}
	})
	return w
}

// handle answers with the body of the request once the gate for answers is open, or says that it was
// not answered in time.
func (w *world) handle(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	if err != nil {
		rw.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	w.handling <- struct{}{}
	if r.URL.Path == "/early" {
		rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
		rw.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw).Flush()
	}
	w.answers.pass(r.Context())
	if r.Context().Err() != nil {
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = rw.Write(body)
}

func (w *world) runCommand(t *testing.T, d *datadriven.TestData) string {
	name, part, path, timeout := "a", "", "/", answerWait.String()
	for key, into := range map[string]*string{"client": &name, "part": &part, "path": &path, "timeout": &timeout} {
		if d.HasArg(key) {
			d.ScanArgs(t, key, into)
		}
	}
	switch d.Cmd {
	case "connect":
		conn, err := net.Dial("tcp", w.address)
		if err != nil {
			return "refused\n"
		}
		w.clients[name] = &client{Conn: conn, reader: bufio.NewReader(conn)}
	case "crowd":
		return w.crowd(t, d)
	case "answers":
		return w.countAnswers()
	case "send":
		return w.send(w.clients[name], path, part)
	case "answer":
		return w.clients[name].answer()
	case "hold":
		w.gate(t, d).close()
	case "release":
		w.gate(t, d).release()
	case "handled":
		select {
		case <-w.handling:
		case <-time.After(answerWait):
			t.Fatal("no request reaches the handler")
		}
	case "announce":
		w.server.Announce()
	case "stop":
		limit, err := time.ParseDuration(timeout)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			w.stopped <- w.server.Stop(ctx, handlerTimeout)
		}()
	case "stopped":
		select {
		case err := <-w.stopped:
			if err != nil {
				return err.Error() + "\n"
			}
		case <-time.After(answerWait):
			t.Fatal("the server does not stop")
		}
	case "cuts":
		return fmt.Sprintln(w.log.count("closed before its request was answered"))
	case "pause":
		time.Sleep(2 * shortHeaderTimeout)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	time.Sleep(settlePause)
	return ""
}

// crowd connects a number of clients, each with a request.
func (w *world) crowd(t *testing.T, d *datadriven.TestData) string {
	var count int
	d.ScanArgs(t, "count", &count)
	for i := range count {
		conn, err := net.Dial("tcp", w.address)
		if err != nil {
			return "refused\n"
		}
		c := &client{Conn: conn, reader: bufio.NewReader(conn)}
		w.clients[fmt.Sprintf("crowd-%d", i)] = c
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: hub\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
			return "not sent\n"
		}
	}
	time.Sleep(settlePause)
	return ""
}

// countAnswers reads the answers to the requests of a crowd.
func (w *world) countAnswers() string {
	counts := map[string]int{}
	for name, c := range w.clients {
		if strings.HasPrefix(name, "crowd-") {
			counts[c.answer()]++
		}
	}
	var text strings.Builder
	for _, answer := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&text, "%d: %s", counts[answer], answer)
	}
	return text.String()
}

func (w *world) gate(t *testing.T, d *datadriven.TestData) *gate {
	what := ""
	d.ScanArgs(t, "what", &what)
	g := map[string]*gate{"accepts": w.accepts, "reads": w.reads, "closes": w.closes, "answers": w.answers}[what]
	if g == nil {
		t.Fatalf("unknown gate %s", what)
	}
	return g
}

// send sends a request, a part of one, or something else.
func (w *world) send(c *client, path, part string) string {
	request := "POST " + path + " HTTP/1.1\r\nHost: hub\r\nContent-Length: 2\r\n\r\n{}"
	half := len(request) / 2
	switch part {
	case "first":
		request = request[:half]
	case "rest":
		request = request[half:]
	case "twice":
		request += request
	case "too-large":
		request = "POST / HTTP/1.1\r\nHost: hub\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 2*maxBodyBytes)
	case "garbage":
		request = "GARBAGE\r\n\r\n"
	}
	if _, err := io.WriteString(c, request); err != nil {
		return "not sent\n"
	}
	time.Sleep(settlePause)
	return ""
}

// answer reads one response, and says whether the server keeps the connection.
func (c *client) answer() string {
	_ = c.SetReadDeadline(time.Now().Add(answerWait))
	response, err := http.ReadResponse(c.reader, nil)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "closed\n"
	case err != nil:
		return "no answer\n"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d cut off\n", response.StatusCode)
	}
	if response.Close {
		return fmt.Sprintf("%d %s, the last one\n", response.StatusCode, body)
	}
	return fmt.Sprintf("%d %s\n", response.StatusCode, body)
}

// returningListener connects another client each time the server waits for a connection, as clients do
// that come back at once while the process gets no processor time.
type returningListener struct {
	*net.TCPListener
	connect func()
}

func (l returningListener) Accept() (net.Conn, error) {
	if !acceptable(l.TCPListener) {
		l.connect()
	}
	return l.AcceptTCP()
}

// TestStopBesideReturningClients guards against a listener that waits for more connections than those in
// its queue once it is to be closed, since the queue of a process that is short of processor time is full
// again each time it has waited.
func TestStopBesideReturningClients(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	stopping := make(chan struct{})
	server := New(Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		Refuse:  func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		Log:     slog.New(slog.NewTextHandler(t.Output(), nil)), Metrics: telemetry.NewConnections(telemetry.NewMetrics()),
	})
	var clients sync.WaitGroup
	var cut atomic.Int64
	connect := func() {
		select {
		case <-stopping:
		default:
			return
		}
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		clients.Go(func() {
			defer conn.Close()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: hub\r\n\r\n")
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				cut.Add(1)
			}
		})
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(returningListener{l.(*net.TCPListener), connect}) }()
	time.Sleep(settlePause)
	close(stopping)
	connect()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.NoErr(server.Stop(ctx, handlerTimeout))
	is.NoErr(ctx.Err()) // the listener is closed once its queue is empty
	is.NoErr(<-served)
	clients.Wait()
	is.Equal(cut.Load(), int64(0))
}

const (
	lateConns = 40
	// lateClose is how long the Close of a connection waits for the goroutine that reads from it.
	lateClose = 50 * time.Millisecond
)

// lateListener accepts connections whose first Close waits.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &lateConn{Conn: c}, err
}

type lateConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *lateConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		time.Sleep(lateClose)
	}
	return c.Conn.Close()
}

// TestStopClosesConnectionsAtOnce guards against a stop that closes one connection after another, each of
// which waits for a process short of processor time.
func TestStopClosesConnectionsAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	answers := make(chan struct{})
	handling := make(chan struct{}, lateConns)
	server := New(Options{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			handling <- struct{}{}
			<-answers
		}),
		Refuse: func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
		Log:    slog.New(slog.DiscardHandler), Metrics: telemetry.NewConnections(telemetry.NewMetrics()),
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(lateListener{l}) }()
	for range lateConns {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: hub\r\n\r\n")
		is.NoErr(err)
		<-handling
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	is.True(server.Stop(ctx, 0) != nil) // the requests are not answered
	is.True(time.Since(began) < lateConns*lateClose/2)
	close(answers)
	is.NoErr(<-served)
}
