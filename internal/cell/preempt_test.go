package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

// TestHeldRoom guards against patient tasks taking capacity that was vacated for an urgent task,
// and against holds that outlast the wait of the urgent task.
func TestHeldRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	state := NewState()
	is.NoErr(state.Apply(acceptedRecord(&cellpb.Job{Id: "j", Tasks: []*cellpb.Task{{Id: "urgent"}}})))
	o := &Owner{control: control{state: state, workers: map[string]*worker{}, holds: map[string]capacityHold{}}}
	four := driver.NewResources(4000, 1, 0)
	o.control.holds["urgent"] = capacityHold{worker: "a", need: four, until: now.Add(time.Second)}
	is.Equal(o.heldForOthers("a", "", now), four)
	is.Equal(o.heldForOthers("b", "", now), driver.Resources{})
	is.Equal(o.heldForOthers("a", "urgent", now), driver.Resources{})
	is.Equal(o.heldForOthers("a", "", now.Add(2*time.Second)), driver.Resources{})
	is.Equal(len(o.control.holds), 0)

	o.control.holds["urgent"] = capacityHold{worker: "a", need: four, until: now.Add(time.Second)}
	is.NoErr(state.Apply(placedRecord(&cellpb.Placed{Task: "urgent", Attempt: 1, Worker: "a"})))
	is.Equal(o.heldForOthers("a", "", now), driver.Resources{})
}
