package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// acceptOneSession listens, accepts one session of the system "here" and echoes the first frame
// of each of its streams. It returns its address and a channel with the result of Accept.
func acceptOneSession(t *testing.T) (string, chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s, control, _, err := Accept(conn, "here")
		accepted <- err
		if err != nil {
			return
		}
		_ = control.SendWelcome(&peerpb.Welcome{Id: "entry"})
		for {
			stream, err := s.AcceptStream()
			if err != nil {
				return
			}
			if f, err := stream.Receive(); err == nil {
				_ = stream.Send(f)
			}
			stream.Close()
		}
	}()
	return l.Addr().String(), accepted
}

func TestSessions(t *testing.T) {
	cases := []struct {
		name  string
		hello *peerpb.Hello
		want  string
	}{
		{"same system", &peerpb.Hello{Version: Version, Id: "a", Role: RoleAgent, System: "here"}, ""},
		{"another system at a reused address", &peerpb.Hello{Version: Version, Id: "a", Role: RoleAgent, System: "there"}, "system"},
		{"another version", &peerpb.Hello{Version: Version + 1, Id: "a", Role: RoleAgent, System: "here"}, "version"},
		{"no id", &peerpb.Hello{Version: Version, Role: RoleAgent, System: "here"}, "id"},
		{"unknown role", &peerpb.Hello{Version: Version, Id: "a", Role: "boss", System: "here"}, "role"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, accepted := acceptOneSession(t)
			s, _, welcome, err := Dial(t.Context(), address, c.hello)
			if c.want != "" {
				is.True(err != nil && strings.Contains(err.Error(), c.want)) // the dialling side receives the reason
				is.True(<-accepted != nil)
				return
			}
			is.NoErr(err)
			defer s.Close()
			is.NoErr(<-accepted)
			is.Equal(welcome.GetId(), "entry")
			f, err := s.Call(t.Context(), CancelFrame(&peerpb.Cancel{Id: "x"}))
			is.NoErr(err)
			is.Equal(f.GetCancel().GetId(), "x")
		})
	}
}

func TestSilentDiallerIsDropped(t *testing.T) {
	is := is.New(t)
	address, accepted := acceptOneSession(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	select {
	case err := <-accepted:
		is.True(err != nil)
	case <-time.After(3 * handshakeTimeout):
		t.Fatal("session of a dialler that sent no hello was not closed")
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	address, _ := acceptOneSession(t)
	s, _, _, err := Dial(t.Context(), address, &peerpb.Hello{Version: Version, Id: "a", Role: RoleAgent, System: "here"})
	is.NoErr(err)
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Call(ctx, DrainFrame())
	is.True(err != nil)
}

// streamFrom returns a Stream that receives data.
func streamFrom(data []byte) *Stream {
	return &Stream{reader: bufio.NewReader(bytes.NewReader(data))}
}

func encodeFrames(frames ...*peerpb.Frame) []byte {
	var b bytes.Buffer
	for _, f := range frames {
		_, _ = protodelim.MarshalTo(&b, f)
	}
	return b.Bytes()
}

func TestBodies(t *testing.T) {
	completeEnd := EndFrame(&peerpb.End{Complete: true})
	cases := []struct {
		name   string
		size   int64
		frames []*peerpb.Frame
		want   string
		ok     bool
	}{
		{"whole", 4, []*peerpb.Frame{ChunkFrame([]byte("ab")), ChunkFrame([]byte("cd")), completeEnd}, "abcd", true},
		{"empty", 0, []*peerpb.Frame{completeEnd}, "", true},
		{"cut before the end", 4, []*peerpb.Frame{ChunkFrame([]byte("abcd"))}, "", false},
		{"ended as incomplete", 4, []*peerpb.Frame{ChunkFrame([]byte("abcd")), EndFrame(&peerpb.End{})}, "", false},
		{"shorter than announced", 5, []*peerpb.Frame{ChunkFrame([]byte("abcd")), completeEnd}, "", false},
		{"longer than allowed", 4, []*peerpb.Frame{ChunkFrame(make([]byte, 20)), completeEnd}, "", false},
		{"announced too large", 11, []*peerpb.Frame{completeEnd}, "", false},
		{"negative", -1, []*peerpb.Frame{completeEnd}, "", false},
		{"another frame", 4, []*peerpb.Frame{DrainFrame()}, "", false},
		{"an empty frame", 4, []*peerpb.Frame{{}}, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body, err := streamFrom(encodeFrames(c.frames...)).ReceiveBody(c.size, 10)
			is.Equal(err == nil, c.ok)
			is.Equal(string(body), c.want)
		})
	}
}

// FuzzReceive checks that Receive returns an error for malformed input, and neither panics nor
// allocates more than FrameMaxBytes for a frame.
func FuzzReceive(f *testing.F) {
	f.Add(encodeFrames(RequestFrame(&peerpb.RequestHead{Id: "x", BodyBytes: 3}), ChunkFrame([]byte("abc")), EndFrame(&peerpb.End{Complete: true})))
	f.Add([]byte("\xff\xff\xff\xff\x7f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := streamFrom(data)
		for range 100 {
			frame, err := s.Receive()
			if err != nil {
				return
			}
			if frame.GetBody() == nil {
				t.Fatal("Receive returned a frame without a body")
			}
		}
	})
}
