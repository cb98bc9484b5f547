package driver

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors of a call to an upstream.
var (
	// ErrNotSent is returned only if the upstream has not received the request.
	ErrNotSent = errors.New("driver: request was not sent to the upstream")
)

// Announcement is the state that an upstream reports to the agent on its VM.
type Announcement struct {
	Service     string   `json:"service"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Draining    bool     `json:"draining"`
	Running     []string `json:"running"`
	Instance    string   `json:"instance"`
}

// AnnouncementTTL is how long an upstream counts as present after an announcement.
const AnnouncementTTL = 3 * time.Second

// Request is a request to an upstream.
type Request struct {
	ID          string
	Kind        string
	Path        string
	ContentType string
	Body        []byte
}

// Response is the response of an upstream; Body must be closed.
type Response struct {
	Status  int
	Headers [][2]string
	Body    io.ReadCloser
}

// Upstream sends requests to upstreams; implementations are safe for concurrent use.
type Upstream interface {
	// Do sends the request to the upstream at address; ErrNotSent proves that it was not received.
	Do(ctx context.Context, address string, request Request) (Response, error)
	// Limit sets the maximum number of open connections to address.
	Limit(address string, connections int)
}
