package upload

import (
	"io"
	"net/http"
	"time"
)

// Read reads the body of a request, of at most maxBytes. It fails with os.ErrDeadlineExceeded if the body
// has not arrived within timeout, and the connection is closed after the response.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) (body []byte, err error) {
	c := http.NewResponseController(w)
	// A writer without deadlines belongs to a test, which sends whole bodies.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes)); err != nil {
		return nil, err
	}
	// The server reads on while the request is served, and would take a deadline for its client's end.
	_ = c.SetReadDeadline(time.Time{})
	return body, nil
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
