package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

var endings = map[string]cellpb.Ending{
	"finished": cellpb.Ending_ENDING_FINISHED, "failed": cellpb.Ending_ENDING_FAILED, "evicted": cellpb.Ending_ENDING_EVICTED,
	"lost": cellpb.Ending_ENDING_LOST, "not-started": cellpb.Ending_ENDING_NOT_STARTED,
}

// TestState applies the records listed in the scripts in testdata/state to one task and prints its
// state after each.
func TestState(t *testing.T) {
	datadriven.Walk(t, "testdata/state", func(t *testing.T, path string) {
		s := NewState()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				words := strings.Fields(line)
				err := s.Apply(parseRecord(t, s, words))
				task := s.tasks["j.0"]
				switch {
				case err != nil:
					fmt.Fprintf(&out, "%s: refused\n", line)
				case task == nil:
					fmt.Fprintf(&out, "%s: gone\n", line)
				default:
					fmt.Fprintf(&out, "%s: %s attempt=%d checkpoint=%q\n", line, strings.ToLower(strings.TrimPrefix(task.task.GetPhase().String(), "PHASE_")), task.task.GetAttempt(), task.task.GetCheckpoint())
				}
			}
			return out.String()
		})
	})
}

func parseRecord(t *testing.T, s *State, words []string) *cellpb.Record {
	var attempt uint32
	if len(words) > 1 {
		_, _ = fmt.Sscan(words[1], &attempt)
	}
	now := time.Unix(1_000_000, 0)
	switch words[0] {
	case "accept":
		delete(s.jobs, "j")
		return acceptedRecord(&cellpb.Job{Id: "j", Tasks: []*cellpb.Task{{Id: "j.0", Idempotent: words[1] == "idempotent", MaxAttempts: 2}}})
	case "place":
		return placedRecord(&cellpb.Placed{Task: "j.0", Attempt: attempt, Worker: "w"})
	case "cancel":
		return cancelledRecord("j", now)
	case "forget":
		return forgottenRecord("j")
	case "settle":
		return settledRecord("j.0", words[1] == "finished", now)
	case "refuse":
		return refusedRecord("j.0", "too large", now)
	}
	ending, ok := endings[words[0]]
	if !ok {
		t.Fatalf("unknown record %q", words)
	}
	checkpoint := ""
	if len(words) > 2 {
		checkpoint = words[2]
	}
	return endedRecord(&cellpb.Ended{Task: "j.0", Attempt: attempt, Ending: ending, Checkpoint: checkpoint, UnixMillis: 1})
}

// newTestJournal returns a journal, its state and the store client, whose faults a test can set.
func newTestJournal(t *testing.T) (*Journal, *State, *storeClient) {
	client := &storeClient{memoryStore: &memoryStore{items: map[string]driver.Item{}}}
	j, s, _, err := OpenJournal(t.Context(), client, "c", Identity{Entry: "e"})
	if err != nil {
		t.Fatal(err)
	}
	return j, s, client
}

func jobRecord(i int) *cellpb.Record {
	return acceptedRecord(&cellpb.Job{Id: fmt.Sprintf("job-%05d", i), Tasks: []*cellpb.Task{{Id: fmt.Sprintf("job-%05d.0", i), Detail: strings.Repeat("x", 150)}}})
}

func TestJournalSurvivesSealsAndCompactions(t *testing.T) {
	is := is.New(t)
	j, s, client := newTestJournal(t)
	compactions := 0
	for i := range 3000 {
		r := jobRecord(i)
		is.NoErr(s.Apply(r))
		if j.CompactionDue() {
			compactions++
			is.NoErr(j.Compact(t.Context(), s.Snapshot()))
		} else {
			is.NoErr(j.Commit(t.Context(), []*cellpb.Record{r}))
		}
		j.DeleteObsolete(t.Context())
	}
	is.True(compactions > 0)
	_, recovered, previous, err := OpenJournal(t.Context(), client, "c", Identity{Entry: "other"})
	is.NoErr(err)
	is.Equal(previous.GetEpoch(), uint64(1))
	want, got := s.Snapshot(), recovered.Snapshot()
	is.Equal(len(got), len(want))
	is.True(slices.EqualFunc(got, want, func(a, b *cellpb.Record) bool { return proto.Equal(a, b) }))
	for _, i := range client.items {
		is.True(len(i.Value()) <= driver.StoreMaxValueBytes)
	}
	is.True(len(client.items) < 40) // replaced values are deleted
	err = j.Commit(t.Context(), []*cellpb.Record{jobRecord(9999)})
	is.True(err != nil) // the previous owner can no longer write
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	j, _, client := newTestJournal(t)
	client.repliesToLose = 1
	is.NoErr(j.Commit(t.Context(), []*cellpb.Record{jobRecord(1)}))
	is.NoErr(j.Commit(t.Context(), []*cellpb.Record{jobRecord(2)}))
	_, recovered, _, err := OpenJournal(t.Context(), client, "c", Identity{Entry: "other"})
	is.NoErr(err)
	is.Equal(len(recovered.jobs), 2) // each job is applied exactly once
}

// BenchmarkRecovery measures how long a new owner takes to load a cell's state.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			client := &storeClient{memoryStore: &memoryStore{items: map[string]driver.Item{}}}
			j, s, _, err := OpenJournal(b.Context(), client, "c", Identity{Entry: "e"})
			if err != nil {
				b.Fatal(err)
			}
			for i := range tasks {
				if err := s.Apply(jobRecord(i)); err != nil {
					b.Fatal(err)
				}
			}
			if err := j.Compact(b.Context(), s.Snapshot()); err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for _, i := range client.items {
				bytes += len(i.Value())
			}
			for b.Loop() {
				if _, _, _, err := OpenJournal(b.Context(), client, "c", Identity{Entry: "other"}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(tasks), "bytes/task")
		})
	}
}
