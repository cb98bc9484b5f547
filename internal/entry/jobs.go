package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Limits of jobs.
const (
	jobMaxBytes   = 512 << 10
	jobTasksMax   = 1000
	jobTimeout    = 5 * time.Second
	jobsListMax   = 1000
	jobRetryAfter = 2 * time.Second
	nameMaxBytes  = 200
	// ownerPoll is the interval at which a call looks for the next owner of a cell.
	ownerPoll = 100 * time.Millisecond
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
	ws.Route(ws.GET("/jobs/{job}").To(e.jobCall(operationGet)).Produces(restful.MIME_JSON))
	ws.Route(ws.DELETE("/jobs/{job}").To(e.jobCall(operationCancel)).Produces(restful.MIME_JSON))
}

// postJob accepts a job once it is durable.
func (e *Entry) postJob(r *restful.Request, w *restful.Response) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, jobMaxBytes))
	if err != nil {
		problem.Write(w, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("a job is at most %d bytes", jobMaxBytes))
		return
	}
	job, faults := e.parseJob(raw)
	if len(faults) > 0 {
		sendFaults(w, faults)
		return
	}
	key := r.HeaderParameter(client.HeaderIdempotencyKey)
	if len(key) > keyMaxBytes {
		problem.Write(w, http.StatusBadRequest, "invalid-key", fmt.Sprintf("an idempotency key is at most %d bytes", keyMaxBytes))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobTimeout)
	defer cancel()
	name := e.chooseCell(job)
	if name == "" {
		problem.RetryAfter(w, jobRetryAfter)
		problem.Send(w, problem.Problem{Type: "no-cell", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: "no cell is known that could take the job"})
		return
	}
	job.Id = name + "-" + strconv.FormatUint(rand.Uint64(), 36)
	if key != "" {
		job.Id, err = e.claimJob(ctx, key, job.GetId())
	}
	if err != nil {
		problem.RetryAfter(w, jobRetryAfter)
		problem.Send(w, problem.Problem{Type: "not-durable", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeUnknown, Detail: "the idempotency key can't be checked now; repeat with the same key"})
		return
	}
	nameTasks(job)
	body, err := proto.Marshal(job)
	if err != nil {
		problem.Write(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	writeReply(w, e.callJob(ctx, &peerpb.JobCall{Operation: operationSubmit, Cell: cellOf(job.GetId()), Job: job.GetId(), Body: body}))
}

func nameTasks(job *cellpb.Job) {
	for i, t := range job.GetTasks() {
		t.Id = job.GetId() + "." + strconv.Itoa(i)
	}
}

// cellOf returns the cell of a job's id.
func cellOf(job string) string {
	i := strings.LastIndexByte(job, '-')
	return job[:max(i, 0)]
}

// parseJob reads a job and fills in what its task kinds say.
func (e *Entry) parseJob(raw []byte) (*cellpb.Job, document.Faults) {
	d := e.options.Holder.Document()
	if d == nil {
		return nil, document.Faults{{Path: "$", Message: "no configuration is known yet"}}
	}
	var spec client.JobSpec
	faults := document.Strict(raw, &spec)
	if len(faults) > 0 {
		return nil, faults
	}
	fault := func(path, format string, args ...any) {
		faults = append(faults, document.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if d.Team(spec.Team) == nil {
		fault("$.team", "the configuration has no team %q", spec.Team)
	}
	if spec.Name == "" || len(spec.Name) > nameMaxBytes {
		fault("$.name", "want 1 to %d bytes", nameMaxBytes)
	}
	if spec.Urgency != "" && spec.Urgency.Rank() < 0 {
		fault("$.urgency", "%q is not one of urgent, ordinary, patient", string(spec.Urgency))
	}
	job := &cellpb.Job{
		Environment: d.Environment, Team: spec.Team, Name: spec.Name, Gang: spec.Gang,
		Urgency: int32(spec.Urgency.Rank()), AcceptedUnixMillis: time.Now().UnixMilli(),
	}
	for i, t := range spec.Tasks {
		path := fmt.Sprintf("$.tasks[%d]", i)
		kind := d.TaskKind(t.Kind)
		if kind == nil {
			fault(path+".kind", "the configuration has no task kind %q", t.Kind)
			continue
		}
		checkTask(t, path, fault)
		if spec.Urgency == "" {
			job.Urgency = max(job.Urgency, int32(kind.Urgency.Rank()))
		}
		job.Tasks = append(job.Tasks, tasksOf(t, kind)...)
	}
	if n := len(job.GetTasks()); len(faults) == 0 && (n == 0 || n > jobTasksMax) {
		fault("$.tasks", "%d tasks are not in 1 to %d", n, jobTasksMax)
	}
	return job, faults
}

func checkTask(t client.TaskSpec, path string, fault func(path, format string, args ...any)) {
	if t.Count < 0 || t.Count > jobTasksMax {
		fault(path+".count", "%d is not in 0 to %d", t.Count, jobTasksMax)
	}
	if t.MilliCPU < 1 {
		fault(path+".milli-cpu", "%d is not at least 1", t.MilliCPU)
	}
	if t.MemoryBytes < 0 {
		fault(path+".memory-bytes", "%d is not at least 0", t.MemoryBytes)
	}
	if t.Accelerators < 0 {
		fault(path+".accelerators", "%d is not at least 0", t.Accelerators)
	}
	if t.Run.D() < 0 {
		fault(path+".run", "%v is not at least 0s", t.Run.D())
	}
	if t.MaxAttempts < 0 {
		fault(path+".max-attempts", "%d is not at least 0", t.MaxAttempts)
	}
}

func tasksOf(t client.TaskSpec, kind *document.TaskKind) (tasks []*cellpb.Task) {
	attempts := t.MaxAttempts
	if attempts == 0 {
		attempts = kind.MaxAttempts
	}
	for range min(max(t.Count, 1), jobTasksMax) {
		tasks = append(tasks, &cellpb.Task{
			Kind: kind.Name, Class: kind.Class, Idempotent: kind.Idempotent, MaxAttempts: uint32(attempts),
			Resources: &cellpb.Resources{MilliCpu: t.MilliCPU, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators},
			RunMillis: t.Run.D().Milliseconds(),
		})
	}
	return tasks
}

// chooseCell returns the cell with the most room among those whose largest worker holds
// the job's largest task, one of this data centre if there is any such, or "".
func (e *Entry) chooseCell(job *cellpb.Job) string {
	var need driver.Resources
	for _, t := range job.GetTasks() {
		r := t.GetResources()
		need = need.Max(driver.NewResources(r.GetMilliCpu(), r.GetMemoryBytes(), r.GetAccelerators()))
	}
	e.cells.loads()
	best, bestScore := "", int64(0)
	e.cells.others("", func(l *peerpb.CellLoad) {
		score := l.GetFree().GetMilliCpu() - int64(l.GetWaiting())
		if need.Fits(driver.ResourcesOf(l.GetLargest())) {
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

// jobClaim ties an idempotency key to a job.
type jobClaim struct {
	Job string `json:"job"`
}

// claimJob ties a key to a job id, or returns the id that it is tied to already.
func (e *Entry) claimJob(ctx context.Context, key, id string) (claimed string, err error) {
	defer errs.Annotate(&err, "entry: claim job")
	path := "job-keys/" + strconv.FormatUint(xxhash.Sum64String(key), 36) + strconv.FormatUint(xxhash.Sum64String(key+"\x00"), 36)
	value, err := json.Marshal(jobClaim{Job: id})
	if err != nil {
		return "", err
	}
	lease, err := e.options.Store.Grant(ctx, cell.DefaultRetention+fence.Window)
	if err != nil {
		return "", err
	}
	_, err = e.options.Store.Swap(ctx, path, driver.RevisionAbsent, value, lease)
	if err == nil {
		return id, nil
	}
	if !errors.Is(err, driver.ErrConflict) && !errors.Is(err, driver.ErrAmbiguous) {
		return "", err
	}
	item, err := e.options.Store.Get(ctx, path)
	if err != nil {
		return "", err
	}
	var c jobClaim
	if err = json.Unmarshal(item.Value(), &c); err != nil {
		return "", err
	}
	return c.Job, nil
}

// jobCall returns a handler that passes an operation to the owner of the job's cell.
func (e *Entry) jobCall(operation string) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		ctx, cancel := context.WithTimeout(r.Request.Context(), jobTimeout)
		defer cancel()
		job := r.PathParameter("job")
		writeReply(w, e.callJob(ctx, &peerpb.JobCall{Operation: operation, Cell: cellOf(job), Job: job}))
	}
}

// postSettlement records an operator's verdict on a task whose fate is unknown.
func (e *Entry) postSettlement(r *restful.Request, w *restful.Response) {
	var s client.Settlement
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, jobMaxBytes))
	if err != nil {
		problem.Write(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	faults := document.Strict(raw, &s)
	if len(faults) == 0 && s.Outcome != "finished" && s.Outcome != problem.OutcomeNotRun {
		faults = document.Faults{{Path: "$.outcome", Message: fmt.Sprintf("%q is not one of finished, not-run", s.Outcome)}}
	}
	if len(faults) > 0 {
		sendFaults(w, faults)
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobTimeout)
	defer cancel()
	job := r.PathParameter("job")
	writeReply(w, e.callJob(ctx, &peerpb.JobCall{
		Operation: operationSettle, Cell: cellOf(job), Job: job, Task: r.PathParameter("task"), Outcome: s.Outcome,
	}))
}

// listJobs gathers the newest jobs of all cells.
func (e *Entry) listJobs(r *restful.Request, w *restful.Response) {
	ctx, cancel := context.WithTimeout(r.Request.Context(), jobTimeout)
	defer cancel()
	e.cells.loads()
	var names []string
	e.cells.others("", func(l *peerpb.CellLoad) { names = append(names, l.GetCell()) })
	jobs := []client.Job{}
	for _, name := range names {
		reply := e.callOwner(ctx, &peerpb.JobCall{Operation: operationList, Cell: name})
		var part []client.Job
		if reply.GetStatus() == http.StatusOK && json.Unmarshal(reply.GetBody(), &part) == nil {
			jobs = append(jobs, part...)
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

// callJob runs an operation at the owner of the job's cell. While the cell changes hands it
// runs the operation again, until ctx ends; one that took effect has no second effect.
func (e *Entry) callJob(ctx context.Context, call *peerpb.JobCall) *peerpb.JobReply {
	var doubt *peerpb.JobReply
	for {
		reply := e.callOwner(ctx, call)
		switch {
		case reply.GetStatus() == http.StatusGatewayTimeout:
			doubt = reply
		case reply.GetStatus() != http.StatusServiceUnavailable || !reply.GetMoved() && doubt == nil:
			return reply
		}
		loop.Pause(ctx, ownerPoll)
		if ctx.Err() != nil || call.GetOperation() == operationSettle && doubt != nil {
			return cmp.Or(doubt, reply)
		}
	}
}

// callOwner runs an operation here if this entry owns the cell, or at the peer that does.
func (e *Entry) callOwner(ctx context.Context, call *peerpb.JobCall) *peerpb.JobReply {
	if e.cells.owner(call.GetCell()) != nil {
		return e.serveJobCall(ctx, call)
	}
	session := e.ownerSession(call.GetCell())
	if session == nil {
		return movedReply("no-owner", "the cell has no owner that can be reached now")
	}
	f, err := session.Call(ctx, peer.JobCallFrame(call))
	if err != nil || f.GetJobReply() == nil {
		return problemReply(problem.Problem{Type: "no-answer", Status: http.StatusGatewayTimeout, Outcome: problem.OutcomeUnknown, Detail: "the cell's owner gave no answer"})
	}
	return f.GetJobReply()
}

// movedReply tells that nothing was done and that the cell's next owner may do it.
func movedReply(kind, detail string) *peerpb.JobReply {
	reply := problemReply(problem.Problem{Type: kind, Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: detail})
	reply.Moved = true
	return reply
}

func (e *Entry) ownerSession(name string) (session *peer.Session) {
	e.cells.mu.Lock()
	h, ok := e.cells.heard[name]
	e.cells.mu.Unlock()
	if !ok {
		return nil
	}
	_ = e.loop.Do(func() {
		if p := e.control.peers[h.entry]; p != nil {
			session = p.session
		}
	})
	return session
}

// serveJobCall runs an operation on a job of a cell that this entry owns.
func (e *Entry) serveJobCall(ctx context.Context, call *peerpb.JobCall) *peerpb.JobReply {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	owner := e.cells.owner(call.GetCell())
	if owner == nil {
		return movedReply("not-owner", "this entry does not own the cell any more")
	}
	switch call.GetOperation() {
	case operationSubmit:
		job := &cellpb.Job{}
		if err := proto.Unmarshal(call.GetBody(), job); err != nil {
			return problemReply(problem.Problem{Type: "invalid", Status: http.StatusBadRequest, Detail: err.Error()})
		}
		return jobReply(owner, call.GetJob(), http.StatusAccepted, owner.Submit(ctx, job))
	case operationGet:
		return jobReply(owner, call.GetJob(), http.StatusOK, nil)
	case operationCancel:
		return jobReply(owner, call.GetJob(), http.StatusOK, owner.Cancel(ctx, call.GetJob()))
	case operationSettle:
		return jobReply(owner, call.GetJob(), http.StatusOK, owner.Settle(ctx, call.GetTask(), call.GetOutcome() == "finished"))
	case operationList:
		return listReply(owner)
	}
	return problemReply(problem.Problem{Type: "invalid", Status: http.StatusBadRequest, Detail: "unknown operation " + call.GetOperation()})
}

func listReply(owner *cell.Owner) *peerpb.JobReply {
	jobs := []client.Job{}
	for _, job := range owner.Jobs(jobsListMax) {
		j := toJob(job)
		j.Tasks = nil
		jobs = append(jobs, j)
	}
	return jsonReply(http.StatusOK, jobs)
}

// jobReply answers with the job after a call that ended with err.
func jobReply(owner *cell.Owner, id string, status int, err error) *peerpb.JobReply {
	var job *cellpb.Job
	if err == nil {
		job, err = owner.Job(id)
	}
	switch {
	case err == nil:
		return jsonReply(status, toJob(job))
	case errors.Is(err, cell.ErrGivenUp):
		return movedReply("not-owner", "this entry does not own the cell any more")
	case errors.Is(err, cell.ErrNoJob):
		return problemReply(problem.Problem{Type: "no-job", Status: http.StatusNotFound, Detail: "no such job or task"})
	case errors.Is(err, cell.ErrSettled):
		return problemReply(problem.Problem{Type: "settled", Status: http.StatusConflict, Detail: "the fate of the task is not open"})
	case errors.Is(err, cell.ErrInDoubt):
		return problemReply(problem.Problem{Type: "in-doubt", Status: http.StatusGatewayTimeout, Outcome: problem.OutcomeUnknown, Detail: "not known yet whether it is durable; repeat with the same idempotency key"})
	}
	return problemReply(problem.Problem{Type: "busy", Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: err.Error()})
}

func jsonReply(status int, v any) *peerpb.JobReply {
	body, err := json.Marshal(v)
	if err != nil {
		return problemReply(problem.Problem{Type: "internal", Status: http.StatusInternalServerError, Detail: err.Error()})
	}
	return &peerpb.JobReply{Status: int32(status), Body: body}
}

func problemReply(p problem.Problem) *peerpb.JobReply {
	p.Title = http.StatusText(p.Status)
	p.Type = "urn:jasminebay:problem:" + p.Type
	return jsonReply(p.Status, p)
}

func writeReply(w http.ResponseWriter, r *peerpb.JobReply) {
	contentType := restful.MIME_JSON
	if r.GetStatus() >= http.StatusBadRequest {
		contentType = problem.ContentType
	}
	if r.GetStatus() == http.StatusServiceUnavailable {
		problem.RetryAfter(w, jobRetryAfter)
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(int(r.GetStatus()))
	_, _ = w.Write(r.GetBody())
}

func sendFaults(w http.ResponseWriter, faults document.Faults) {
	p := problem.Problem{Type: "invalid", Status: http.StatusUnprocessableEntity, Detail: fmt.Sprintf("%d fault(s)", len(faults))}
	for _, f := range faults {
		p.Faults = append(p.Faults, problem.Fault{Path: f.Path, Message: f.Message})
	}
	problem.Send(w, p)
}

var urgencyNames = [...]document.Urgency{document.UrgencyPatient, document.UrgencyOrdinary, document.UrgencyUrgent}

// toJob returns a job as callers see it.
func toJob(job *cellpb.Job) client.Job {
	j := client.Job{
		ID: job.GetId(), Team: job.GetTeam(), Name: job.GetName(), Cancelled: job.GetCancelled(), State: client.JobStateActive,
		Urgency: urgencyNames[min(max(job.GetUrgency(), 0), int32(len(urgencyNames)-1))], Counts: map[string]int{},
	}
	if cell.Done(job) {
		j.State = client.JobStateDone
	}
	for _, t := range job.GetTasks() {
		phase := strings.ToLower(strings.TrimPrefix(t.GetPhase().String(), "PHASE_"))
		j.Counts[phase]++
		j.Tasks = append(j.Tasks, client.Task{
			ID: t.GetId(), Kind: t.GetKind(), Phase: phase, Attempt: t.GetAttempt(), Worker: t.GetWorker(),
			Checkpoint: t.GetCheckpoint(), Evictions: t.GetEvictions(), Failures: t.GetFailures(), Detail: t.GetDetail(),
		})
	}
	if open := len(job.GetTasks()) - j.Counts[client.TaskPhaseUnknown]; j.State != client.JobStateDone && j.Counts[client.TaskPhaseUnknown] > 0 && ended(j) == open {
		j.State = client.JobStateInDoubt
	}
	return j
}

// ended counts the tasks of a job that have reached a terminal phase.
func ended(j client.Job) int {
	return j.Counts["finished"] + j.Counts["failed"] + j.Counts["cancelled"] + j.Counts["infeasible"]
}
