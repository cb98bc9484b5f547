package loop

import (
	"testing"

	"github.com/matryer/is"
)

// TestDoTellsThatItHasRun guards against a call that is answered twice, since Do said that it had not
// run when the loop ended right after it.
func TestDoTellsThatItHasRun(t *testing.T) {
	is := is.New(t)
	l, ran := New(), make(chan struct{})
	close(ran)
	close(l.done)
	for range 100 {
		is.NoErr(l.wait(ran))
	}
}
