package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/fence"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Limits of jobs.
const (
	jobMaxBytes     = 512 << 10
	jobTasksMax     = 1000
	jobCallTimeout  = 5 * time.Second
	jobsListMax     = 1000
	jobRetryAfter   = 2 * time.Second
	jobNameMaxBytes = 200
	// ownerPollInterval separates the attempts of a call to reach the next owner of a cell.
	ownerPollInterval = 100 * time.Millisecond
)

// Operations of a JobCall.
const (
	operationSubmit = "submit"
	operationGet    = "get"
	operationCancel = "cancel"
	operationSettle = "settle"
	operationList   = "list"
)

func (e *Entry) addJobRoutes(ws *restful.WebService) {
	ws.Route(ws.POST("/jobs").To(e.postJob).Consumes("*/*").Produces(restful.MIME_JSON))
	ws.Route(ws.GET("/jobs").To(e.listJobs).Produces(restful.MIME_JSON))
	ws.Route(ws.GET("/jobs/{job}").To(e.jobHandler(operationGet)).Produces(restful.MIME_JSON))
	ws.Route(ws.DELETE("/jobs/{job}").To(e.jobHandler(operationCancel)).Produces(restful.MIME_JSON))
}

// postJob accepts a job and responds once the job is durable.
func (e *Entry) postJob(r *restful.Request, w *restful.Response) {
	raw, release, ok := readOperation(r, w, jobMaxBytes, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("a job is at most %d bytes", jobMaxBytes))
	if !ok {
		return
	}
	defer release()
	job, faults := e.parseJob(raw)
	if len(faults) > 0 {
		sendFaults(w, faults)
		return
	}
	key := r.HeaderParameter(client.HeaderIdempotencyKey)
	if len(key) > idempotencyKeyMaxBytes {
		problem.Write(w, http.StatusBadRequest, "invalid-key", fmt.Sprintf("an idempotency key is at most %d bytes", idempotencyKeyMaxBytes))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobCallTimeout)
	defer cancel()
	name := e.awaitCell(ctx, job)
	var err error
	switch {
	case name == "" && e.allEvacuated() && key != "":
		// The key may be that of a job that was accepted before.
		job.Id, err = e.jobOfKey(ctx, key)
	case name != "" && key != "":
		job.Id, err = e.claimJobKey(ctx, key, newJobID(name))
	case name != "":
		job.Id = newJobID(name)
	}
	if err == nil && job.GetId() == "" {
		detail := "no cell is known that could take the job"
		if e.allEvacuated() {
			detail = "all data centres are evacuated"
		}
		problem.RetryAfter(w, jobRetryAfter)
		problem.Send(w, problem.Problem{Type: "no-cell", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: detail})
		return
	}
	if err != nil {
		problem.RetryAfter(w, jobRetryAfter)
		problem.Send(w, problem.Problem{Type: "not-durable", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeUnknown, Detail: "the idempotency key can't be checked now; repeat with the same key"})
		return
	}
	assignTaskIDs(job)
	body, err := proto.Marshal(job)
	if err != nil {
		problem.Write(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	writeReply(w, e.callJob(ctx, &peerpb.JobCall{Operation: operationSubmit, Cell: cellOfJob(job.GetId()), Job: job.GetId(), Body: body}))
}

func newJobID(cell string) string { return cell + "-" + strconv.FormatUint(rand.Uint64(), 36) }

// cellOfJob returns the cell that a job's id names.
func cellOfJob(job string) string {
	i := strings.LastIndexByte(job, '-')
	return job[:max(i, 0)]
}

// awaitCell returns the cell for a new job. While cells change their owners it waits for one that is
// known, until ctx ends. It returns "" if there is none by then, or if the document has no cells or
// evacuates all data centres.
func (e *Entry) awaitCell(ctx context.Context, job *cellpb.Job) string {
	for {
		if name := e.chooseCell(job); name != "" {
			return name
		}
		if d := e.options.Holder.Document(); d != nil && d.TotalCells() == 0 || e.allEvacuated() {
			return ""
		}
		loop.Pause(ctx, ownerPollInterval)
		if ctx.Err() != nil {
			return ""
		}
	}
}

// chooseCell returns the cell for a new job, or "" if no cell is known. It prefers cells with a
// worker large enough for the job's largest task, then those of this data centre with enough free
// CPU for that task, then those with the most free CPU and the fewest waiting tasks. Cells of evacuated
// data centres are left out.
func (e *Entry) chooseCell(job *cellpb.Job) string {
	var need driver.Resources
	for _, t := range job.GetTasks() {
		r := t.GetResources()
		need = need.Max(driver.NewResources(r.GetMilliCpu(), r.GetMemoryBytes(), r.GetAccelerators()))
	}
	e.cells.loads()
	best, bestScore := "", int64(0)
	d := e.options.Holder.Document()
	e.cells.eachLoadExcept("", func(l *peerpb.CellLoad) {
		if d.Evacuated(dataCentreOf(l.GetCell())) {
			return
		}
		score := l.GetFree().GetMilliCpu() - int64(l.GetWaiting())
		if need.Fits(driver.ResourcesFromProto(l.GetLargest())) {
			score += 1 << 50
		}
		if l.GetFree().GetMilliCpu() >= need.MilliCPU() && dataCentreOf(l.GetCell()) == e.options.DataCentre {
			score += 1 << 40
		}
		if best == "" || score > bestScore {
			best, bestScore = l.GetCell(), score
		}
	})
	return best
}

// jobKeyRecord is the stored record that binds an idempotency key to a job.
type jobKeyRecord struct {
	Job string `json:"job"`
}

// claimJobKey binds an idempotency key to a job id. If the key is bound already, it returns the id
// that it is bound to.
func (e *Entry) claimJobKey(ctx context.Context, key, id string) (claimed string, err error) {
	defer errs.Annotate(&err, "entry: claim job")
	path := jobKeyPath(key)
	value, err := json.Marshal(jobKeyRecord{Job: id})
	if err != nil {
		return "", err
	}
	lease, err := e.options.Store.Grant(ctx, cell.DefaultRetention+fence.IdempotencyWindow)
	if err != nil {
		return "", err
	}
	_, err = e.options.Store.CompareAndSwap(ctx, path, driver.RevisionAbsent, value, lease)
	if err == nil {
		return id, nil
	}
	if !errors.Is(err, driver.ErrConflict) && !errors.Is(err, driver.ErrIndeterminate) {
		return "", err
	}
	return e.jobOfKey(ctx, key)
}

func jobKeyPath(key string) string {
	return "job-keys/" + strconv.FormatUint(xxhash.Sum64String(key), 36) + strconv.FormatUint(xxhash.Sum64String(key+"\x00"), 36)
}

// jobOfKey returns the id of the job that an idempotency key is bound to, or "" if there is none.
func (e *Entry) jobOfKey(ctx context.Context, key string) (id string, err error) {
	defer errs.Annotate(&err, "entry: read job key")
	item, err := e.options.Store.Get(ctx, jobKeyPath(key))
	if errors.Is(err, driver.ErrNotFound) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	var c jobKeyRecord
	if err = json.Unmarshal(item.Value(), &c); err != nil {
		return "", err
	}
	return c.Job, nil
}

// jobHandler returns a handler that runs an operation at the owner of the job's cell.
func (e *Entry) jobHandler(operation string) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		ctx, cancel := context.WithTimeout(r.Request.Context(), jobCallTimeout)
		defer cancel()
		job := r.PathParameter("job")
		writeReply(w, e.callJob(ctx, &peerpb.JobCall{Operation: operation, Cell: cellOfJob(job), Job: job}))
	}
}

