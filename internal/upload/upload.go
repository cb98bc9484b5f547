package upload

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminebay/jasminebay/internal/intake"
)

const (
	// firstBytes is the size of the first buffer for a body of unknown length.
	firstBytes = 4 << 10
	// restTimeout is how long the rest of a body may take to arrive that was refused. Clients read the
	// response once they have sent the whole body.
	restTimeout = time.Second
)

// Read reads the body of a request, of at most maxBytes. It fails with os.ErrDeadlineExceeded if the body
// has not arrived within timeout, and with intake.ErrFull if there is no memory for it; the connection is closed
// after the response. Its bytes count as held by the request's account until release is called, which must be
// once the body is not used any more.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) (body []byte, release func(), err error) {
	c := http.NewResponseController(w)
	// A writer without deadlines belongs to a test, which sends whole bodies.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	b := buffer{account: intake.AccountOf(r.Context())}
	if err = b.readAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes); err != nil {
		b.release()
		if errors.Is(err, intake.ErrFull) {
			w.Header().Set("Connection", "close")
			_ = c.SetReadDeadline(time.Now().Add(min(restTimeout, timeout)))
		}
		return nil, func() {}, err
	}
	// The server reads on while the request is served, and would take a deadline for its client's end.
	_ = c.SetReadDeadline(time.Time{})
	return b.bytes, b.release, nil
}

// buffer holds a body whose capacity is counted.
type buffer struct {
	account intake.Account
	bytes   []byte
	counted int64
}

// readAll reads until the end of r. A length of less than 0 is unknown; a known one is counted at once.
func (b *buffer) readAll(r io.Reader, length, maxBytes int64) error {
	// One byte more than the body has room for the end, so that the buffer does not grow at the last read.
	capacity := min(firstBytes, maxBytes) + 1
	if length >= 0 && length <= maxBytes {
		capacity = length + 1
	}
	if err := b.grow(capacity); err != nil {
		return err
	}
	for {
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil && len(b.bytes) == cap(b.bytes) {
			err = b.grow(min(2*b.counted, maxBytes+1))
		}
		if err != nil {
			return err
		}
	}
}

// grow moves the body to a larger buffer. Both are held until it is copied.
func (b *buffer) grow(capacity int64) error {
	// The reader fails before the buffer has more than the greatest capacity.
	capacity = max(capacity, b.counted+1)
	if err := b.account.Reserve(capacity); err != nil {
		return err
	}
	larger := make([]byte, len(b.bytes), capacity)
	copy(larger, b.bytes)
	b.account.Release(b.counted)
	b.bytes, b.counted = larger[:len(b.bytes):capacity], capacity
	return nil
}

// release gives up the buffer.
func (b *buffer) release() {
	b.account.Release(b.counted)
	b.bytes, b.counted = nil, 0
}

// Limit returns a handler whose requests must arrive within timeout, as far as h does not read them with
// Read: before it sends the response, the server reads what is left of a body.
func Limit(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		}
		h.ServeHTTP(w, r)
	})
}
