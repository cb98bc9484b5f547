// Package kv is a client of the platform's key-value service, which speaks HTTP with JSON.
//
// The endpoints are GET, PUT and DELETE on /v1/keys/{key}, GET on /v1/keys?prefix=, POST on
// /v1/leases and /v1/leases/{id}/renewals, and GET on /v1/watch. docs/PLATFORM.md describes them.
package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/lenient"
)

// HeaderRevision is the header with the revision of a key or of the store.
const HeaderRevision = "Revision"

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 64 << 20

// ItemJSON is the wire format of an item.
type ItemJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// LeaseJSON is the wire format of a lease.
type LeaseJSON struct {
	ID        string `json:"id"`
	TTLMillis int64  `json:"ttl-millis"`
}

// Options configures a Client.
type Options struct {
	// Address is the base URL of the service.
	Address string
	// Timeout bounds each call; Watch may take longer by its wait.
	Timeout time.Duration
	// Transport carries the requests; nil means HTTP over TCP.
	Transport http.RoundTripper
	// Log may be nil.
	Log *slog.Logger
}

// Client implements driver.Store; it is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	log     *lenient.Log
}

// New returns a Client.
func New(o Options) *Client {
	if o.Transport == nil {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.MaxIdleConnsPerHost = 16
		o.Transport = t
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{options: o, http: &http.Client{Transport: o.Transport}, log: lenient.NewLog(o.Log)}
}

var _ driver.Store = (*Client)(nil)

// Get implements driver.Store.
func (c *Client) Get(ctx context.Context, key string) (item driver.Item, err error) {
	defer errs.Annotate(&err, "kv: get %s", key)
	body, h, err := c.call(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key), nil, nil)
	if err != nil {
		return driver.Item{}, err
	}
	revision, err := strconv.ParseUint(h.Get(HeaderRevision), 10, 64)
	if err != nil {
		return driver.Item{}, err
	}
	return driver.NewItem(key, body, revision), nil
}

var errWrongKey = errors.New("key was not asked for")

// List implements driver.Store. An item that can't be read is left out.
func (c *Client) List(ctx context.Context, prefix string) (items []driver.Item, revision uint64, err error) {
	defer errs.Annotate(&err, "kv: list %s", prefix)
	body, h, err := c.call(ctx, http.MethodGet, "/v1/keys?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err = strconv.ParseUint(h.Get(HeaderRevision), 10, 64)
	if err != nil {
		return nil, 0, err
	}
	items, err = lenient.List(body, func(raw json.RawMessage) (driver.Item, error) {
		var i ItemJSON
		if err := json.Unmarshal(raw, &i); err != nil {
			return driver.Item{}, err
		}
		if !strings.HasPrefix(i.Key, prefix) {
			return driver.Item{}, errWrongKey
		}
		return driver.NewItem(i.Key, i.Value, i.Revision), nil
	}, func(raw json.RawMessage, err error) { c.log.LeftOut(prefix, string(raw), err) })
	return items, revision, err
}

// CompareAndSwap implements driver.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease driver.Lease) (next uint64, err error) {
	defer errs.Annotate(&err, "kv: swap %s", key)
	if len(value) > driver.StoreMaxValueBytes {
		return 0, driver.ErrTooLarge
	}
	query := url.Values{}
	if lease != "" {
		query.Set("lease", string(lease))
	}
	h := http.Header{"If-Match": {strconv.FormatUint(revision, 10)}}
	_, headers, err := c.call(ctx, http.MethodPut, "/v1/keys/"+url.PathEscape(key)+"?"+query.Encode(), h, value)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(headers.Get(HeaderRevision), 10, 64)
}

// Delete implements driver.Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) (err error) {
	defer errs.Annotate(&err, "kv: delete %s", key)
	h := http.Header{"If-Match": {strconv.FormatUint(revision, 10)}}
	_, _, err = c.call(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(key), h, nil)
	return err
}

// Grant implements driver.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease driver.Lease, err error) {
	defer errs.Annotate(&err, "kv: grant")
	body, err := json.Marshal(LeaseJSON{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return "", err
	}
	response, _, err := c.call(ctx, http.MethodPost, "/v1/leases", nil, body)
	if err != nil {
		return "", err
	}
	var l LeaseJSON
	if err = json.Unmarshal(response, &l); err != nil {
		return "", err
	}
	return driver.Lease(l.ID), nil
}

// Renew implements driver.Store.
func (c *Client) Renew(ctx context.Context, lease driver.Lease) (err error) {
	defer errs.Annotate(&err, "kv: renew")
	_, _, err = c.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(string(lease))+"/renewals", nil, []byte{})
	return err
}

// Watch implements driver.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (next uint64, err error) {
	defer errs.Annotate(&err, "kv: watch %s", prefix)
	path := fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait-millis=%d", url.QueryEscape(prefix), revision, wait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	_, h, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(h.Get(HeaderRevision), 10, 64)
}

// call sends a request with the default timeout.
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.send(ctx, method, path, h, body)
}

func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte) (data []byte, headers http.Header, err error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.options.Address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range h {
		request.Header[k] = v
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, transportError(method, err)
	}
	return data, response.Header, statusError(method, response.StatusCode, data)
}

// transportError classifies a request without a complete response: a read has no effect, while
// a write may have taken effect.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return errors.Wrapf(driver.ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(driver.ErrIndeterminate, "%v", err)
}

// statusError returns the error for a status code, or nil for success.
func statusError(method string, code int, body []byte) error {
	switch {
	case code < http.StatusMultipleChoices:
		return nil
	case code == http.StatusNotFound:
		return driver.ErrNotFound
	case code == http.StatusPreconditionFailed:
		return driver.ErrConflict
	case code == http.StatusRequestEntityTooLarge:
		return driver.ErrTooLarge
	case code == http.StatusServiceUnavailable, code == http.StatusTooManyRequests:
		return driver.ErrUnavailable
	case method == http.MethodGet:
		return errors.Wrapf(driver.ErrUnavailable, "status %d: %.200s", code, body)
	default:
		return errors.Wrapf(driver.ErrIndeterminate, "status %d: %.200s", code, body)
	}
}
