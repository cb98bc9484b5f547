package config

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Snapshot is a document in force.
type Snapshot struct {
	revision uint64
	raw      []byte
	document *document.Document
}

// Revision returns the revision at which the document was accepted, 0 for none.
func (c *Snapshot) Revision() uint64 {
	if c == nil {
		return 0
	}
	return c.revision
}

// Raw returns the record as it is kept, which callers must not change.
func (c *Snapshot) Raw() []byte {
	if c == nil {
		return nil
	}
	return c.raw
}

// Document returns the document, or nil if there is none; callers must not change it.
func (c *Snapshot) Document() *document.Document {
	if c == nil {
		return nil
	}
	return c.document
}

// Record is a document as it is kept in the key-value service.
type Record struct {
	// ChangeID tells a lost answer from a lost write.
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

// Current returns what is in force, or nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Document returns the document in force, or nil.
func (h *Holder) Document() *document.Document { return h.current.Load().Document() }

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply puts a record in force if its revision is higher than the one in force, and
// reports whether it did. Revisions never go back.
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
func (c *Snapshot) DocumentRaw() (raw []byte, err error) {
	defer errs.Annotate(&err, "config: read the record in force")
	var record Record
	if err = json.Unmarshal(c.Raw(), &record); err != nil {
		return nil, err
	}
	return record.Document, nil
}
