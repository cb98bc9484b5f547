package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// The registry of live entries in the key-value service.
const (
	registrationTTL      = 4 * time.Second
	registrationInterval = time.Second
	registryPrefix       = "entries/"
	storeTimeout         = 2 * time.Second
)

// registration is the record that an entry writes about itself into the key-value service.
type registration struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data-centre"`
	Address     string `json:"address"`
	PeerAddress string `json:"peers"`
	Instance    string `json:"instance"`
}

// goRegister renews this entry's registration and reads those of the others at an interval
// until ctx ends, and then deletes its own.
func (e *Entry) goRegister(ctx context.Context) <-chan struct{} {
	return loop.Go(ctx, func(ctx context.Context) {
		var lease driver.Lease
		for ctx.Err() == nil {
			var err error
			lease, err = e.register(ctx, lease)
			if err == nil {
				err = e.readRegistry(ctx)
			}
			e.registered.Store(err == nil)
			if err != nil && ctx.Err() == nil {
				e.options.Metrics.StoreErrors.WithLabelValues("register").Inc()
				e.log.Warn("registration failed", "error", err.Error())
			}
			loop.Pause(ctx, registrationInterval)
		}
		e.deregister(context.WithoutCancel(ctx))
	})
}

// register writes the registration, or renews its lease if that is still known to the store,
// and returns the lease.
func (e *Entry) register(ctx context.Context, lease driver.Lease) (next driver.Lease, err error) {
	defer errs.Annotate(&err, "entry: register")
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != "" {
		err = e.options.Store.Renew(ctx, lease)
		if err == nil || !errors.Is(err, driver.ErrNotFound) {
			return lease, err
		}
	}
	lease, err = e.options.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return "", err
	}
	value, err := json.Marshal(registration{ID: e.options.ID, DataCentre: e.options.DataCentre, Address: e.options.Advertise, PeerAddress: e.peerAddress(), Instance: e.instance})
	if err != nil {
		return "", err
	}
	item, err := e.options.Store.Get(ctx, registryPrefix+e.options.ID)
	if err != nil && !errors.Is(err, driver.ErrNotFound) {
		return "", err
	}
	_, err = e.options.Store.CompareAndSwap(ctx, registryPrefix+e.options.ID, item.Revision(), value, lease)
	if err != nil {
		return "", err
	}
	return lease, nil
}

// deregister deletes the registration unless another instance of this entry has replaced it.
func (e *Entry) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := e.options.Store.Get(ctx, registryPrefix+e.options.ID)
	var r registration
	if err != nil || json.Unmarshal(item.Value(), &r) != nil || r.Instance != e.instance {
		return
	}
	_ = e.options.Store.Delete(ctx, item.Key(), item.Revision())
}

// readRegistry replaces the live entries by those that are registered. An entry that is no
// longer registered is kept while the session to it is alive.
func (e *Entry) readRegistry(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "entry: read registry")
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	items, _, err := e.options.Store.List(ctx, registryPrefix)
	if err != nil {
		return err
	}
	live := map[string]*peerpb.EntryAddress{e.options.ID: e.address()}
	instances := map[string]string{e.options.ID: e.instance}
	for _, item := range items {
		r, ok := decodeRegistration(item)
		if !ok || r.ID == e.options.ID {
			continue
		}
		live[r.ID] = &peerpb.EntryAddress{Id: r.ID, DataCentre: r.DataCentre, Address: r.Address, PeerAddress: r.PeerAddress}
		instances[r.ID] = r.Instance
	}
	if err = e.loop.Do(func() { e.replaceLiveEntries(live, instances) }); err != nil {
		return err
	}
	e.registryReadAt.Store(&start)
	return nil
}

// decodeRegistration decodes a registration. One that is not under the key of its entry, or has a port
// that there can't be, names no entry: it would take the place of another one.
func decodeRegistration(item driver.Item) (r registration, ok bool) {
	if json.Unmarshal(item.Value(), &r) != nil || r.ID == "" || item.Key() != registryPrefix+r.ID {
		return r, false
	}
	_, port, err := net.SplitHostPort(r.PeerAddress)
	if err != nil {
		return r, true
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return r, err == nil && number > 0
}

// replaceLiveEntries sets the live entries, keeping those with a live session; it runs on the
// loop.
func (e *Entry) replaceLiveEntries(live map[string]*peerpb.EntryAddress, instances map[string]string) {
	for id, a := range e.loopState.liveEntries {
		if p := e.loopState.peers[id]; live[id] == nil && p != nil && !p.state.GetDraining() && time.Since(p.lastStateAt) < sessionTimeout {
			live[id] = a
		}
	}
	changed := len(live) != len(e.loopState.liveEntries)
	for id, a := range live {
		if old := e.loopState.liveEntries[id]; old == nil || old.GetAddress() != a.GetAddress() || old.GetPeerAddress() != a.GetPeerAddress() {
			changed = true
		}
	}
	e.loopState.liveEntries, e.loopState.instances = live, instances
	if changed {
		e.loopState.liveEntriesVersion++
	}
}
