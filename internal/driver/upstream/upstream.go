// Package upstream is an HTTP client for the upstreams on an agent's VM.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
)

// Headers of a request to an upstream.
const (
	HeaderRequestID = "Jasminebay-Request-Id"
	HeaderKind      = "Jasminebay-Kind"
)

const dialTimeout = time.Second

// hopByHopHeaders apply to one connection only and are not forwarded to callers.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true,
	"Trailer": true, "Te": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// Client implements driver.Upstream; it is safe for concurrent use.
type Client struct {
	mu      sync.Mutex
	clients map[string]*http.Client
	limits  map[string]int
}

// New returns a Client.
func New() *Client {
	return &Client{clients: map[string]*http.Client{}, limits: map[string]int{}}
}

var _ driver.Upstream = (*Client)(nil)

// Limit implements driver.Upstream.
func (c *Client) Limit(address string, connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits[address] == connections {
		return
	}
	if old := c.clients[address]; old != nil {
		old.CloseIdleConnections()
	}
	c.limits[address] = connections
	c.clients[address] = newHTTPClient(connections)
}

// newHTTPClient returns a client for one address with a limited number of connections.
func newHTTPClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// client returns the client for an address; without a call of Limit it uses one connection.
func (c *Client) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = newHTTPClient(1)
		c.clients[address] = client
		c.limits[address] = 1
	}
	return client
}

// Do implements driver.Upstream.
func (c *Client) Do(ctx context.Context, address string, r driver.Request) (response driver.Response, err error) {
	defer errs.Annotate(&err, "upstream: call %s", r.ID)
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	url := strings.TrimSuffix(address, "/") + r.Path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return driver.Response{}, errors.Wrapf(driver.ErrNotSent, "%v", err)
	}
	// Without GetBody the transport does not retry the request on its own.
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, r.ID)
	request.Header.Set(HeaderKind, r.Kind)
	if r.ContentType != "" {
		request.Header.Set("Content-Type", r.ContentType)
	}
	httpResponse, err := c.client(address).Do(request)
	if err != nil && !wrote.Load() {
		return driver.Response{}, errors.Wrapf(driver.ErrNotSent, "%v", err)
	}
	if err != nil {
		return driver.Response{}, err
	}
	response = driver.Response{Status: httpResponse.StatusCode, Body: httpResponse.Body}
	if httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 {
		response.Body = unframedBody{httpResponse.Body}
	}
	for name, values := range httpResponse.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			response.Headers = append(response.Headers, [2]string{name, v})
		}
	}
	return response, nil
}

// ErrUnframed is returned at the end of a response body without framing, since its regular end
// can't be distinguished from a truncation.
var ErrUnframed = errors.New("upstream: response has no content length and is not chunked")

// unframedBody is a response body whose end does not prove that it is complete.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (u unframedBody) Read(p []byte) (n int, err error) {
	n, err = u.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = ErrUnframed
	}
	return n, err
}
