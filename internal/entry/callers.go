package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/internal/route"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/internal/upload"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Limits of the HTTP APIs for callers and operators.
const (
	headerMaxBytes         = 32 << 10
	headerTimeout          = 5 * time.Second
	idleTimeout            = 2 * time.Minute
	bodyReadTimeout        = 30 * time.Second
	requestTimeoutMax      = 10 * time.Minute
	idempotencyKeyMaxBytes = 255
	drainingRetryAfter     = time.Second
	bodiesFullRetryAfter   = time.Second
	upstreamPathPrefix     = "/"
)

func (e *Entry) newServer(h http.Handler, m *telemetry.Connections) *http1.Server {
	return http1.New(http1.Options{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMaxBytes,
		Refuse: refuse, Limits: e.options.Limits, Log: e.log, Metrics: m,
	})
}

// refuse writes the response to a request that was not read.
func refuse(w http.ResponseWriter) {
	problem.RetryAfter(w, drainingRetryAfter)
	problem.Send(w, problem.Problem{Type: "draining", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: "the connection was closed before the request came"})
}

func newContainer(services ...*restful.WebService) *restful.Container {
	c := restful.NewContainer()
	c.Router(restful.CurlyRouter{})
	// writeResponse aborts an incomplete response by a panic, which net/http has to recover to
	// close the connection.
	c.DoNotRecover(true)
	c.ServiceErrorHandler(func(err restful.ServiceError, _ *restful.Request, w *restful.Response) {
		problem.Write(w, err.Code, "not-served", strings.TrimSpace(err.Message))
	})
	for _, s := range services {
		c.Add(s)
	}
	return c
}

func (e *Entry) callerServer(m *telemetry.Connections) *http1.Server {
	ws := new(restful.WebService)
	ws.Path("/v1")
	ws.Route(ws.POST("/services/{service}/requests").To(e.postRequest).Consumes("*/*").Produces("*/*"))
	ws.Route(ws.POST("/services/{service}/requests/{path:*}").To(e.postRequest).Consumes("*/*").Produces("*/*"))
	e.addJobRoutes(ws)
	health := new(restful.WebService)
	health.Path("/")
	e.addHealthRoutes(health)
	return e.newServer(newContainer(ws, health), m)
}

func (e *Entry) addHealthRoutes(ws *restful.WebService) {
	ws.Route(ws.GET("/healthz").To(func(_ *restful.Request, w *restful.Response) { _, _ = io.WriteString(w, "ok\n") }))
	ws.Route(ws.GET("/readyz").To(e.getReady))
}

