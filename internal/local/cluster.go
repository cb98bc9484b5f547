package local

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/app"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/entry"
	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	loopbackAddress = "127.0.0.1:0"
	readyTimeout    = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
	// drainTimeout bounds the shutdown of entries and agents, and the read of a request's header.
	drainTimeout    = 5 * time.Second
	machinesPerRack = 3
)

// Options configures a Cluster.
type Options struct {
	// Document is the configuration document that Start applies.
	Document []byte
	// Runners is the number of machines, which are spread over the data centres of the document.
	// Each has an agent, a worker and an upstream of the document's first service.
	Runners int
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
	// Capacity is that of each worker.
	Capacity driver.Resources
	// EntriesPerDataCentre must be at least 1.
	EntriesPerDataCentre int
	Machine              MachineOptions
	// Grant, Margin, StoreSilence and Heartbeat are the settings of the entries and agents.
	Grant        time.Duration
	Margin       time.Duration
	StoreSilence time.Duration
	Heartbeat    time.Duration
	Log          *slog.Logger
	// PeerDelay and PeerJitter delay each direction of the connections between entries.
	PeerDelay  time.Duration
	PeerJitter time.Duration
	// StoreDelay delays each call to the key-value service.
	StoreDelay time.Duration
}

// Cluster is a system that runs in this process.
type Cluster struct {
	options  Options
	system   string
	document *document.Document
	store    *kv.Server
	storeURL string
	ctx      context.Context
	cancel   context.CancelFunc
	// done holds the channels that are closed as the goroutines end that Stop waits for.
	done     []<-chan struct{}
	entries  []*EntryNode
	machines []*Machine
}

// EntryNode is an entry of a Cluster.
type EntryNode struct {
	ID         string
	DataCentre string
	Callers    string
	Operators  string
	Peers      string
	stop       context.CancelFunc
	done       chan struct{}
}

// Stop shuts the entry down gracefully and waits until it has ended.
func (n *EntryNode) Stop() {
	n.stop()
	<-n.done
}

// Start starts a Cluster and waits until the document is in force and every upstream is ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	d, err := document.Parse(o.Document)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	system := "local-" + strconv.FormatUint(rand.Uint64(), 36)
	c := &Cluster{options: o, system: system, document: d, store: kv.New(kv.Options{}), ctx: ctx, cancel: cancel}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	address, err := c.serve(c.store.Handler(), nil)
	if err != nil {
		return err
	}
	c.storeURL = "http://" + address
	c.store.SetFaults(kv.Faults{DelayMillis: c.options.StoreDelay.Milliseconds()})
	for i := range c.options.EntriesPerDataCentre {
		for _, dc := range c.document.DataCentres {
			if _, err := c.StartEntry(fmt.Sprintf("entry-%s-%d", dc.Name, i), dc.Name); err != nil {
				return err
			}
		}
	}
	if err := c.putDocument(); err != nil {
		return err
	}
	for i := range c.options.Runners {
		if _, err := c.startMachine(i); err != nil {
			return err
		}
	}
	return c.waitReady()
}

// serve serves h on a new loopback port until the cluster stops and returns its address.
func (c *Cluster) serve(h http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", err
	}
	c.serveListener(c.ctx, l, h, state)
	return l.Addr().String(), nil
}

// serveListener serves h on l until ctx ends.
func (c *Cluster) serveListener(ctx context.Context, l net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) {
	s := &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: drainTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	c.done = append(c.done, done)
}

// StartEntry starts an entry whose peers are the entries started before it.
func (c *Cluster) StartEntry(id, dataCentre string) (*EntryNode, error) {
	var l entry.Listeners
	for _, listener := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		var err error
		if *listener, err = net.Listen("tcp", loopbackAddress); err != nil {
			return nil, err
		}
	}
	s := &settings.Entry{
		ID: id, System: c.system, DataCentre: dataCentre, Environment: c.document.Environment,
		Callers: l.Callers.Addr().String(), Operators: l.Operators.Addr().String(), Listen: l.Peers.Addr().String(),
		Advertise: l.Peers.Addr().String(), Store: c.storeURL, LogLevel: "info",
		DrainTimeout: drainTimeout.String(), Grant: c.options.Grant.String(), Margin: c.options.Margin.String(),
		StoreSilence: c.options.StoreSilence.String(),
	}
	for _, n := range c.entries {
		s.Peers = append(s.Peers, n.Peers)
	}
	if c.options.PeerDelay > 0 {
		peerRelay, err := relay.New(s.Listen, relay.Mode{Delay: c.options.PeerDelay, Jitter: c.options.PeerJitter})
		if err != nil {
			return nil, err
		}
		s.PeerAddress = peerRelay.Address()
		context.AfterFunc(c.ctx, peerRelay.Close)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(c.ctx)
	n := &EntryNode{
		ID: id, DataCentre: dataCentre, Callers: "http://" + s.Callers, Operators: "http://" + s.Operators,
		Peers: s.Advertise, stop: stop, done: make(chan struct{}),
	}
	e := app.NewEntry(s, c.options.Log)
	go func() {
		defer close(n.done)
		_ = e.Run(ctx, l)
	}()
	c.entries = append(c.entries, n)
	c.done = append(c.done, n.done)
	return n, nil
}

// putDocument applies the document, retrying until an entry is able to store it.
func (c *Cluster) putDocument() error {
	operator := client.New(client.Options{Address: c.entries[0].Operators})
	return poll(c.ctx, func(ctx context.Context) error {
		_, err := operator.Apply(ctx, c.document.Environment, 0, c.options.Document)
		return err
	})
}

// waitReady waits until, as every entry sees it, the document is in force in each data centre,
// all agents are known and their upstreams are ready.
func (c *Cluster) waitReady() error {
	return poll(c.ctx, func(ctx context.Context) error {
		for _, n := range c.entries {
			operator := client.New(client.Options{Address: n.Operators})
			status, err := operator.Status(ctx, c.document.Environment)
			if err != nil {
				return err
			}
			agents := 0
			for _, dc := range status.DataCentres {
				agents += dc.Agents
				if !dc.InForce {
					return errors.New("local: configuration is not in force in " + dc.Name)
				}
			}
			if agents != c.options.Runners {
				return fmt.Errorf("local: %d of %d agents are known to the entry", agents, c.options.Runners)
			}
			upstreams, err := operator.Upstreams(ctx)
			if err != nil {
				return err
			}
			for _, u := range upstreams {
				if !u.Ready {
					return errors.New("local: upstream of " + u.Agent + " is not ready")
				}
			}
		}
		return nil
	})
}

// poll calls f until it succeeds. It returns the last error of f if ctx ends or readyTimeout passes
// first.
func poll(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			return err
		}
	}
}

// Entries returns all entries that were started, including those that have stopped.
func (c *Cluster) Entries() []*EntryNode { return c.entries }

func (c *Cluster) Machines() []*Machine { return c.machines }

// Store returns the stand-in of the key-value service.
func (c *Cluster) Store() *kv.Server { return c.store }

// Document returns the document that Start applied.
func (c *Cluster) Document() *document.Document { return c.document }

// Stop stops the cluster: agents and entries first, while the stand-ins still run, so that they can
// release what they hold.
func (c *Cluster) Stop() {
	for _, m := range c.machines {
		m.StopAgent()
	}
	for _, n := range c.entries {
		n.stop()
	}
	for _, n := range c.entries {
		<-n.done
	}
	c.cancel()
	for _, done := range c.done {
		<-done
	}
}