// postSettlement records an operator's decision on a task whose outcome is unknown.
func (e *Entry) postSettlement(r *restful.Request, w *restful.Response) {
	var s client.Settlement
	raw, release, ok := readOperation(r, w, jobMaxBytes, http.StatusBadRequest, "invalid", "")
	if !ok {
		return
	}
	defer release()
	faults := document.Strict(raw, &s)
	if len(faults) == 0 && s.Outcome != "finished" && s.Outcome != problem.OutcomeNotRun {
		faults = document.Faults{{Path: "$.outcome", Message: fmt.Sprintf("%q is not one of finished, not-run", s.Outcome)}}
	}
	if len(faults) > 0 {
		sendFaults(w, faults)
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobCallTimeout)
	defer cancel()
	job := r.PathParameter("job")
	writeReply(w, e.callJob(ctx, &peerpb.JobCall{
		Operation: operationSettle, Cell: cellOfJob(job), Job: job, Task: r.PathParameter("task"), Outcome: s.Outcome,
	}))
}

// listJobs returns the newest jobs of all cells whose owners can be reached.
func (e *Entry) listJobs(r *restful.Request, w *restful.Response) {
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobCallTimeout)
	defer cancel()
	e.cells.loads()
	var names []string
	e.cells.eachLoadExcept("", func(l *peerpb.CellLoad) { names = append(names, l.GetCell()) })
	jobs := []client.Job{}
	for _, name := range names {
		reply := e.callOwner(ctx, &peerpb.JobCall{Operation: operationList, Cell: name})
		var cellJobs []client.Job
		if reply.GetStatus() == http.StatusOK && json.Unmarshal(reply.GetBody(), &cellJobs) == nil {
			jobs = append(jobs, cellJobs...)
		}
	}
	slices.SortFunc(jobs, func(a, b client.Job) int { return strings.Compare(a.ID, b.ID) })
	body, err := json.Marshal(jobs)
	if err != nil {
		problem.Write(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	writeReply(w, &peerpb.JobReply{Status: http.StatusOK, Body: body})
}

// sendFaults writes a problem response that lists the faults of a document.
func sendFaults(w http.ResponseWriter, faults document.Faults) {
	p := problem.Problem{Type: "invalid", Status: http.StatusUnprocessableEntity, Detail: fmt.Sprintf("%d fault(s)", len(faults))}
	for _, f := range faults {
		p.Faults = append(p.Faults, problem.Fault{Path: f.Path, Message: f.Message})
	}
	problem.Send(w, p)
}
