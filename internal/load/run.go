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
	grant          = 8 * time.Second
	margin         = time.Second
	silence        = 10 * time.Minute
	heartbeat      = 500 * time.Millisecond
	callerIdle     = 512
	requestBound   = 90 * time.Second
	jobTimeout     = 5 * time.Second
	outstandingMax = 4_000
)

// run is one run of a load file under one variant.
type run struct {
	file     *File
	variant  Variant
	document *document.Document
	target   target
	http     *http.Client
	began    time.Time
	record   *recorder
	wait     sync.WaitGroup
}

// Run starts a system, loads it and returns what came out.
func Run(ctx context.Context, f *File, raw []byte, v Variant, log *slog.Logger) (*Result, error) {
	raw, d, err := v.apply(raw)
	if err != nil {
		return nil, err
	}
	cluster, err := local.Start(ctx, f.options(raw, log))
	if err != nil {
		return nil, err
	}
	return load(ctx, f, d, v, started{cluster})
}

// RunRemote loads a system that runs already, under the document that it has in force for
// an environment, and returns what its callers and operators were told.
func RunRemote(ctx context.Context, f *File, environment string, v Variant, t Remote) (*Result, error) {
	raw, err := attach(ctx, f, environment, t, &http.Client{Timeout: jobTimeout})
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
	return load(ctx, f, d, v, remote{t})
}

func load(ctx context.Context, f *File, d *document.Document, v Variant, t target) (*Result, error) {
	defer t.stop()
	if v.Scale == 0 {
		v.Scale = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: callerIdle}
	defer transport.CloseIdleConnections()
	r := &run{
		file: f, variant: v, document: d, target: t, record: newRecorder(),
		http: &http.Client{Transport: transport, Timeout: requestBound},
	}
	err := r.run(ctx)
	return r.result(ctx), err
}

// options sizes the system that the load runs against.
func (f *File) options(raw []byte, log *slog.Logger) local.Options {
	times, harm, factors := map[string]time.Duration{}, map[string]float64{}, map[string]float64{}
	for _, r := range f.Requests {
		times[r.Kind] = r.Service.D()
	}
	for _, c := range f.Classes {
		harm[c.Class], factors[c.Class] = c.Harm, c.RunFactor
	}
	s := f.System
	return local.Options{
		Document: raw, Runners: s.Runners, Slots: s.Slots, Connections: s.Connections,
		Capacity:             driver.NewResources(s.MilliCPU, s.MemoryBytes, s.Accelerators),
		EntriesPerDataCentre: 1, Grant: grant, Margin: margin, StoreSilence: silence, Heartbeat: heartbeat, Log: log,
		PeerDelay: s.PeerDelay.D(), PeerJitter: s.PeerJitter.D(), StoreDelay: s.StoreDelay.D(),
		Machine: local.MachineOptions{
			ServiceTime:  func(kind string) time.Duration { return times[kind] },
			Interference: harm, UsageLag: s.UsageLag.D(),
			TrueRun: func(class string, declared time.Duration) time.Duration {
				if factors[class] == 0 {
					return declared
				}
				return time.Duration(float64(declared) * factors[class])
			},
		},
	}
}

func (r *run) run(ctx context.Context) (err error) {
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.file.Duration.D())
	defer cancel()
	var streams sync.WaitGroup
	for i, requests := range r.file.Requests {
		for k, dc := range r.document.DataCentres {
			seed := rand.New(rand.NewPCG(r.file.Seed, uint64(i*100+k)))
			streams.Go(func() { r.stream(ctx, requests, k, dc.Name, seed) })
		}
	}
	if !r.variant.Quiet {
		for i, jobs := range r.file.Jobs {
			streams.Go(func() { r.jobs(ctx, jobs, i) })
		}
	}
	streams.Go(func() { err = r.faults(ctx) })
	streams.Wait()
	r.wait.Wait()
	return err
}

// stream sends the requests of one kind in one data centre as a Poisson process.
func (r *run) stream(ctx context.Context, q Requests, index int, dataCentre string, seed *rand.Rand) {
	share := q.RatePerSecond * r.variant.Scale / float64(len(r.document.DataCentres))
	due := r.began
	for n := 0; ; n++ {
		rate := share * r.burst(due, dataCentre)
		due = due.Add(time.Duration(seed.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		id, at := fmt.Sprintf("%s/%s/%d;", q.Kind, dataCentre, n), due
		r.wait.Go(func() { r.request(q, index, id, at) })
	}
}

// burst returns the factor on arrivals at a time.
func (r *run) burst(at time.Time, dataCentre string) float64 {
	factor := 1.0
	for _, b := range r.file.Bursts {
		since := at.Sub(r.began)
		if since >= b.At.D() && since < b.At.D()+b.For.D() && (b.DataCentre == "" || b.DataCentre == dataCentre) {
			factor *= b.Factor
		}
	}
	return factor
}

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

// request sends one request and records what came of it.
func (r *run) request(q Requests, index int, id string, due time.Time) {
	if !r.record.enter(outstandingMax) {
		r.record.add(q.Kind, "not-sent", due, time.Now(), r.began.Add(r.file.WarmUp.D()), false)
		return
	}
	defer r.record.leave()
	time.Sleep(r.file.System.CallerDelay.D())
	body := append([]byte(id), bytes.Repeat([]byte{'.'}, max(0, q.Bytes-len(id)))...)
	answer, err := client.New(client.Options{Address: r.target.callers(index), HTTP: r.http}).Do(context.Background(), client.Request{
		Service: r.document.Services[0].Name, Kind: q.Kind, Body: body, Timeout: q.Timeout.D(),
	})
	time.Sleep(r.file.System.CallerDelay.D())
	now := time.Now()
	kind := r.document.Services[0].Kind(q.Kind)
	r.record.add(q.Kind, outcomeOf(answer, err, body), due, now, r.began.Add(r.file.WarmUp.D()), now.Sub(due) <= kind.Target.D())
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

// jobs submits jobs at an interval.
func (r *run) jobs(ctx context.Context, j Jobs, index int) {
	for due := r.began.Add(j.From.D()); sleepUntil(ctx, due); due = due.Add(j.Every.D()) {
		if j.Until.D() > 0 && due.Sub(r.began) > j.Until.D() {
			return
		}
		address := r.target.operators(index)
		index++
		bounded, cancel := context.WithTimeout(ctx, jobTimeout)
		job, err := client.New(client.Options{Address: address, HTTP: r.http}).Submit(bounded, client.JobSpec{
			Team: r.document.Teams[0].Name, Name: j.Kind,
			Tasks: []client.TaskSpec{{Kind: j.Kind, Count: j.Tasks, MilliCPU: j.MilliCPU, MemoryBytes: j.MemoryBytes, Run: j.Run}},
		}, "")
		cancel()
		r.record.submitted(job.ID, j.Tasks, err)
	}
}

// faults changes the upstreams as the file says.
func (r *run) faults(ctx context.Context) error {
	for _, f := range r.file.Faults {
		if !sleepUntil(ctx, r.began.Add(f.At.D())) {
			return nil
		}
		if err := r.target.apply(f); err != nil {
			return err
		}
	}
	return nil
}
