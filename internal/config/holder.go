package config

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Snapshot is an accepted document together with its revision; it is immutable.
type Snapshot struct {
	revision uint64
	raw      []byte
	document *document.Document
}

// Revision returns the revision at which the document was accepted, or 0 if s is nil.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Raw returns the encoded Record, which callers must not change.
func (s *Snapshot) Raw() []byte {
	if s == nil {
		return nil
	}
	return s.raw
}

// Document returns the document, or nil if s is nil; callers must not change it.
func (s *Snapshot) Document() *document.Document {
	if s == nil {
		return nil
	}
	return s.document
}

// Record is a document as stored in the key-value service.
type Record struct {
	// ChangeID identifies the write. After a lost response it shows whether the write took
	// effect.
	ChangeID string          `json:"change-id"`
	Document json.RawMessage `json:"document"`
}

// Holder holds the document in force of one environment; it is safe for concurrent use.
type Holder struct {
	environment string
	mu          sync.Mutex
	current     atomic.Pointer[Snapshot]
	changed     chan struct{}
}

// NewHolder returns a Holder without a document.
func NewHolder(environment string) *Holder {
	return &Holder{environment: environment, changed: make(chan struct{})}
}

// Environment returns the name of the environment.
func (h *Holder) Environment() string { return h.environment }

// Current returns the snapshot in force, or nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Document returns the document in force, or nil.
func (h *Holder) Document() *document.Document { return h.current.Load().Document() }

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply puts a record in force if its revision is higher than the one in force, and reports
// whether it did. The revision in force never decreases.
func (h *Holder) Apply(revision uint64, raw []byte) (changed bool, err error) {
	defer errs.Annotate(&err, "config: revision %d", revision)
	if revision <= h.Current().Revision() {
		return false, nil
	}
	var record Record
	if err = json.Unmarshal(raw, &record); err != nil {
		return false, err
	}
	d, err := document.Parse(record.Document)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.Current().Revision() {
		return false, nil
	}
	h.current.Store(&Snapshot{revision: revision, raw: raw, document: d})
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

// DocumentRaw returns the document as the operator wrote it.
func (s *Snapshot) DocumentRaw() (raw []byte, err error) {
	defer errs.Annotate(&err, "config: read the record in force")
	var record Record
	if err = json.Unmarshal(s.Raw(), &record); err != nil {
		return nil, err
	}
	return record.Document, nil
}
