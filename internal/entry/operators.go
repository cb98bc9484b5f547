package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const operatorTimeout = 5 * time.Second

func (e *Entry) operatorServer(m *telemetry.Connections) *http1.Server {
	ws := new(restful.WebService)
	ws.Path("/v1")
	ws.Route(ws.GET("/environments/{environment}").To(e.getEnvironment).Produces(restful.MIME_JSON))
	ws.Route(ws.PUT("/environments/{environment}").To(e.putEnvironment).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.POST("/environments/{environment}/promotions").To(e.postPromotion).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.POST("/environments/{environment}/data-centres/{data-centre}/evacuation").To(e.evacuationHandler(true)).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.DELETE("/environments/{environment}/data-centres/{data-centre}/evacuation").To(e.evacuationHandler(false)).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.GET("/environments/{environment}/status").To(e.getStatus).Produces(restful.MIME_JSON))
	ws.Route(ws.GET("/workers").To(e.getWorkers).Produces(restful.MIME_JSON))
	ws.Route(ws.POST("/workers/{worker}/drain").To(e.postDrain).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.GET("/upstreams").To(e.getUpstreams).Produces(restful.MIME_JSON))
	ws.Route(ws.POST("/jobs/{job}/tasks/{task}/settlement").To(e.postSettlement).Consumes("*/*").Produces(restful.MIME_JSON))
	e.addJobRoutes(ws)
	root := new(restful.WebService)
	root.Path("/")
	e.addHealthRoutes(root)
	metrics := e.options.Metrics.Handler()
	root.Route(root.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	return e.newServer(newContainer(ws, root), m)
}

func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// parseMatch returns the revision in If-Match, or driver.RevisionAbsent for If-None-Match: *, which
// requires that the document does not exist yet.
func parseMatch(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return driver.RevisionAbsent, nil
	}
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, errors.New("If-Match with the revision that was read, or If-None-Match: * for a new document, is needed")
	}
	revision, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("If-Match: %q is not a revision", text)
	}
	return revision, nil
}

// getEnvironment returns the document of an environment. While the key-value service is down it
// returns the document in force here and marks it as such in the source header.
func (e *Entry) getEnvironment(r *restful.Request, w *restful.Response) {
	ctx, cancel := context.WithTimeout(r.Request.Context(), operatorTimeout)
	defer cancel()
	environment := r.PathParameter("environment")
	raw, revision, err := e.options.Editor.Get(ctx, environment)
	current := e.options.Holder.Current()
	source := "store"
	if err != nil && !errors.Is(err, driver.ErrNotFound) && environment == e.options.Holder.Environment() && current != nil {
		raw, err = current.DocumentRaw()
		revision, source = current.Revision(), "in-force"
	}
	if err != nil {
		writeEditError(w, err)
		return
	}
	w.Header().Set("ETag", etag(revision))
	w.Header().Set(client.HeaderSource, source)
	w.Header().Set("Content-Type", restful.MIME_JSON)
	_, _ = w.Write(raw)
}

func (e *Entry) putEnvironment(r *restful.Request, w *restful.Response) {
	environment := r.PathParameter("environment")
	revision, err := parseMatch(r.Request)
	if err != nil {
		problem.Write(w, http.StatusPreconditionRequired, "no-revision", err.Error())
		return
	}
	raw, release, ok := readOperation(r, w, document.MaxBytes, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("a document is at most %d bytes", document.MaxBytes))
	if !ok {
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Request.Context(), operatorTimeout)
	defer cancel()
	next, record, err := e.options.Editor.Put(ctx, environment, revision, raw)
	e.finishEdit(w, environment, revision, next, record, err)
}

func (e *Entry) postPromotion(r *restful.Request, w *restful.Response) {
	environment := r.PathParameter("environment")
	revision, err := parseMatch(r.Request)
	if err != nil {
		problem.Write(w, http.StatusPreconditionRequired, "no-revision", err.Error())
		return
	}
	raw, release, ok := readOperation(r, w, jobMaxBytes, http.StatusBadRequest, "invalid", "")
	if !ok {
		return
	}
	defer release()
	var p client.Promotion
	if faults := document.Strict(raw, &p); len(faults) > 0 {
		sendFaults(w, faults)
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), operatorTimeout)
	defer cancel()
	next, record, err := e.options.Editor.Promote(ctx, p.From, environment, revision)
	e.finishEdit(w, environment, revision, next, record, err)
}

