// Package worker is a client of the platform's worker on this VM, which speaks HTTP with JSON.
//
// The endpoints are GET /v1/tasks, PUT /v1/lease, PUT and DELETE on /v1/tasks/{id}/{attempt} to
// run and remove an attempt, and POST on checkpoint, throttle and stop below that path.
// docs/PLATFORM.md describes them.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
)

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 8 << 20

// ResourcesJSON is the wire format of driver.Resources.
type ResourcesJSON struct {
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryBytes  int64 `json:"memory-bytes"`
	Accelerators int64 `json:"accelerators"`
}

// FromResources converts r to its wire format.
func FromResources(r driver.Resources) ResourcesJSON {
	return ResourcesJSON{r.MilliCPU(), r.MemoryBytes(), r.Accelerators()}
}

// Resources converts r from its wire format.
func (r ResourcesJSON) Resources() driver.Resources {
	return driver.NewResources(r.MilliCPU, r.MemoryBytes, r.Accelerators)
}

// TaskJSON is the wire format of a task attempt, both of its spec and of its status.
type TaskJSON struct {
	Task             string        `json:"task"`
	Attempt          uint32        `json:"attempt"`
	Class            string        `json:"class"`
	Phase            string        `json:"phase,omitempty"`
	Checkpoint       string        `json:"checkpoint,omitempty"`
	Detail           string        `json:"detail,omitempty"`
	Reserved         ResourcesJSON `json:"reserved"`
	Used             ResourcesJSON `json:"used"`
	RunMillis        int64         `json:"run-millis,omitempty"`
	LeaseUntilMillis int64         `json:"lease-until-unix-millis"`
	Cell             string        `json:"cell"`
	Epoch            uint64        `json:"epoch"`
}

// StatusJSON is the wire format of the status of a worker.
type StatusJSON struct {
	Capacity ResourcesJSON `json:"capacity"`
	Tasks    []TaskJSON    `json:"tasks"`
}

// LeaseJSON is the wire format of a renewal of the lease of all attempts.
type LeaseJSON struct {
	UntilMillis int64 `json:"until-unix-millis"`
}

// ThrottleJSON is the wire format of a limit on the processors of an attempt.
type ThrottleJSON struct {
	Share float64 `json:"share"`
}

// Options configures a Client.
type Options struct {
	// Address is the base URL of the worker.
	Address string
	// Timeout bounds each call.
	Timeout time.Duration
}

// Client implements driver.Worker; it is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	return &Client{options: o, http: &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}}
}

var _ driver.Worker = (*Client)(nil)

// Status implements driver.Worker.
func (c *Client) Status(ctx context.Context) (status driver.WorkerStatus, err error) {
	defer errs.Annotate(&err, "worker: status")
	var result StatusJSON
	if err = c.call(ctx, http.MethodGet, "/v1/tasks", nil, &result); err != nil {
		return driver.WorkerStatus{}, err
	}
	status.Capacity = result.Capacity.Resources()
	for _, t := range result.Tasks {
		status.Tasks = append(status.Tasks, taskStatus(t))
	}
	return status, nil
}

// Run implements driver.Worker.
func (c *Client) Run(ctx context.Context, s driver.TaskSpec) (err error) {
	defer errs.Annotate(&err, "worker: run %s", s.Task)
	return c.call(ctx, http.MethodPut, path(s.Task, s.Attempt, ""), TaskJSON{
		Task: s.Task, Attempt: s.Attempt, Class: s.Class, Checkpoint: s.Checkpoint,
		Reserved: FromResources(s.Resources), RunMillis: s.RunTime.Milliseconds(),
		LeaseUntilMillis: s.LeaseUntil.UnixMilli(), Cell: s.Cell, Epoch: s.Epoch,
	}, nil)
}

// Renew implements driver.Worker.
func (c *Client) Renew(ctx context.Context, until time.Time) (err error) {
	defer errs.Annotate(&err, "worker: renew")
	return c.call(ctx, http.MethodPut, "/v1/lease", LeaseJSON{UntilMillis: until.UnixMilli()}, nil)
}

// Checkpoint implements driver.Worker.
func (c *Client) Checkpoint(ctx context.Context, task string, attempt uint32) (name string, err error) {
	defer errs.Annotate(&err, "worker: checkpoint %s", task)
	var result TaskJSON
	err = c.call(ctx, http.MethodPost, path(task, attempt, "/checkpoint"), struct{}{}, &result)
	return result.Checkpoint, err
}

// Throttle implements driver.Worker.
func (c *Client) Throttle(ctx context.Context, task string, attempt uint32, share float64) (err error) {
	defer errs.Annotate(&err, "worker: throttle %s", task)
	return c.call(ctx, http.MethodPost, path(task, attempt, "/throttle"), ThrottleJSON{Share: share}, nil)
}

// Stop implements driver.Worker.
func (c *Client) Stop(ctx context.Context, task string, attempt uint32) (status driver.TaskStatus, err error) {
	defer errs.Annotate(&err, "worker: stop %s", task)
	var result TaskJSON
	err = c.call(ctx, http.MethodPost, path(task, attempt, "/stop"), struct{}{}, &result)
	return taskStatus(result), err
}

// Remove implements driver.Worker.
func (c *Client) Remove(ctx context.Context, task string, attempt uint32) (err error) {
	defer errs.Annotate(&err, "worker: remove %s", task)
	return c.call(ctx, http.MethodDelete, path(task, attempt, ""), nil, nil)
}

// path returns the URL path of an attempt, followed by suffix.
func path(task string, attempt uint32, suffix string) string {
	return fmt.Sprintf("/v1/tasks/%s/%d%s", url.PathEscape(task), attempt, suffix)
}

func taskStatus(t TaskJSON) driver.TaskStatus {
	return driver.TaskStatus{
		Task: t.Task, Attempt: t.Attempt, Class: t.Class, Phase: driver.TaskPhase(t.Phase),
		Checkpoint: t.Checkpoint, Detail: t.Detail, Reserved: t.Reserved.Resources(), Used: t.Used.Resources(),
		LeaseUntil: time.UnixMilli(t.LeaseUntilMillis), Cell: t.Cell, Epoch: t.Epoch,
	}
}

// call sends body and decodes the response into result, unless that is nil. A request without a
// complete response may have taken effect.
func (c *Client) call(ctx context.Context, method, path string, body, result any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.options.Address, "/")+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(driver.ErrIndeterminate, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(driver.ErrIndeterminate, "%v", err)
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		return driver.ErrNotFound
	case response.StatusCode == http.StatusConflict:
		return errors.Wrapf(driver.ErrWorkerRefused, "%.200s", data)
	case response.StatusCode >= http.StatusMultipleChoices:
		return errors.Wrapf(driver.ErrIndeterminate, "status %d: %.200s", response.StatusCode, data)
	case result == nil:
		return nil
	}
	return json.Unmarshal(data, result)
}
