package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/local"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	grantDuration      = 8 * time.Second
	grantMargin        = time.Second
	storeSilence       = 10 * time.Minute
	heartbeat          = 500 * time.Millisecond
	maxIdleConnections = 512
	requestTimeout     = 90 * time.Second
	jobTimeout         = 5 * time.Second
	maxOutstanding     = 4_000
)

// run is the state of one run of a load file under one variant.
type run struct {
	file        *File
	variant     Variant
	document    *document.Document
	target      target
	httpClient  *http.Client
	startedAt   time.Time
	recorder    *recorder
	outstanding sync.WaitGroup
}

// Run starts a system in this process and runs the load against it.
func Run(ctx context.Context, f *File, raw []byte, v Variant, log *slog.Logger) (*Result, error) {
	raw, d, err := v.apply(raw)
	if err != nil {
		return nil, err
	}
	cluster, err := local.Start(ctx, f.options(raw, log))
	if err != nil {
		return nil, err
	}
	return runAgainst(ctx, f, d, v, localTarget{cluster})
}

// RunRemote runs the load against a system that is already running, under the document that is in
// force there for an environment. The result holds only what callers and operators can observe.
func RunRemote(ctx context.Context, f *File, environment string, v Variant, t Remote) (*Result, error) {
	raw, err := fetchDocument(ctx, f, environment, t, &http.Client{Timeout: jobTimeout})
	if err != nil {
		return nil, err
	}
	d, err := document.Parse(raw)
	if err != nil {
		return nil, err
	}
	for i, q := range f.Requests {
		if d.Services[0].Kind(q.Kind) == nil {
			return nil, fmt.Errorf("load: $.requests[%d].kind: the system's document has no kind %q", i, q.Kind)
		}
	}
	return runAgainst(ctx, f, d, v, remoteTarget{t})
}

func runAgainst(ctx context.Context, f *File, d *document.Document, v Variant, t target) (*Result, error) {
	defer t.stop()
	if v.Scale == 0 {
		v.Scale = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	defer transport.CloseIdleConnections()
	r := &run{
		file: f, variant: v, document: d, target: t, recorder: newRecorder(),
		httpClient: &http.Client{Transport: transport, Timeout: requestTimeout},
	}
	err := r.execute(ctx)
	return r.result(ctx), err
}

// options returns the options of the local system that the load runs against.
func (f *File) options(raw []byte, log *slog.Logger) local.Options {
	serviceTimes, interference, runFactors := map[string]time.Duration{}, map[string]float64{}, map[string]float64{}
	for _, r := range f.Requests {
		serviceTimes[r.Kind] = r.ServiceTime.D()
	}
	for _, c := range f.Classes {
		interference[c.Class], runFactors[c.Class] = c.Interference, c.RunFactor
	}
	s := f.System
	return local.Options{
		Document: raw, Runners: s.Runners, Slots: s.Slots, Connections: s.Connections,
		Capacity:             driver.NewResources(s.MilliCPU, s.MemoryBytes, s.Accelerators),
		EntriesPerDataCentre: 1, Grant: grantDuration, Margin: grantMargin, StoreSilence: storeSilence, Heartbeat: heartbeat, Log: log,
		PeerDelay: s.PeerDelay.D(), PeerJitter: s.PeerJitter.D(), StoreDelay: s.StoreDelay.D(),
		Machine: local.MachineOptions{
			ServiceTime:  func(kind string) time.Duration { return serviceTimes[kind] },
			Interference: interference, UsageLag: s.UsageLag.D(),
			ActualRunTime: func(class string, declared time.Duration) time.Duration {
				if runFactors[class] == 0 {
					return declared
				}
				return time.Duration(float64(declared) * runFactors[class])
			},
		},
	}
}

func (r *run) execute(ctx context.Context) (err error) {
	r.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.file.Duration.D())
	defer cancel()
	var streams sync.WaitGroup
	for i, requests := range r.file.Requests {
		for k, dc := range r.document.DataCentres {
			rng := rand.New(rand.NewPCG(r.file.Seed, uint64(i*100+k)))
			streams.Go(func() { r.sendRequests(ctx, requests, k, dc.Name, rng) })
		}
	}
	if !r.variant.Quiet {
		for i, jobs := range r.file.Jobs {
			streams.Go(func() { r.submitJobs(ctx, jobs, i) })
		}
	}
	streams.Go(func() { err = r.applyFaults(ctx) })
	streams.Wait()
	r.outstanding.Wait()
	return err
}

