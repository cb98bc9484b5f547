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
	// documentReplicas is the approximate number of agents of a data centre that store the
	// whole document.
	documentReplicas = 8
	// replicaBytesPerSecond and replicaBurstBytes limit the document bytes that one entry
	// sends to one agent.
	replicaBytesPerSecond = 256
	replicaBurstBytes     = 16 << 10
	// documentMaxBytes limits the decompressed size of a document from an agent or a peer.
	documentMaxBytes = 2 << 20
)

// hasAllKinds reports whether the agent has been sent the kinds of all services that it reports.
// An upstream may start after its agent received its slice.
func (a *agentSession) hasAllKinds(r *peerpb.Report) bool {
	for _, u := range r.GetUpstreams() {
		if !a.sentServices[u.GetService()] {
			return false
		}
	}
	return true
}

// recordSentKinds records that the agent was sent the kinds of the services in r.
func (a *agentSession) recordSentKinds(r *peerpb.Report) {
	a.sentServices = make(map[string]bool, len(r.GetUpstreams()))
	for _, u := range r.GetUpstreams() {
		a.sentServices[u.GetService()] = true
	}
}

// buildSlice returns the part of the document that the agent of a report needs.
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

func decompress(data []byte) (raw []byte, err error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, documentMaxBytes))
}

// applyDocument puts the document of an agent or a peer in force if it is newer than the one
// in force here.
func (e *Entry) applyDocument(s *peerpb.Slice) {
	if len(s.GetDocument()) == 0 || s.GetEnvironment() != e.options.Holder.Environment() ||
		s.GetRevision() <= e.options.Holder.Current().Revision() {
		return
	}
	raw, err := decompress(s.GetDocument())
	if err != nil {
		e.log.Warn("cannot decompress document from peer", "error", err.Error())
		return
	}
	changed, err := e.options.Holder.Apply(s.GetRevision(), raw)
	if err != nil {
		e.log.Warn("invalid document from peer", "error", err.Error())
		return
	}
	if changed {
		e.options.Metrics.Revision.Set(float64(s.GetRevision()))
		e.log.Info("configuration in force", "revision", s.GetRevision(), "source", "peer")
	}
}

// isDocumentReplica reports whether an agent is one of the few that store the whole document.
// A new entry gets the document from them while the key-value service is down. It runs on the
// loop.
func (e *Entry) isDocumentReplica(a *agentSession) bool {
	agents := len(e.loopState.agents)
	return agents <= documentReplicas || xxhash.Sum64String(a.hello.GetId())%uint64(agents) < documentReplicas
}

// attachDocument adds the document to an update, or leaves it to a later update if the agent's
// byte rate is exceeded.
func (e *Entry) attachDocument(a *agentSession, r *peerpb.Report, current *config.Snapshot, update *peerpb.Update) {
	data := e.compressed(current)
	if !a.documentLimiter.AllowN(time.Now(), min(len(data), replicaBurstBytes)) {
		return
	}
	if update.Slice == nil {
		update.Slice = buildSlice(r, current)
	}
	update.Slice.Document = data
}

// compressed returns the document as it is sent to agents and peers. It caches the latest
// revision.
func (e *Entry) compressed(current *config.Snapshot) []byte {
	c := e.compressedDocument.Load()
	if c == nil || c.revision != current.Revision() {
		c = &compressedDocument{revision: current.Revision(), data: compress(current.Raw())}
		e.compressedDocument.Store(c)
	}
	return c.data
}

// compressedDocument is a revision of the document as it is sent to agents and peers.
type compressedDocument struct {
	revision uint64
	data     []byte
}
