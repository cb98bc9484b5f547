package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 32 << 20

// Options configures a Client.
type Options struct {
	// Address is the base URL of an entry or of the load balancer. Do needs the address for callers;
	// Environment, Apply, Promote, Evacuate, EndEvacuation, Status, Workers, Upstreams, Drain and Settle
	// need the one for operators.
	Address string
	// HTTP sends the calls; nil means a new http.Client without a timeout, so that only the contexts
	// limit the calls.
	HTTP *http.Client
}

// Client calls an entry; it is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{}
	}
	return &Client{address: strings.TrimSuffix(o.Address, "/"), http: o.HTTP}
}

// Request is a request to a service.
type Request struct {
	Service string
	Kind    string
	// Path is the path for the upstream and may end in a query. A leading slash is optional.
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, which makes it safe to repeat a request of a kind that is not
	// idempotent; empty means none.
	Key string
	// Timeout limits the processing of the request; 0 means the timeout of its kind.
	Timeout time.Duration
}

// Answer is the response of an upstream.
type Answer struct {
	// Status is the HTTP status, which may be an error of the upstream's own.
	Status int
	Header http.Header
	// Body holds at most the first 32 MiB.
	Body []byte
	// RequestID is the ID of the request in logs, from HeaderRequestID.
	RequestID string
	// Upstream names the upstream that answered, from HeaderUpstream.
	Upstream string
}

// Do sends a request and returns the upstream's answer, whatever its status. If there is no answer, an
// *Error tells by its Outcome whether the request was run. After any other error that is unknown.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	h := http.Header{HeaderKind: {r.Kind}}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.Key != "" {
		h.Set(HeaderIdempotencyKey, r.Key)
	}
	if r.Timeout > 0 {
		h.Set(HeaderTimeout, r.Timeout.String())
	}
	path := "/v1/services/" + url.PathEscape(r.Service) + "/requests"
	if r.Path != "" {
		path += "/" + strings.TrimPrefix(r.Path, "/")
	}
	response, body, err := c.send(ctx, http.MethodPost, path, h, r.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Status: response.StatusCode, Header: response.Header, Body: body,
		RequestID: response.Header.Get(HeaderRequestID), Upstream: response.Header.Get(HeaderUpstream),
	}, nil
}

// Submit submits a job. A call with the same idempotency key returns the job that was first submitted
// with it; an empty key always submits a new one.
func (c *Client) Submit(ctx context.Context, spec JobSpec, key string) (job Job, err error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return Job{}, err
	}
	h := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		h.Set(HeaderIdempotencyKey, key)
	}
	return job, c.call(ctx, http.MethodPost, "/v1/jobs", h, body, &job)
}

// Job returns the job with the given ID, with its tasks.
func (c *Client) Job(ctx context.Context, id string) (job Job, err error) {
	return job, c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &job)
}

// Jobs returns the newest jobs of all cells whose owners can be reached, without their tasks.
func (c *Client) Jobs(ctx context.Context) (jobs []Job, err error) {
	return jobs, c.call(ctx, http.MethodGet, "/v1/jobs", nil, nil, &jobs)
}

// Cancel cancels the job with the given ID and returns it.
func (c *Client) Cancel(ctx context.Context, id string) (job Job, err error) {
	return job, c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &job)
}

// Settle records what an operator found out about a task whose outcome is unknown. It takes the IDs of
// the job and the task and returns the job.
func (c *Client) Settle(ctx context.Context, id, task string, s Settlement) (job Job, err error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Job{}, err
	}
	path := "/v1/jobs/" + url.PathEscape(id) + "/tasks/" + url.PathEscape(task) + "/settlement"
	return job, c.call(ctx, http.MethodPost, path, nil, body, &job)
}

