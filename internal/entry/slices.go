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
	// documentReplicas is about how many agents of a data centre keep the whole document.
	documentReplicas = 8
	// replicaBytesPerSecond and keeperBurstBytes bound what one entry spends on keeping the
	// document of one agent up to date.
	replicaBytesPerSecond = 256
	replicaBurstBytes     = 16 << 10
	// documentMaxBytes bounds what is unpacked of a document from an agent.
	documentMaxBytes = 2 << 20
)

// hasAllKinds reports whether the agent has been sent the kinds of all services that it reports.
// An upstream may start after its agent has got its slice.
func (a *agentSession) hasAllKinds(r *peerpb.Report) bool {
	for _, u := range r.GetUpstreams() {
		if !a.sentServices[u.GetService()] {
			return false
		}
	}
	return true
}

func (a *agentSession) recordSentKinds(r *peerpb.Report) {
	a.sentServices = make(map[string]bool, len(r.GetUpstreams()))
	for _, u := range r.GetUpstreams() {
		a.sentServices[u.GetService()] = true
	}
}

// buildSlice cuts what an agent needs out of the document.
func buildSlice(r *peerpb.Report, current *config.Snapshot) *peerpb.Slice {
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

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

func decompress(packed []byte) (raw []byte, err error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, documentMaxBytes))
}

// applyDocument puts a document in force that an agent or a peer knows and this entry
// does not.
func (e *Entry) applyDocument(s *peerpb.Slice) {
	if len(s.GetDocument()) == 0 || s.GetEnvironment() != e.options.Holder.Environment() ||
		s.GetRevision() <= e.options.Holder.Current().Revision() {
		return
	}
	raw, err := decompress(s.GetDocument())
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

// isDocumentReplica reports whether an agent is one of the few that keep the whole document, so that a
// new entry can learn it from them while the key-value service is down; it runs on the loop.
func (e *Entry) isDocumentReplica(a *agentSession) bool {
	agents := len(e.loopState.agents)
	return agents <= documentReplicas || xxhash.Sum64String(a.hello.GetId())%uint64(agents) < documentReplicas
}

// attachDocument adds the document to an update, or leaves it to a later one if the agent was
// sent much of late.
func (e *Entry) attachDocument(a *agentSession, r *peerpb.Report, current *config.Snapshot, update *peerpb.Update) {
	packed := e.compressed(current)
	if !a.documentLimiter.AllowN(time.Now(), min(len(packed), replicaBurstBytes)) {
		return
	}
	if update.Slice == nil {
		update.Slice = buildSlice(r, current)
	}
	update.Slice.Document = packed
}

// compressed returns the document in the form that travels between processes.
func (e *Entry) compressed(current *config.Snapshot) []byte {
	p := e.compressedDocument.Load()
	if p == nil || p.revision != current.Revision() {
		p = &compressedDocument{revision: current.Revision(), data: compress(current.Raw())}
		e.compressedDocument.Store(p)
	}
	return p.data
}

// compressedDocument is a document as it travels between processes.
type compressedDocument struct {
	revision uint64
	data     []byte
}
