package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// answerWait limits how long a script waits for an answer.
	answerWait = 10 * time.Second
	// settlePause lets the server's goroutines reach the point at which they wait.
	settlePause = 50 * time.Millisecond
	headerWait  = 500 * time.Millisecond
)

// TestStopCutsNoRequest runs the scripts in testdata/stop, in which requests reach a server that has no
// processor time to read them while it stops. It guards against connections that are closed with them.
func TestStopCutsNoRequest(t *testing.T) {
	datadriven.Walk(t, "testdata/stop", func(t *testing.T, path string) {
		w := newWorld(t)
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
	answers  *gate
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

func newWorld(t *testing.T) *world {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		address: l.Addr().String(), clients: map[string]*client{}, accepts: newGate(), reads: newGate(), answers: newGate(),
		handling: make(chan struct{}, 100), served: make(chan error, 1), stopped: make(chan error, 1),
	}
	w.server = New(Options{
		Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: headerWait, IdleTimeout: answerWait,
		Refuse: func(rw http.ResponseWriter) { rw.WriteHeader(http.StatusServiceUnavailable) },
		Log:    slog.New(slog.NewTextHandler(t.Output(), nil)), Metrics: telemetry.NewConnections(telemetry.NewMetrics()),
	})
	go func() { w.served <- w.server.Serve(slowListener{l.(*net.TCPListener), w}) }()
	t.Cleanup(func() {
		w.accepts.release()
		w.reads.release()
		w.answers.release()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = w.server.Stop(ctx)
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
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
	case "send":
		return w.send(w.clients[name], path, part)
	case "answer":
		return w.clients[name].answer()
	case "hold":
		w.gate(t, d).close()
	case "release":
		w.gate(t, d).release()
	case "handled":
		<-w.handling
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
			w.stopped <- w.server.Stop(ctx)
		}()
	case "stopped":
		if err := <-w.stopped; err != nil {
			return err.Error() + "\n"
		}
	case "pause":
		time.Sleep(2 * headerWait)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	time.Sleep(settlePause)
	return ""
}

func (w *world) gate(t *testing.T, d *datadriven.TestData) *gate {
	what := ""
	d.ScanArgs(t, "what", &what)
	g := map[string]*gate{"accepts": w.accepts, "reads": w.reads, "answers": w.answers}[what]
	if g == nil {
		t.Fatalf("unknown gate %s", what)
	}
	return g
}

// send sends a request, or its first half or its rest.
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