// finishEdit responds to an operator's change and, if the change was accepted, puts it in force
// here at once.
func (e *Entry) finishEdit(w http.ResponseWriter, environment string, before, next uint64, record []byte, err error) {
	if err != nil {
		e.log.Info("configuration change refused", "environment", environment, "from", before, "error", err.Error())
		writeEditError(w, err)
		return
	}
	if next != before {
		e.log.Info("configuration accepted", "environment", environment, "from", before, "revision", next)
	}
	if environment == e.options.Holder.Environment() && record != nil {
		if _, err := e.options.Holder.Apply(next, record); err != nil {
			e.log.Error("accepted configuration is invalid", "error", err.Error())
		}
		e.options.Metrics.Revision.Set(float64(e.options.Holder.Current().Revision()))
	}
	w.Header().Set("ETag", etag(next))
	writeReply(w, jsonReply(http.StatusOK, map[string]uint64{"revision": next}))
}

func writeEditError(w http.ResponseWriter, err error) {
	var faults document.Faults
	var conflict *config.ConflictError
	var indeterminate *config.IndeterminateError
	switch {
	case errors.As(err, &faults):
		sendFaults(w, faults)
	case errors.As(err, &conflict):
		w.Header().Set("ETag", etag(conflict.Revision))
		problem.Send(w, problem.Problem{Type: "conflict", Status: http.StatusPreconditionFailed, Detail: "the document has changed since it was read; nothing was changed", Revision: conflict.Revision})
	case errors.As(err, &indeterminate):
		problem.Send(w, problem.Problem{Type: "in-doubt", Status: http.StatusGatewayTimeout, Outcome: problem.OutcomeUnknown, Detail: indeterminate.Error()})
	case errors.Is(err, document.ErrNoDataCentre):
		problem.Write(w, http.StatusNotFound, "no-data-centre", "the document of the environment lists no such data centre")
	case errors.Is(err, driver.ErrNotFound):
		problem.Write(w, http.StatusNotFound, "no-document", "the environment has no document")
	default:
		problem.RetryAfter(w, jobRetryAfter)
		problem.Send(w, problem.Problem{Type: "store-down", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: "the key-value service does not answer; nothing was changed"})
	}
}

// getStatus returns the revision in force in each data centre.
func (e *Entry) getStatus(r *restful.Request, w *restful.Response) {
	environment := r.PathParameter("environment")
	if environment != e.options.Holder.Environment() {
		problem.Write(w, http.StatusNotFound, "other-environment", fmt.Sprintf("this entry serves the environment %q", e.options.Holder.Environment()))
		return
	}
	current, d := e.options.Holder.Current().Revision(), e.options.Holder.Document()
	statuses := map[string]*client.DataCentreStatus{}
	_ = e.loop.Do(func() {
		agents, lowest := e.lowestAgentRevision()
		addEntryStatus(statuses, e.options.DataCentre, current, agents, lowest, 0)
		for _, p := range e.loopState.peers {
			addEntryStatus(statuses, p.state.GetDataCentre(), p.state.GetRevision(), p.state.GetAgents(), p.state.GetAgentsRevision(), time.Since(p.lastStateAt))
			current = max(current, p.state.GetRevision())
		}
	})
	for name := range evacuatedDataCentres(d) {
		if statuses[name] == nil {
			// The VMs of an evacuated data centre may all be stopped.
			statuses[name] = &client.DataCentreStatus{Name: name, Revision: current}
		}
	}
	status := client.Status{Environment: environment, Revision: current, DataCentres: []client.DataCentreStatus{}}
	for _, s := range statuses {
		s.Evacuated = d.Evacuated(s.Name)
		s.InForce = s.Revision >= current && (s.Agents == 0 || s.AgentsRevision >= current)
		status.DataCentres = append(status.DataCentres, *s)
	}
	slices.SortFunc(status.DataCentres, func(a, b client.DataCentreStatus) int { return strings.Compare(a.Name, b.Name) })
	writeReply(w, jsonReply(http.StatusOK, status))
}

