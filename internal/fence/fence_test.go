package fence

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// TestFence runs the scripts in testdata.
func TestFence(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := time.Unix(1_000_000, 0)
		r := New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id string
			if d.HasArg("id") {
				d.ScanArgs(t, "id", &id)
			}
			switch d.Cmd {
			case "begin":
				earlier, full := r.Begin(now, id, d.HasArg("keyed"))
				if earlier != nil {
					return fmt.Sprintf("earlier state=%d\n", earlier.State())
				}
				return fmt.Sprintf("begun full=%v\n", full)
			case "cancel":
				return fmt.Sprintf("not-run=%v\n", r.Cancel(now, id))
			case "forget":
				r.Forget(id)
			case "finish":
				r.Finish(now, id, StateAnswered, &Response{Head: &peerpb.ResponseHead{}, Body: []byte(strings.Repeat("x", len(d.Input)))})
			case "unknown":
				r.Finish(now, id, StateUnknown, nil)
			case "wait":
				var minutes int
				d.ScanArgs(t, "minutes", &minutes)
				now = now.Add(time.Duration(minutes) * time.Minute)
				r.Expire(now)
			}
			return fmt.Sprintf("records=%d\n", r.Len())
		})
	})
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := New()
	for i := range 1000 {
		id := fmt.Sprint(i)
		r.Begin(now, id, true)
		r.Finish(now, id, StateAnswered, &Response{Body: make([]byte, MaxResponseBytes)})
	}
	is.True(r.storedBytes <= maxStoredBytes)       // stored responses stay within the limit
	is.Equal(r.Lookup("0").State(), StateAnswered) // the first responses are stored
	is.Equal(r.Lookup("999").State(), StateRan)    // the others are only known to have run
	r.Expire(now.Add(keyedRetention))
	is.Equal(r.storedBytes, 0)
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := New()
	for i := range MaxRecords {
		r.Begin(now, fmt.Sprint(i), false)
	}
	_, full := r.Begin(now, "one more", false)
	is.True(full) // a request that can't be recorded is refused, not run without a record
}
