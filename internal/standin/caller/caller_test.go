package caller

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOutcomes guards against a connection that the server cuts being taken for a refusal or an answer.
func TestOutcomes(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name  string
		serve func(conn net.Conn, read func())
		want  []Outcome
	}{
		{"answers", func(conn net.Conn, read func()) { read(); write(conn, answer); read(); write(conn, answer); read() }, []Outcome{Answered, Answered}},
		{"closes after an answer", func(conn net.Conn, read func()) { read(); write(conn, answer) }, []Outcome{Answered, ClosedIdle}},
		{"closes before an answer", func(_ net.Conn, read func()) { read() }, []Outcome{Cut}},
		{"closes inside a head", func(conn net.Conn, read func()) { read(); write(conn, answer[:9]) }, []Outcome{CutInside}},
		{"closes inside a body", func(conn net.Conn, read func()) { read(); write(conn, answer[:len(answer)-1]) }, []Outcome{CutInside}},
		{"resets with the request unread", func(net.Conn, func()) { time.Sleep(50 * time.Millisecond) }, []Outcome{Cut}},
		{"stays silent", func(_ net.Conn, read func()) { read(); time.Sleep(time.Second) }, []Outcome{TimedOut}},
		{"announces the close", func(conn net.Conn, read func()) {
			read()
			write(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
		}, []Outcome{Answered, Refused}},
	} {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			check.NoErr(err)
			served := make(chan struct{})
			go func() {
				defer close(served)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_ = l.Close()
				reader := bufio.NewReader(conn)
				c.serve(conn, func() {
					if r, err := http.ReadRequest(reader); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
					}
				})
				_ = conn.Close()
			}()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var got []Outcome
			caller := Caller{
				Address: l.Addr().String(), MaxPause: 100 * time.Millisecond, Timeout: 400 * time.Millisecond,
				// This seed neither splits the first requests nor reconnects, and pauses after the first.
				Random:  rand.New(rand.NewPCG(7, 7)),
				Request: func() []byte { return []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}") },
			}
			caller.Report = func(try Try) {
				if got = append(got, try.Outcome); len(got) == len(c.want) {
					cancel()
				}
			}
			caller.Run(ctx)
			check.Equal(got, c.want)
			<-served
		})
	}
}

func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
