package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/loop"
)

const (
	// beatInterval and beatSilence bound how late a silent owner is noticed.
	beatInterval = 200 * time.Millisecond
	beatSilence  = 650 * time.Millisecond
)

// errCut tells that the link ended before the call was answered.
var errCut = errors.New("entry: the owner's link ended")

// client carries calls over a link to a remote owner.
type client struct {
	link    *link.Link
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *flowpb.Reply
	heard   time.Time
}

func newClient(l *link.Link) *client {
	return &client{link: l, waiting: map[uint64]chan *flowpb.Reply{}, heard: time.Now()}
}

// run keeps the link alive until it ends, is silent or ctx ends.
func (c *client) run(ctx context.Context, beat func() *flowpb.Beat) {
	beats := loop.Go(ctx, func(ctx context.Context) { c.beat(ctx, beat) })
	stop := context.AfterFunc(ctx, c.link.Close)
	for {
		f, err := c.link.Receive()
		if err != nil {
			break
		}
		c.mu.Lock()
		c.heard = time.Now()
		if r := f.GetReply(); r != nil {
			if answer := c.waiting[r.GetId()]; answer != nil {
				delete(c.waiting, r.GetId())
				answer <- r
			}
		}
		c.mu.Unlock()
	}
	c.link.Close()
	stop()
	<-beats
}

func (c *client) beat(ctx context.Context, beat func() *flowpb.Beat) {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.mu.Lock()
			silent := time.Since(c.heard) > beatSilence
			c.mu.Unlock()
			if silent {
				c.link.Close()
				return
			}
			c.link.Send(link.Beat(beat()))
		case <-c.link.Ended():
			return
		case <-ctx.Done():
			return
		}
	}
}

// call passes a call on and waits for its reply.
func (c *client) call(ctx context.Context, call *flowpb.Call) (*flowpb.Reply, error) {
	answer := make(chan *flowpb.Reply, 1)
	c.mu.Lock()
	c.last++
	id := c.last
	c.waiting[id] = answer
	c.mu.Unlock()
	sent := &flowpb.Call{Id: id, Submit: call.GetSubmit(), Read: call.GetRead(), Cancel: call.GetCancel(), Count: call.GetCount()}
	c.link.Send(link.Call(sent))
	select {
	case r := <-answer:
		return r, nil
	case <-c.link.Ended():
		return nil, errCut
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
		return nil, ctx.Err()
	}
}
