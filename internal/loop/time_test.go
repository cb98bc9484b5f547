package loop

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// yieldCount is how often a goroutine yields that waits for the turn of another one. A thread that polls the
// network may itself wait for the machine during some of them.
const yieldCount = 1000

// TestYieldPollsNetwork guards against a Yield that lets only goroutines run that are ready, not those that
// wait for the network, in a process with a single processor.
func TestYieldPollsNetwork(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer near.Close()
	far, err := l.Accept()
	is.NoErr(err)
	defer far.Close()
	var passed atomic.Bool
	go func() {
		if _, err := far.Read(make([]byte, 1)); err == nil {
			passed.Store(true)
		}
	}()
	Yield() // the goroutine waits
	_, err = near.Write([]byte{0})
	is.NoErr(err)
	for range yieldCount {
		if Yield(); passed.Load() {
			return
		}
	}
	is.Fail() // no turn for the goroutine that waited
}
