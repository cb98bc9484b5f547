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

// MachineOptions configures the workers and upstreams of the machines.
type MachineOptions struct {
	// ServiceTime returns the mean service time of a kind without interference; nil means
	// defaultServiceTime.
	ServiceTime func(kind string) time.Duration
	// Interference holds, by class, the relative increase in service time for each processor that
	// tasks of the class use.
	Interference map[string]float64
	// ActualRunTime maps a declared run time to the actual one; nil means that they are equal.
	ActualRunTime func(class string, declared time.Duration) time.Duration
	// UsageLag is the delay with which workers report usage.
	UsageLag time.Duration
	// Reserved is reserved on each machine for its upstream.
	Reserved driver.Resources
}

const defaultServiceTime = 5 * time.Millisecond

// Machine represents a VM with a worker, an upstream and their agent.
type Machine struct {
	ID           string
	DataCentre   string
	Rack         string
	Worker       *worker.Server
	Upstream     *upstream.Server
	cluster      *Cluster
	workerURL    string
	agentAddress string
	stopAgent    context.CancelFunc
	agentDone    chan struct{}
}

func (c *Cluster) startMachine(i int) (*Machine, error) {
	o := c.options
	dc := c.document.DataCentres[i%len(c.document.DataCentres)]
	m := &Machine{
		ID: fmt.Sprintf("runner-%02d", i), DataCentre: dc.Name,
		Rack: fmt.Sprintf("rack-%d", i/machinesPerRack), cluster: c,
	}
	m.Worker = worker.New(worker.Options{Name: m.ID, Capacity: o.Capacity, ActualRunTime: o.Machine.ActualRunTime, UsageLag: o.Machine.UsageLag})
	workerAddress, err := c.serve(m.Worker.Handler(), nil)
	if err != nil {
		return nil, err
	}
	m.workerURL = "http://" + workerAddress
	c.runUntilStop(func(ctx context.Context) { m.Worker.Run(ctx.Done()) })
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	agentListener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	m.agentAddress = agentListener.Addr().String()
	m.Upstream = upstream.New(upstream.Options{
		Service: c.document.Services[0].Name, Address: "http://" + l.Addr().String(),
		Agent: "http://" + m.agentAddress, Slots: o.Slots, Connections: o.Connections, ServiceTime: m.sampleServiceTime,
	})
	c.serveListener(c.ctx, l, m.Upstream.Handler(), m.Upstream.ConnState)
	c.runUntilStop(m.Upstream.Announce)
	c.machines = append(c.machines, m)
	return m, m.startAgent(agentListener)
}

// runUntilStop runs f in a goroutine with a context that ends when the cluster stops.
func (c *Cluster) runUntilStop(f func(context.Context)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(c.ctx)
	}()
	c.done = append(c.done, done)
}

// sampleServiceTime returns a random service time of a request. Half of the kind's service time is
// fixed and half is exponentially distributed; tasks on the same machine inflate both.
func (m *Machine) sampleServiceTime(kind string) time.Duration {
	o := m.cluster.options.Machine
	base := defaultServiceTime
	if o.ServiceTime != nil {
		base = o.ServiceTime(kind)
	}
	inflation := 1.0
	for class, processors := range m.Worker.CPUByClass() {
		inflation += o.Interference[class] * processors
	}
	return time.Duration(float64(base) * inflation * (0.5 + rand.ExpFloat64()/2))
}

func (m *Machine) startAgent(l net.Listener) error {
	c := m.cluster
	s := &settings.Agent{
		ID: m.ID, System: c.system, DataCentre: m.DataCentre, Rack: m.Rack, Listen: m.agentAddress, Worker: m.workerURL,
		ReserveCPU: c.options.Machine.Reserved.MilliCPU(), ReserveBytes: c.options.Machine.Reserved.MemoryBytes(),
		Heartbeat: c.options.Heartbeat.String(), DrainTimeout: drainTimeout.String(), LogLevel: "info",
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
	c.serveListener(ctx, l, a.Handler(), nil)
	go func() {
		defer close(m.agentDone)
		_ = a.Run(ctx)
	}()
	return nil
}

// StopAgent shuts the agent down gracefully and waits until it has ended.
func (m *Machine) StopAgent() {
	if m.stopAgent == nil {
		return
	}
	m.stopAgent()
	<-m.agentDone
	m.stopAgent = nil
}

// RestartAgent shuts the agent down gracefully and starts a new one at the same address.
func (m *Machine) RestartAgent() error {
	m.StopAgent()
	l, err := net.Listen("tcp", m.agentAddress)
	if err != nil {
		return err
	}
	return m.startAgent(l)
}
