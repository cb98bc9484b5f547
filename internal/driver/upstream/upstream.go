// Package upstream speaks to the upstream beside an agent over HTTP.
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

// Headers that an upstream receives.
const (
	HeaderRequestID = "Jasminebay-Request-Id"
	HeaderKind      = "Jasminebay-Kind"
)

const dialTimeout = time.Second

// hopHeaders are not passed on to callers.
var hopHeaders = map[string]bool{
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
func (c *Client) Do(ctx context.Context, address string, call driver.Request) (answer driver.Response, err error) {
	defer errs.Annotate(&err, "upstream: call %s", call.ID)
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	url := strings.TrimSuffix(address, "/") + call.Path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return driver.Response{}, errors.Wrapf(driver.ErrNotSent, "%v", err)
	}
	// Without GetBody the transport never sends the request a second time by itself.
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, call.ID)
	request.Header.Set(HeaderKind, call.Kind)
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	response, err := c.client(address).Do(request)
	if err != nil && !wrote.Load() {
		return driver.Response{}, errors.Wrapf(driver.ErrNotSent, "%v", err)
	}
	if err != nil {
		return driver.Response{}, err
	}
	answer = driver.Response{Status: response.StatusCode, Body: response.Body}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		answer.Body = unframed{response.Body}
	}
	for name, values := range response.Header {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			answer.Headers = append(answer.Headers, [2]string{name, v})
		}
	}
	return answer, nil
}

// ErrUnframed tells that an answer carries no length, so that its end can't be told from
// a cut.
var ErrUnframed = errors.New("upstream: the answer has neither a length nor chunks")

// unframed is a body whose end proves nothing.
type unframed struct{ io.ReadCloser }

// Read implements io.Reader.
func (u unframed) Read(p []byte) (n int, err error) {
	n, err = u.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = ErrUnframed
	}
	return n, err
}