// sendRequests sends the requests of one kind in one data centre as a Poisson process.
func (r *run) sendRequests(ctx context.Context, q RequestStream, index int, dataCentre string, rng *rand.Rand) {
	share := q.RatePerSecond * r.variant.Scale / float64(len(r.document.DataCentres))
	due := r.startedAt
	for n := 0; ; n++ {
		rate := share * r.burstFactor(due, dataCentre)
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		id, at := fmt.Sprintf("%s/%s/%d;", q.Kind, dataCentre, n), due
		r.outstanding.Go(func() { r.sendRequest(q, index, id, at) })
	}
}

// burstFactor returns the factor by which bursts multiply the arrival rate at a time.
func (r *run) burstFactor(at time.Time, dataCentre string) float64 {
	factor := 1.0
	for _, b := range r.file.Bursts {
		since := at.Sub(r.startedAt)
		if since >= b.At.D() && since < b.At.D()+b.Duration.D() && (b.DataCentre == "" || b.DataCentre == dataCentre) {
			factor *= b.Factor
		}
	}
	return factor
}

// sleepUntil reports whether the time was reached before ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request and records its outcome. If too many requests are outstanding, it
// records the request as not sent.
func (r *run) sendRequest(q RequestStream, index int, id string, due time.Time) {
	if !r.recorder.acquire(maxOutstanding) {
		r.recorder.recordRequest(q.Kind, "not-sent", due, time.Now(), r.startedAt.Add(r.file.WarmUp.D()), false)
		return
	}
	defer r.recorder.release()
	time.Sleep(r.file.System.CallerDelay.D())
	body := append([]byte(id), bytes.Repeat([]byte{'.'}, max(0, q.BodyBytes-len(id)))...)
	answer, err := client.New(client.Options{Address: r.target.callers(index), HTTP: r.httpClient}).Do(context.Background(), client.Request{
		Service: r.document.Services[0].Name, Kind: q.Kind, Body: body, Timeout: q.Timeout.D(),
	})
	time.Sleep(r.file.System.CallerDelay.D())
	now := time.Now()
	kind := r.document.Services[0].Kind(q.Kind)
	r.recorder.recordRequest(q.Kind, outcomeOf(answer, err, body), due, now, r.startedAt.Add(r.file.WarmUp.D()), now.Sub(due) <= kind.Target.D())
}

func outcomeOf(answer client.Answer, err error, body []byte) string {
	var problem *client.Error
	switch {
	case errors.As(err, &problem):
		return problem.Outcome
	case err != nil:
		return "broken"
	case answer.Status >= http.StatusInternalServerError:
		return "failed"
	case !bytes.Equal(answer.Body, body):
		return "wrong"
	}
	return "answered"
}

// submitJobs submits the jobs of a stream at its interval.
func (r *run) submitJobs(ctx context.Context, j JobStream, index int) {
	for due := r.startedAt.Add(j.From.D()); sleepUntil(ctx, due); due = due.Add(j.Every.D()) {
		if j.Until.D() > 0 && due.Sub(r.startedAt) > j.Until.D() {
			return
		}
		address := r.target.operators(index)
		index++
		submitCtx, cancel := context.WithTimeout(ctx, jobTimeout)
		job, err := client.New(client.Options{Address: address, HTTP: r.httpClient}).Submit(submitCtx, client.JobSpec{
			Team: r.document.Teams[0].Name, Name: j.Kind,
			Tasks: []client.TaskSpec{{Kind: j.Kind, Count: j.Tasks, MilliCPU: j.MilliCPU, MemoryBytes: j.MemoryBytes, Run: j.RunTime}},
		}, "")
		cancel()
		r.recorder.recordJob(job.ID, j.Tasks, err)
	}
}

// applyFaults applies the faults of the load file at their times.
func (r *run) applyFaults(ctx context.Context) error {
	for _, f := range r.file.Faults {
		if !sleepUntil(ctx, r.startedAt.Add(f.At.D())) {
			return nil
		}
		if err := r.target.applyFault(f); err != nil {
			return err
		}
	}
	return nil
}
