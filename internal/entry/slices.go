package entry

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	// keepers is about how many agents of a data centre keep the whole document.
	keepers = 8
	// keeperBytesPerSecond and keeperBurstBytes bound what one entry spends on keeping the
	// document of one agent up to date.
	keeperBytesPerSecond = 256
	keeperBurstBytes     = 16 << 10
	// documentMaxBytes bounds what is unpacked of a document from an agent.
	documentMaxBytes = 2 << 20
)

// hasKinds reports whether the agent has been sent the kinds of all services that it reports.
// An upstream may start after its agent has got its slice.
func (a *agentSession) hasKinds(r *peerpb.Report) bool {
	for _, u := range r.GetUpstreams() {
		if !a.sliced[u.GetService()] {
			return false
		}
	}
	return true
}

func (a *agentSession) noteKinds(r *peerpb.Report) {
	a.sliced = make(map[string]bool, len(r.GetUpstreams()))
	for _, u := range r.GetUpstreams() {
		a.sliced[u.GetService()] = true
	}
}

// slice cuts what an agent needs out of the document.
func slice(r *peerpb.Report, current *config.Snapshot) *peerpb.Slice {
	d := current.Document()
	s := &peerpb.Slice{Revision: current.Revision(), Environment: d.Environment, Guards: d.Guards.Enabled}
	for _, u := range r.GetUpstreams() {
		s.Kinds = append(s.Kinds, kindSlices(d.Service(u.GetService()))...)
	}
	return s
}

func kindSlices(s *document.Service) (kinds []*peerpb.KindSlice) {
	if s == nil {
		return nil
	}
	for _, k := range s.Kinds {
		kinds = append(kinds, &peerpb.KindSlice{
			Service: s.Name, Kind: k.Name, Urgency: int32(k.Urgency.Rank()), TargetMicros: k.Target.D().Microseconds(),
		})
	}
	return kinds
}

func pack(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

func unpack(packed []byte) (raw []byte, err error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, documentMaxBytes))
}

// learnDocument puts a document in force that an agent or a peer knows and this entry
// does not.
func (e *Entry) learnDocument(s *peerpb.Slice) {
	if len(s.GetDocument()) == 0 || s.GetEnvironment() != e.options.Holder.Environment() ||
		s.GetRevision() <= e.options.Holder.Current().Revision() {
		return
	}
	raw, err := unpack(s.GetDocument())
	if err != nil {
		e.log.Warn("document from a peer is damaged", "error", err.Error())
		return
	}
	changed, err := e.options.Holder.Apply(s.GetRevision(), raw)
	if err != nil {
		e.log.Warn("document from a peer is not valid", "error", err.Error())
		return
	}
	if changed {
		e.options.Metrics.Revision.Set(float64(s.GetRevision()))
		e.log.Info("configuration in force", "revision", s.GetRevision(), "source", "peer")
	}
}

// keeps reports whether an agent is one of the few that keep the whole document, so that a
// new entry can learn it from them while the key-value service is down; it runs on the loop.
func (e *Entry) keeps(a *agentSession) bool {
	agents := len(e.control.agents)
	return agents <= keepers || xxhash.Sum64String(a.hello.GetId())%uint64(agents) < keepers
}

// addDocument adds the document to an update, or leaves it to a later one if the agent was
// sent much of late.
func (e *Entry) addDocument(a *agentSession, r *peerpb.Report, current *config.Snapshot, update *peerpb.Update) {
	packed := e.packed(current)
	if !a.documents.AllowN(time.Now(), min(len(packed), keeperBurstBytes)) {
		return
	}
	if update.Slice == nil {
		update.Slice = slice(r, current)
	}
	update.Slice.Document = packed
}

// packed returns the document in the form that travels between processes.
func (e *Entry) packed(current *config.Snapshot) []byte {
	p := e.packedDocument.Load()
	if p == nil || p.revision != current.Revision() {
		p = &packedDocument{revision: current.Revision(), data: pack(current.Raw())}
		e.packedDocument.Store(p)
	}
	return p.data
}

// packedDocument is a document as it travels between processes.
type packedDocument struct {
	revision uint64
	data     []byte
}
