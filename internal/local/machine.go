package local

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jasminebay/jasminebay/internal/app"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	"github.com/jasminebay/jasminebay/internal/standin/worker"
)

// MachineOptions tells how the machines behave.
type MachineOptions struct {
	// ServiceTime gives the undisturbed service time of a kind; nil means 5 ms.
	ServiceTime func(kind string) time.Duration
	// Harm is the latency inflation per processor that a class uses.
	Harm map[string]float64
	// TrueRun maps a declared run time to the true one; nil means that they agree.
	TrueRun func(class string, declared time.Duration) time.Duration
	// UsageLag is how late workers report usage.
	UsageLag time.Duration
	// Reserved is what each machine keeps for its upstream.
	Reserved driver.Resources
}

const defaultServiceTime = 5 * time.Millisecond

// Machine is a VM: a worker and an upstream with an agent beside them.
type Machine struct {
	ID         string
	DataCentre string
	Rack       string
	Worker     *worker.Server
	Upstream   *upstream.Server
	cluster    *Cluster
	workerURL  string
	listen     string
	stopAgent  context.CancelFunc
	agentDone  chan struct{}
}

func (c *Cluster) startMachine(i int) (*Machine, error) {
	o := c.options
	dc := c.document.DataCentres[i%len(c.document.DataCentres)]
	m := &Machine{
		ID: fmt.Sprintf("runner-%02d", i), DataCentre: dc.Name,
		Rack: fmt.Sprintf("rack-%d", i/workersOfRack), cluster: c,
	}
	m.Worker = worker.New(worker.Options{Name: m.ID, Capacity: o.Capacity, ActualRunTime: o.Machine.TrueRun, UsageLag: o.Machine.UsageLag})
	workerAddress, err := c.serve(m.Worker.Handler(), nil)
	if err != nil {
		return nil, err
	}
	m.workerURL = "http://" + workerAddress
	c.goUntilStop(func(ctx context.Context) { m.Worker.Run(ctx.Done()) })
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	agentListener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	m.listen = agentListener.Addr().String()
	m.Upstream = upstream.New(upstream.Options{
		Service: c.document.Services[0].Name, Address: "http://" + l.Addr().String(),
		Agent: "http://" + m.listen, Slots: o.Slots, Connections: o.Connections, ServiceTime: m.serviceTime,
	})
	c.serveOn(c.ctx, l, m.Upstream.Handler(), m.Upstream.ConnState)
	c.goUntilStop(m.Upstream.Announce)
	c.machines = append(c.machines, m)
	return m, m.startAgent(agentListener)
}

func (c *Cluster) goUntilStop(f func(context.Context)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(c.ctx)
	}()
	c.ends = append(c.ends, done)
}

// serviceTime is exponential around the kind's time and inflated by the tasks beside it.
func (m *Machine) serviceTime(kind string) time.Duration {
	o := m.cluster.options.Machine
	base := defaultServiceTime
	if o.ServiceTime != nil {
		base = o.ServiceTime(kind)
	}
	inflation := 1.0
	for class, processors := range m.Worker.CPUByClass() {
		inflation += o.Harm[class] * processors
	}
	return time.Duration(float64(base) * inflation * (0.5 + rand.ExpFloat64()/2))
}

func (m *Machine) startAgent(l net.Listener) error {
	c := m.cluster
	s := &settings.Agent{
		ID: m.ID, System: c.system, DataCentre: m.DataCentre, Rack: m.Rack, Listen: m.listen, Worker: m.workerURL,
		ReserveCPU: c.options.Machine.Reserved.MilliCPU(), ReserveBytes: c.options.Machine.Reserved.MemoryBytes(),
		Heartbeat: c.options.Heartbeat.String(), DrainTimeout: defaultDrain.String(), LogLevel: "info",
	}
	for _, n := range c.entries {
		s.Entries = append(s.Entries, n.Peers)
	}
	if err := s.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	a := app.NewAgent(s, c.options.Log)
	m.stopAgent, m.agentDone = cancel, make(chan struct{})
	c.serveOn(ctx, l, a.Handler(), nil)
	go func() {
		defer close(m.agentDone)
		_ = a.Run(ctx)
	}()
	return nil
}

// StopAgent ends the agent gracefully and waits for its end.
func (m *Machine) StopAgent() {
	if m.stopAgent == nil {
		return
	}
	m.stopAgent()
	<-m.agentDone
	m.stopAgent = nil
}

// RestartAgent ends the agent gracefully and starts a new one in its place.
func (m *Machine) RestartAgent() error {
	m.StopAgent()
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		return err
	}
	return m.startAgent(l)
}