// addEntryStatus merges the status of one entry into that of its data centre. The entries of a
// data centre see the same agents, so their counts are not added up: the largest is used.
func addEntryStatus(statuses map[string]*client.DataCentreStatus, name string, revision uint64, agents int32, lowest uint64, age time.Duration) {
	s := statuses[name]
	if s == nil {
		s = &client.DataCentreStatus{Name: name, Revision: revision}
		statuses[name] = s
	}
	s.Entries++
	s.Revision = min(s.Revision, revision)
	if agents > 0 && (s.Agents == 0 || lowest < s.AgentsRevision) {
		s.AgentsRevision = lowest
	}
	s.Agents = max(s.Agents, int(agents))
	s.HeardMillisAgo = max(s.HeardMillisAgo, age.Milliseconds())
}

func toResources(r *peerpb.Resources) document.Resources {
	return document.Resources{MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}

func (e *Entry) getWorkers(_ *restful.Request, w *restful.Response) {
	workers := []client.Worker{}
	_ = e.loop.Do(func() {
		for _, a := range e.loopState.agents {
			workers = append(workers, a.workerStatus())
		}
	})
	slices.SortFunc(workers, func(a, b client.Worker) int { return strings.Compare(a.ID, b.ID) })
	writeReply(w, jsonReply(http.StatusOK, workers))
}

// workerStatus describes the agent's worker for operators; it runs on the loop.
func (a *agentSession) workerStatus() client.Worker {
	r := a.report
	w := client.Worker{
		ID: a.hello.GetId(), DataCentre: a.hello.GetDataCentre(), Rack: a.hello.GetRack(), Cell: a.cell,
		Draining: r.GetDraining(), Rebuilding: r.GetRebuilding(), Capacity: toResources(r.GetCapacity()),
		Holding: r.GetHolding(), Revision: r.GetRevision(), SeenMillis: time.Since(a.lastReportAt).Milliseconds(),
	}
	for _, u := range r.GetUpstreams() {
		w.Yielding = w.Yielding || u.GetYielding()
	}
	if r.GetFree() != nil {
		free, tasks := toResources(r.GetFree()), len(r.GetTasks())
		w.Free, w.Tasks = &free, &tasks
	}
	return w
}

func (e *Entry) getUpstreams(_ *restful.Request, w *restful.Response) {
	upstreams := []client.Upstream{}
	_ = e.loop.Do(func() {
		for _, a := range e.loopState.agents {
			for _, u := range a.report.GetUpstreams() {
				upstreams = append(upstreams, client.Upstream{
					Agent: a.hello.GetId(), DataCentre: a.hello.GetDataCentre(), Service: u.GetService(), Slots: int(u.GetSlots()),
					InFlight: int(u.GetInFlight()), Queued: int(u.GetQueued()), Ready: u.GetReady(), Draining: u.GetDraining(),
					Yielding: u.GetYielding(),
				})
			}
		}
	})
	slices.SortFunc(upstreams, func(a, b client.Upstream) int { return strings.Compare(a.Agent+a.Service, b.Agent+b.Service) })
	writeReply(w, jsonReply(http.StatusOK, upstreams))
}

// postDrain tells an agent to accept no new work and to give up its tasks.
func (e *Entry) postDrain(r *restful.Request, w *restful.Response) {
	ctx, cancel := context.WithTimeout(r.Request.Context(), operatorTimeout)
	defer cancel()
	reply, err := e.sendCommand(ctx, r.PathParameter("worker"), peer.DrainFrame())
	switch {
	case errors.Is(err, errNoSession):
		problem.Write(w, http.StatusNotFound, "no-worker", "this entry has no session to such a worker")
	case err != nil || !reply.GetAccepted():
		problem.Send(w, problem.Problem{Type: "no-answer", Status: http.StatusGatewayTimeout, Outcome: problem.OutcomeUnknown, Detail: "the agent gave no answer"})
	default:
		writeReply(w, jsonReply(http.StatusAccepted, map[string]bool{"draining": true}))
	}
}
