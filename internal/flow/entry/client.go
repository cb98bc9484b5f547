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
	// heartbeatInterval and heartbeatTimeout bound the time to detect a silent owner.
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 650 * time.Millisecond
)

// Errors of an attempt to make a call.
var (
	// errLinkEnded is returned if the link ended before the call was answered.
	errLinkEnded = errors.New("entry: link to the owner ended")
	// errNotSent is returned if the attempt certainly has no effect.
	errNotSent = errors.New("entry: no owner or store has received the call")
)

// client sends calls over a link to a remote owner.
type client struct {
	link         *link.Link
	mu           sync.Mutex
	lastID       uint64
	waiting      map[uint64]chan *flowpb.Reply
	lastReceived time.Time
}

func newClient(l *link.Link) *client {
	return &client{link: l, waiting: map[uint64]chan *flowpb.Reply{}, lastReceived: time.Now()}
}

// run receives replies and sends heartbeats until the link ends, the owner stops sending or ctx
// ends.
func (c *client) run(ctx context.Context, heartbeat func() *flowpb.Beat) {
	heartbeatsDone := loop.Go(ctx, func(ctx context.Context) { c.sendHeartbeats(ctx, heartbeat) })
	stop := context.AfterFunc(ctx, c.link.Close)
	for {
		f, err := c.link.Receive()
		if err != nil {
			break
		}
		c.mu.Lock()
		c.lastReceived = time.Now()
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
	<-heartbeatsDone
}

func (c *client) sendHeartbeats(ctx context.Context, heartbeat func() *flowpb.Beat) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.mu.Lock()
			silent := time.Since(c.lastReceived) > heartbeatTimeout
			c.mu.Unlock()
			if silent {
				c.link.Close()
				return
			}
			c.link.Send(link.Beat(heartbeat()))
		case <-c.link.Ended():
			return
		case <-ctx.Done():
			return
		}
	}
}

// call sends a call and waits for its reply. It returns errNotSent if the link has already ended.
func (c *client) call(ctx context.Context, call *flowpb.Call) (*flowpb.Reply, error) {
	select {
	case <-c.link.Ended():
		return nil, errNotSent
	default:
	}
	answer := make(chan *flowpb.Reply, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.waiting[id] = answer
	c.mu.Unlock()
	sent := &flowpb.Call{Id: id, Submit: call.GetSubmit(), Read: call.GetRead(), Cancel: call.GetCancel(), Count: call.GetCount()}
	c.link.Send(link.Call(sent))
	select {
	case r := <-answer:
		return r, nil
	case <-c.link.Ended():
		return nil, errLinkEnded
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
		return nil, ctx.Err()
	}
}
