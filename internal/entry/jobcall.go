package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/pkg/client"
)

// callJob runs an operation at the owner of the job's cell. During a takeover of the cell it
// retries the operation until ctx ends; repeating an operation that took effect has no further
// effect. A settlement is not retried once its outcome is indeterminate.
func (e *Entry) callJob(ctx context.Context, call *peerpb.JobCall) *peerpb.JobReply {
	if !e.cells.exists(call.GetCell()) {
		return noJobReply()
	}
	var indeterminate *peerpb.JobReply
	for {
		reply := e.callOwner(ctx, call)
		switch {
		case reply.GetStatus() == http.StatusGatewayTimeout:
			indeterminate = reply
		case reply.GetStatus() != http.StatusServiceUnavailable || !reply.GetMoved() && indeterminate == nil:
			return reply
		}
		loop.Pause(ctx, ownerPollInterval)
		if ctx.Err() != nil || call.GetOperation() == operationSettle && indeterminate != nil {
			return cmp.Or(indeterminate, reply)
		}
	}
}

// callOwner runs an operation here if this entry owns the cell, or else at the peer that owns it.
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

func noJobReply() *peerpb.JobReply {
	return problemReply(problem.Problem{Type: "no-job", Status: http.StatusNotFound, Detail: "no such job or task"})
}

// movedReply returns a reply which says that the operation did not run and may be retried at the
// cell's next owner.
func movedReply(kind, detail string) *peerpb.JobReply {
	reply := problemReply(problem.Problem{Type: kind, Status: http.StatusServiceUnavailable, Outcome: problem.OutcomeNotRun, Detail: detail})
	reply.Moved = true
	return reply
}

// ownerSession returns the session to the peer that reported ownership of a cell, or nil.
func (e *Entry) ownerSession(name string) (session *peer.Session) {
	e.cells.mu.Lock()
	r, ok := e.cells.reports[name]
	e.cells.mu.Unlock()
	if !ok {
		return nil
	}
	_ = e.loop.Do(func() {
		if p := e.loopState.peers[r.entry]; p != nil {
			session = p.session
		}
	})
	return session
}

// serveJobCall runs an operation on a job of a cell that this entry owns.
func (e *Entry) serveJobCall(ctx context.Context, call *peerpb.JobCall) *peerpb.JobReply {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
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

// jobReply returns the reply to a call that ended with err: the job, or a problem.
func jobReply(owner *cell.Owner, id string, status int, err error) *peerpb.JobReply {
	var job *cellpb.Job
	if err == nil {
		job, err = owner.Job(id)
	}
	switch {
	case err == nil:
		return jsonReply(status, toJob(job))
	case errors.Is(err, cell.ErrNotOwner):
		return movedReply("not-owner", "this entry does not own the cell any more")
	case errors.Is(err, cell.ErrNotFound):
		return noJobReply()
	case errors.Is(err, cell.ErrOutcomeKnown):
		return problemReply(problem.Problem{Type: "settled", Status: http.StatusConflict, Detail: "the fate of the task is not open"})
	case errors.Is(err, cell.ErrIndeterminate):
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

// problemReply returns p as a reply, completing its type and title.
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