func (e *Entry) getReady(_ *restful.Request, w *restful.Response) {
	switch {
	case e.draining.Load():
		problem.Write(w, http.StatusServiceUnavailable, "not-ready", "draining")
	case e.options.Holder.Current() == nil:
		problem.Write(w, http.StatusServiceUnavailable, "not-ready", "no configuration is known yet")
	case !e.warmedUp.Load() && time.Since(e.startedAt) < warmUpTimeout:
		problem.Write(w, http.StatusServiceUnavailable, "not-ready", "no upstream is known yet")
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// postRequest routes one request to an upstream and relays the response.
func (e *Entry) postRequest(r *restful.Request, w *restful.Response) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q, p := e.parseRequest(r)
	if p != nil {
		problem.Send(w, *p)
		return
	}
	if e.draining.Load() {
		problem.RetryAfter(w, drainingRetryAfter)
		problem.Send(w, problem.Problem{Type: "draining", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: "this entry is leaving", RequestID: q.ID})
		return
	}
	release, p := e.readBody(r.Request, w.ResponseWriter, q)
	if p != nil {
		problem.Send(w, *p)
		return
	}
	defer release()
	reply := e.options.Router.Serve(r.Request.Context(), q)
	defer reply.Close()
	w.Header().Set(client.HeaderRequestID, q.ID)
	if reply.Outcome != route.OutcomeAnswered {
		writeOutcome(w, q, reply)
		return
	}
	writeResponse(w, reply)
}

// parseRequest builds a request from the path and headers, checking them against the document.
func (e *Entry) parseRequest(r *restful.Request) (*route.Request, *problem.Problem) {
	invalid := func(status int, kind, format string, args ...any) (*route.Request, *problem.Problem) {
		return nil, &problem.Problem{Type: kind, Status: status, Outcome: problem.OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
	}
	d := e.options.Holder.Document()
	if d == nil {
		return invalid(http.StatusServiceUnavailable, "no-configuration", "no configuration is known yet")
	}
	name := r.PathParameter("service")
	service := d.Service(name)
	if service == nil {
		return invalid(http.StatusNotFound, "unknown-service", "the configuration has no service %q", name)
	}
	kindName := r.HeaderParameter(client.HeaderKind)
	kind := service.Kind(kindName)
	if kind == nil {
		return invalid(http.StatusBadRequest, "unknown-kind", "header %s: service %s has no kind %q", client.HeaderKind, name, kindName)
	}
	timeout, err := parseTimeout(r.HeaderParameter(client.HeaderTimeout), kind)
	if err != nil {
		return invalid(http.StatusBadRequest, "invalid-timeout", "header %s: %v", client.HeaderTimeout, err)
	}
	key := r.HeaderParameter(client.HeaderIdempotencyKey)
	if len(key) > idempotencyKeyMaxBytes {
		return invalid(http.StatusBadRequest, "invalid-key", "header %s: %d bytes, at most %d are allowed", client.HeaderIdempotencyKey, len(key), idempotencyKeyMaxBytes)
	}
	if r.Request.ContentLength > peer.BodyMaxBytes {
		return invalid(http.StatusRequestEntityTooLarge, "too-large", "body of %d bytes, at most %d are allowed", r.Request.ContentLength, peer.BodyMaxBytes)
	}
	now := time.Now()
	return &route.Request{
		ID: route.NewID(), Service: name, Kind: kind.Name, Urgency: kind.Urgency.Rank(), Idempotent: kind.Idempotent,
		Key: key, Path: upstreamPath(r), ContentType: r.HeaderParameter("Content-Type"), ReceivedAt: now, Deadline: now.Add(timeout),
	}, nil
}

// upstreamPath returns the path and query for the upstream, which follow "requests" in the URL.
func upstreamPath(r *restful.Request) string {
	path := upstreamPathPrefix + r.PathParameter("path")
	if r.Request.URL.RawQuery != "" {
		path += "?" + r.Request.URL.RawQuery
	}
	return path
}

// parseTimeout parses the timeout of a request, which may be shorter or longer than that of its
// kind. Without one, the kind's applies.
func parseTimeout(text string, kind *document.Kind) (time.Duration, error) {
	if text == "" {
		return kind.Timeout.D(), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("want a duration such as 250ms, got %q", text)
	}
	if timeout <= 0 || timeout > requestTimeoutMax {
		return 0, fmt.Errorf("%v is not in 0s to %v", timeout, requestTimeoutMax)
	}
	return timeout, nil
}

// readBody reads the body into q once bodyMemory has room for it. The returned function releases
// that memory.
func (e *Entry) readBody(r *http.Request, w http.ResponseWriter, q *route.Request) (func(), *problem.Problem) {
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = peer.BodyMaxBytes
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	if e.bodyMemory.Acquire(ctx, reserved) != nil {
		p := fullProblem(w, q.ID)
		return nil, &p
	}
	body, releaseBody, err := upload.Read(w, r, peer.BodyMaxBytes, min(bodyReadTimeout, time.Until(q.Deadline)))
	release := func() {
		releaseBody()
		e.bodyMemory.Release(reserved)
	}
	if err == nil {
		q.Body = body
		return release, nil
	}
	release()
	if errors.Is(err, intake.ErrFull) {
		p := fullProblem(w, q.ID)
		return nil, &p
	}
	// Close the connection instead of reading the rest of the body.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &problem.Problem{Type: "too-large", Status: http.StatusRequestEntityTooLarge, Outcome: problem.OutcomeNotRun, Detail: fmt.Sprintf("at most %d bytes are allowed", tooLarge.Limit), RequestID: q.ID}
	}
	return nil, &problem.Problem{Type: "incomplete-body", Status: http.StatusBadRequest, Outcome: problem.OutcomeNotRun, Detail: "the body was not received whole in time", RequestID: q.ID}
}

// fullProblem returns the response to a request for whose body there is no memory.
func fullProblem(w http.ResponseWriter, id string) problem.Problem {
	problem.RetryAfter(w, bodiesFullRetryAfter)
	return problem.Problem{Type: "full", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: "too many bodies are being received", RequestID: id}
}

// readOperation reads the body of a call that is not routed. If it fails, it writes the response, with the given
// status, type and detail unless there was no memory for the body.
func readOperation(r *restful.Request, w *restful.Response, maxBytes int64, status int, kind, detail string) (raw []byte, release func(), ok bool) {
	raw, release, err := upload.Read(w.ResponseWriter, r.Request, maxBytes, requestTimeoutMax)
	switch {
	case errors.Is(err, intake.ErrFull):
		problem.Send(w, fullProblem(w, ""))
	case err != nil && detail == "":
		problem.Write(w, status, kind, err.Error())
	case err != nil:
		problem.Write(w, status, kind, detail)
	}
	return raw, release, err == nil
}

// writeOutcome writes the problem response for a request without a response of an upstream.
func writeOutcome(w http.ResponseWriter, q *route.Request, reply *route.Reply) {
	p := problem.Problem{Type: reply.Outcome.String(), Outcome: reply.Outcome.String(), Detail: reply.Detail, RequestID: q.ID}
	switch reply.Outcome {
	case route.OutcomeNotRun:
		p.Status = http.StatusServiceUnavailable
		problem.RetryAfter(w, reply.RetryAfter)
	case route.OutcomeRan:
		p.Status = http.StatusConflict
	default:
		p.Status = http.StatusGatewayTimeout
		if reply.RetryAfter > 0 {
			problem.RetryAfter(w, reply.RetryAfter)
		}
	}
	if p.Detail == "" {
		p.Detail = "refused: " + strings.ToLower(strings.TrimPrefix(reply.Reason.String(), "REASON_"))
	}
	problem.Send(w, p)
}

// writeResponse relays the response of an upstream. If the response breaks off, it aborts the
// connection, so that the caller cannot take the response for complete.
func writeResponse(w http.ResponseWriter, reply *route.Reply) {
	for _, h := range reply.Head.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.Header().Set(client.HeaderUpstream, reply.Head.GetUpstream())
	if !reply.Partial && w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(int(reply.Head.GetStatus()))
	_, err := w.Write(reply.Body)
	if !reply.Partial {
		return
	}
	for err == nil {
		var chunk []byte
		if chunk, err = reply.Next(); err == nil && chunk == nil {
			return
		}
		if err == nil {
			_, err = w.Write(chunk)
		}
	}
	panic(http.ErrAbortHandler)
}
