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

// answerMaxBytes bounds what is read of one answer.
const answerMaxBytes = 32 << 20

// Options configures a Client.
type Options struct {
	// Address is the base URL of an entry or of the balancer, for callers or operators.
	Address string
	// HTTP is used for the calls; nil means a client without a timeout of its own.
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
	// Path is passed on to the upstream, with its query.
	Path        string
	ContentType string
	Body        []byte
	// Key makes a non-idempotent request safe to repeat; empty means none.
	Key string
	// Timeout is that of the kind if it is 0.
	Timeout time.Duration
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	Upstream  string
}

// Do sends a request. An *Error tells what became of it if the upstream gave no answer;
// any other error leaves that open.
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

// Submit accepts a job; the same key gives the same job. An empty key gives a new one.
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

// Job returns a job.
func (c *Client) Job(ctx context.Context, id string) (job Job, err error) {
	return job, c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &job)
}

// Jobs returns the newest jobs of all cells, without their tasks.
func (c *Client) Jobs(ctx context.Context) (jobs []Job, err error) {
	return jobs, c.call(ctx, http.MethodGet, "/v1/jobs", nil, nil, &jobs)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (job Job, err error) {
	return job, c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &job)
}

// Settle records an operator's verdict on a task whose fate is unknown.
func (c *Client) Settle(ctx context.Context, id, task string, s Settlement) (job Job, err error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Job{}, err
	}
	path := "/v1/jobs/" + url.PathEscape(id) + "/tasks/" + url.PathEscape(task) + "/settlement"
	return job, c.call(ctx, http.MethodPost, path, nil, body, &job)
}

// Environment returns a document and its revision.
func (c *Client) Environment(ctx context.Context, name string) (raw []byte, revision uint64, err error) {
	response, raw, err := c.send(ctx, http.MethodGet, "/v1/environments/"+url.PathEscape(name), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err = parseETag(response)
	return raw, revision, err
}

// Apply accepts a document if the current revision is still the given one; 0 stands for a
// document that does not exist yet.
func (c *Client) Apply(ctx context.Context, name string, revision uint64, raw []byte) (uint64, error) {
	return c.edit(ctx, http.MethodPut, "/v1/environments/"+url.PathEscape(name), revision, raw)
}

// Promote accepts the document of one environment as that of another.
func (c *Client) Promote(ctx context.Context, from, to string, revision uint64) (uint64, error) {
	body, err := json.Marshal(Promotion{From: from})
	if err != nil {
		return 0, err
	}
	return c.edit(ctx, http.MethodPost, "/v1/environments/"+url.PathEscape(to)+"/promotions", revision, body)
}

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

// Status returns which revision is in force where.
func (c *Client) Status(ctx context.Context, environment string) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/v1/environments/"+url.PathEscape(environment)+"/status", nil, nil, &s)
}

// Workers returns the workers that the entry knows.
func (c *Client) Workers(ctx context.Context) (w []Worker, err error) {
	return w, c.call(ctx, http.MethodGet, "/v1/workers", nil, nil, &w)
}

// Upstreams returns the upstreams that the entry knows.
func (c *Client) Upstreams(ctx context.Context) (u []Upstream, err error) {
	return u, c.call(ctx, http.MethodGet, "/v1/upstreams", nil, nil, &u)
}

// Drain has a worker take nothing new and give up its tasks.
func (c *Client) Drain(ctx context.Context, worker string) error {
	return c.call(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte, answer any) error {
	_, data, err := c.send(ctx, method, path, h, body)
	if err != nil || answer == nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// send returns a whole answer, or an *Error if it is one of the system's own problems.
func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
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
	data, err := io.ReadAll(io.LimitReader(response.Body, answerMaxBytes))
	if err != nil {
		return nil, nil, err
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") && response.Header.Get(HeaderUpstream) == "" {
		problem := &Error{Status: response.StatusCode, Title: response.Status}
		if err := json.Unmarshal(data, problem); err != nil {
			return nil, nil, err
		}
		return nil, nil, problem
	}
	return response, data, nil
}