// Environment returns the document of an environment and its revision, which Apply and Promote take.
func (c *Client) Environment(ctx context.Context, name string) (raw []byte, revision uint64, err error) {
	response, raw, err := c.send(ctx, http.MethodGet, "/v1/environments/"+url.PathEscape(name), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err = parseETag(response)
	return raw, revision, err
}

// Apply replaces the document of an environment if its current revision is the given one, and returns
// the new revision. Revision 0 means that the document must not exist yet. If the revision has changed,
// the error is an *Error with status 412 and the current revision.
func (c *Client) Apply(ctx context.Context, name string, revision uint64, raw []byte) (uint64, error) {
	return c.edit(ctx, http.MethodPut, "/v1/environments/"+url.PathEscape(name), revision, raw)
}

// Promote replaces the document of the environment to by that of the environment from, if the current
// revision of the former is the given one. The revision and the result are as for Apply.
func (c *Client) Promote(ctx context.Context, from, to string, revision uint64) (uint64, error) {
	body, err := json.Marshal(Promotion{From: from})
	if err != nil {
		return 0, err
	}
	return c.edit(ctx, http.MethodPost, "/v1/environments/"+url.PathEscape(to)+"/promotions", revision, body)
}

// Evacuate evacuates a data centre of an environment and returns the revision that does so: requests go to
// other data centres, no task starts there and those that run are evicted. It changes the newest revision
// of the document; if others change it at the same time again and again, the error is an *Error with
// status 412. A call for a data centre that is evacuated already changes nothing.
func (c *Client) Evacuate(ctx context.Context, environment, dataCentre string) (uint64, error) {
	return c.setEvacuated(ctx, http.MethodPost, environment, dataCentre)
}

// EndEvacuation takes a data centre back; the result is as for Evacuate.
func (c *Client) EndEvacuation(ctx context.Context, environment, dataCentre string) (uint64, error) {
	return c.setEvacuated(ctx, http.MethodDelete, environment, dataCentre)
}

func (c *Client) setEvacuated(ctx context.Context, method, environment, dataCentre string) (uint64, error) {
	path := "/v1/environments/" + url.PathEscape(environment) + "/data-centres/" + url.PathEscape(dataCentre) + "/evacuation"
	response, _, err := c.send(ctx, method, path, nil, nil)
	if err != nil {
		return 0, err
	}
	return parseETag(response)
}

// edit sends a change that is conditional on the revision of a document and returns the new revision.
func (c *Client) edit(ctx context.Context, method, path string, revision uint64, body []byte) (uint64, error) {
	h := http.Header{"Content-Type": {"application/json"}}
	if revision == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", `"`+strconv.FormatUint(revision, 10)+`"`)
	}
	response, _, err := c.send(ctx, method, path, h, body)
	if err != nil {
		return 0, err
	}
	return parseETag(response)
}

func parseETag(r *http.Response) (uint64, error) {
	return strconv.ParseUint(strings.Trim(r.Header.Get("ETag"), `"`), 10, 64)
}

// Status returns the revision of an environment's document that is in force in each data centre.
func (c *Client) Status(ctx context.Context, environment string) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/v1/environments/"+url.PathEscape(environment)+"/status", nil, nil, &s)
}

// Workers returns the workers known to the entry that answers.
func (c *Client) Workers(ctx context.Context) (w []Worker, err error) {
	return w, c.call(ctx, http.MethodGet, "/v1/workers", nil, nil, &w)
}

// Upstreams returns the upstreams known to the entry that answers.
func (c *Client) Upstreams(ctx context.Context) (u []Upstream, err error) {
	return u, c.call(ctx, http.MethodGet, "/v1/upstreams", nil, nil, &u)
}

// Drain drains a worker: it is given no new tasks, and its tasks are evicted.
func (c *Client) Drain(ctx context.Context, worker string) error {
	return c.call(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, nil, nil)
}

// call sends a request and decodes the JSON response into result, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte, result any) error {
	_, data, err := c.send(ctx, method, path, h, body)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// send sends a request and reads the response, or returns an *Error if the response is a problem of the
// system. A problem with HeaderUpstream set is the response of an upstream.
func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte) (*http.Response, []byte, error) {
	var r repeats
	request, err := http.NewRequestWithContext(r.trace(ctx), method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range h {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, err
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") && response.Header.Get(HeaderUpstream) == "" {
		problem := &Error{Status: response.StatusCode, Title: response.Status}
		if err := json.Unmarshal(data, problem); err != nil {
			return nil, nil, err
		}
		problem.Outcome = r.correct(problem.Outcome)
		return nil, nil, problem
	}
	return response, data, nil
}
