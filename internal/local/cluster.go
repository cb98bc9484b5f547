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
	loopback      = "127.0.0.1:0"
	readyTimeout  = 20 * time.Second
	readyPoll     = 20 * time.Millisecond
	defaultDrain  = 5 * time.Second
	workersOfRack = 3
)

// Options configures a Cluster.
type Options struct {
	// Document is put in force at the start.
	Document []byte
	// Runners is the number of machines, spread over the document's data centres; each
	// has an agent, a worker and an upstream of the document's first service.
	Runners     int
	Slots       int
	Connections int
	Capacity    driver.Resources
	// EntriesPerDataCentre is at least 1.
	EntriesPerDataCentre int
	Machine              MachineOptions
	Grant                time.Duration
	Margin               time.Duration
	StoreSilence         time.Duration
	Heartbeat            time.Duration
	Log                  *slog.Logger
	// PeerDelay and PeerJitter delay each way between entries.
	PeerDelay  time.Duration
	PeerJitter time.Duration
	// StoreDelay delays each call to the key-value service.
	StoreDelay time.Duration
}

// Cluster is a running system.
type Cluster struct {
	options  Options
	system   string
	document *document.Document
	store    *kv.Server
	storeURL string
	ctx      context.Context
	cancel   context.CancelFunc
	ends     []<-chan struct{}
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

// Stop ends the entry gracefully and waits for its end.
func (n *EntryNode) Stop() {
	n.stop()
	<-n.done
}

// Start starts a Cluster and waits until it serves.
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

// serve serves a stand-in on a loopback port until the cluster stops.
func (c *Cluster) serve(h http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	c.serveOn(c.ctx, l, h, state)
	return l.Addr().String(), nil
}

func (c *Cluster) serveOn(ctx context.Context, l net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) {
	s := &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: defaultDrain}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	c.ends = append(c.ends, done)
}

// StartEntry starts one more entry.
func (c *Cluster) StartEntry(id, dataCentre string) (*EntryNode, error) {
	var l entry.Listeners
	for _, each := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		var err error
		if *each, err = net.Listen("tcp", loopback); err != nil {
			return nil, err
		}
	}
	s := &settings.Entry{
		ID: id, System: c.system, DataCentre: dataCentre, Environment: c.document.Environment,
		Callers: l.Callers.Addr().String(), Operators: l.Operators.Addr().String(), Listen: l.Peers.Addr().String(),
		Advertise: l.Peers.Addr().String(), Store: c.storeURL, LogLevel: "info",
		DrainTimeout: defaultDrain.String(), Grant: c.options.Grant.String(), Margin: c.options.Margin.String(),
		StoreSilence: c.options.StoreSilence.String(),
	}
	for _, n := range c.entries {
		s.Peers = append(s.Peers, n.Peers)
	}
	if c.options.PeerDelay > 0 {
		link, err := relay.New(s.Listen, relay.Mode{Delay: c.options.PeerDelay, Jitter: c.options.PeerJitter})
		if err != nil {
			return nil, err
		}
		s.PeerAddress = link.Address()
		context.AfterFunc(c.ctx, link.Close)
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
	c.ends = append(c.ends, n.done)
	return n, nil
}

func (c *Cluster) putDocument() error {
	operator := client.New(client.Options{Address: c.entries[0].Operators})
	return poll(c.ctx, func(ctx context.Context) error {
		_, err := operator.Apply(ctx, c.document.Environment, 0, c.options.Document)
		return err
	})
}

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
				return fmt.Errorf("local: %d of %d agents", agents, c.options.Runners)
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

// poll calls f until it succeeds or readyTimeout has passed.
func poll(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		t := time.NewTimer(readyPoll)
		select {
		case <-t.C:
		case <-ctx.Done():
			return err
		}
	}
}

// Entries returns the entries.
func (c *Cluster) Entries() []*EntryNode { return c.entries }

// Machines returns the machines.
func (c *Cluster) Machines() []*Machine { return c.machines }

// Store returns the stand-in of the key-value service.
func (c *Cluster) Store() *kv.Server { return c.store }

// Document returns the document that was put in force at the start.
func (c *Cluster) Document() *document.Document { return c.document }

// Stop ends everything: agents and entries first, so that they can release what they hold.
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
	for _, end := range c.ends {
		<-end
	}
}
