package driver

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors of a call to an upstream.
var (
	// ErrNotSent proves that the upstream has not received the request.
	ErrNotSent = errors.New("driver: request was not sent to the upstream")
)

// Announcement is what an upstream says of itself to the agent beside it.
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

// Response is an upstream's answer; Body must be closed.
type Response struct {
	Status  int
	Headers [][2]string
	Body    io.ReadCloser
}

// Upstream calls the upstream at an address; implementations are safe for concurrent use.
type Upstream interface {
	// Do sends the call; ErrNotSent proves that the upstream has not received it.
	Do(ctx context.Context, address string, call Request) (Response, error)
	// Limit bounds the connections that are open to address at a time.
	Limit(address string, connections int)
}
