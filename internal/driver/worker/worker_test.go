package worker_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/worker"
	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
)

// TestContract runs the scripts in testdata against the stand-in over HTTP.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		server := standin.New(standin.Options{Name: "w", Capacity: driver.NewResources(4000, 1<<30, 1)})
		done := make(chan struct{})
		go server.Run(done)
		defer close(done)
		httpServer := httptest.NewServer(server.Handler())
		defer httpServer.Close()
		c := worker.New(worker.Options{Address: httpServer.URL, Timeout: time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text, err := call(t, c, server, d)
			switch {
			case errors.Is(err, driver.ErrNotFound):
				return "not found\n"
			case errors.Is(err, driver.ErrWorkerRefused):
				return "refused\n"
			case err != nil:
				return "not known: " + err.Error() + "\n"
			}
			return text + "\n"
		})
	})
}

func call(t *testing.T, c *worker.Client, server *standin.Server, d *datadriven.TestData) (string, error) {
	ctx := t.Context()
	var task, checkpoint string
	attempt, run, lease, millis := 1, 60_000, 60_000, 0
	for name, target := range map[string]any{"task": &task, "attempt": &attempt, "run": &run, "lease": &lease, "millis": &millis, "checkpoint": &checkpoint} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, target)
		}
	}
	until := time.Now().Add(time.Duration(lease) * time.Millisecond)
	switch d.Cmd {
	case "run":
		return "running", c.Run(ctx, driver.TaskSpec{
			Task: task, Attempt: uint32(attempt), Class: "scan", Resources: driver.NewResources(1000, 1, 0), Checkpoint: checkpoint,
			RunTime: time.Duration(run) * time.Millisecond, LeaseUntil: until, Cell: "c", Epoch: 7,
		})
	case "renew":
		return "renewed", c.Renew(ctx, until)
	case "stop":
		s, err := c.Stop(ctx, task, uint32(attempt))
		return string(s.Phase), err
	case "checkpoint":
		name, err := c.Checkpoint(ctx, task, uint32(attempt))
		return fmt.Sprintf("saved %v", name != ""), err
	case "throttle":
		return "throttled", c.Throttle(ctx, task, uint32(attempt), 0.5)
	case "remove":
		return "removed", c.Remove(ctx, task, uint32(attempt))
	case "status":
		s, err := c.Status(ctx)
		for _, each := range s.Tasks {
			if each.Task == task && each.Attempt == uint32(attempt) {
				return fmt.Sprintf("%s cell=%s epoch=%d", each.Phase, each.Cell, each.Epoch), err
			}
		}
		return "absent", err
	case "faults":
		var f standin.Faults
		if err := json.Unmarshal([]byte(d.Input), &f); err != nil {
			t.Fatal(err)
		}
		server.SetFaults(f)
		return "set", nil
	case "sleep":
		time.Sleep(time.Duration(millis) * time.Millisecond)
		return "slept", nil
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return "", nil
}
