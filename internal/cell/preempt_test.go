package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

// TestHeldRoom checks that room which one of two patient tasks has left for an urgent task
// is not offered to patient tasks, and that it is once the urgent task no longer waits.
func TestHeldRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	state := NewState()
	is.NoErr(state.Apply(acceptedRecord(&cellpb.Job{Id: "j", Tasks: []*cellpb.Task{{Id: "urgent"}}})))
	o := &Owner{c: control{state: state, workers: map[string]*worker{}, holds: map[string]hold{}}}
	four := driver.NewResources(4000, 1, 0)
	o.c.holds["urgent"] = hold{worker: "a", need: four, until: now.Add(time.Second)}
	is.Equal(o.heldOn("a", "", now), four)
	is.Equal(o.heldOn("b", "", now), driver.Resources{})
	is.Equal(o.heldOn("a", "urgent", now), driver.Resources{})
	is.Equal(o.heldOn("a", "", now.Add(2*time.Second)), driver.Resources{})
	is.Equal(len(o.c.holds), 0)

	o.c.holds["urgent"] = hold{worker: "a", need: four, until: now.Add(time.Second)}
	is.NoErr(state.Apply(placedRecord(&cellpb.Placed{Task: "urgent", Attempt: 1, Worker: "a"})))
	is.Equal(o.heldOn("a", "", now), driver.Resources{})
}
