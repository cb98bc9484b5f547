package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Attempts to find out whether a write took effect, and the delay between them.
const (
	maxReadBacks  = 5
	readBackDelay = 100 * time.Millisecond
)

// Attempts to change the newest revision while others change it as well, and the mean delay between them.
const (
	maxEvacuationTries = 5
	conflictDelay      = 50 * time.Millisecond
)

// ConflictError is returned if the document has changed since the operator read it.
type ConflictError struct {
	// Revision is the current revision, or 0 if there is no document.
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: the current revision is %d", e.Revision)
}

// IndeterminateError is returned if it is unknown whether a write took effect.
type IndeterminateError struct{ Reason string }

// Error implements error.
func (e *IndeterminateError) Error() string {
	return "config: not known whether it was accepted: " + e.Reason
}

// Editor reads and writes the documents of all environments.
type Editor struct {
	Store driver.Store
}

// Get returns an environment's document and its revision, or driver.ErrNotFound.
func (e *Editor) Get(ctx context.Context, environment string) (raw json.RawMessage, revision uint64, err error) {
	defer errs.Annotate(&err, "config: get %s", environment)
	item, err := e.Store.Get(ctx, Key(environment))
	if err != nil {
		return nil, 0, err
	}
	var record Record
	if err = json.Unmarshal(item.Value(), &record); err != nil {
		return nil, 0, err
	}
	return record.Document, item.Revision(), nil
}

// Put accepts a document if the current revision is still the one that the operator read, and
// returns the new revision and the record. The error is document.Faults, *ConflictError,
// *IndeterminateError, or an error of the store, which proves that nothing was changed.
func (e *Editor) Put(ctx context.Context, environment string, revision uint64, raw []byte) (next uint64, record []byte, err error) {
	d, err := document.Parse(raw)
	if err != nil {
		return 0, nil, err
	}
	if d.Environment != environment {
		return 0, nil, document.Faults{{Path: "$.environment", Message: fmt.Sprintf("%q is not the environment %q that it is put to", d.Environment, environment)}}
	}
	changeID := strconv.FormatUint(rand.Uint64(), 36)
	record, err = json.Marshal(Record{ChangeID: changeID, Document: raw})
	if err != nil {
		return 0, nil, err
	}
	if len(record) > driver.StoreMaxValueBytes {
		return 0, nil, document.Faults{{Path: "$", Message: fmt.Sprintf("%d bytes as kept, at most %d are allowed", len(record), driver.StoreMaxValueBytes)}}
	}
	if err = e.checkChange(ctx, environment, revision, d); err != nil {
		return 0, nil, err
	}
	next, err = e.Store.CompareAndSwap(ctx, Key(environment), revision, record, "")
	switch {
	case err == nil:
		return next, record, nil
	case errors.Is(err, driver.ErrConflict):
		return 0, nil, e.conflict(ctx, environment)
	case errors.Is(err, driver.ErrIndeterminate):
		next, err = e.readBack(ctx, environment, revision, changeID)
		return next, record, err
	}
	return 0, nil, err
}

// checkChange checks that the next document is an allowed successor of the one in force.
func (e *Editor) checkChange(ctx context.Context, environment string, revision uint64, next *document.Document) error {
	if revision == driver.RevisionAbsent {
		return nil
	}
	raw, current, err := e.Get(ctx, environment)
	switch {
	case errors.Is(err, driver.ErrNotFound):
		return &ConflictError{}
	case err != nil:
		return err
	case current != revision:
		return &ConflictError{Revision: current}
	}
	before, err := document.Parse(raw)
	if err != nil {
		// A document that only an older release accepts must not block a valid successor.
		return nil
	}
	return before.CheckChange(next)
}

// conflict returns a ConflictError with the current revision.
func (e *Editor) conflict(ctx context.Context, environment string) error {
	_, revision, err := e.Get(ctx, environment)
	if err != nil && !errors.Is(err, driver.ErrNotFound) {
		return err
	}
	return &ConflictError{Revision: revision}
}

// readBack finds out whether a write whose response was lost has taken effect.
func (e *Editor) readBack(ctx context.Context, environment string, before uint64, changeID string) (uint64, error) {
	reason := "the key-value service does not answer"
	for range maxReadBacks {
		item, err := e.Store.Get(ctx, Key(environment))
		var record Record
		switch {
		case err == nil && json.Unmarshal(item.Value(), &record) == nil && record.ChangeID == changeID:
			return item.Revision(), nil
		case err == nil && item.Revision() != before:
			return 0, &IndeterminateError{Reason: fmt.Sprintf("revision %d is another change", item.Revision())}
		case err == nil, errors.Is(err, driver.ErrNotFound):
			// The write may still be in flight.
			reason = "the write may still take effect"
		}
		loop.Pause(ctx, readBackDelay)
	}
	return 0, &IndeterminateError{Reason: reason}
}

// SetEvacuated sets the field evacuated of a data centre in the newest document of an environment, and
// returns the new revision and the record. It changes nothing if the field has that value already; the
// revision is the current one then and the record nil. After a conflict it tries again on the newest
// revision, a few times. The errors are those of Put, driver.ErrNotFound and document.ErrNoDataCentre.
func (e *Editor) SetEvacuated(ctx context.Context, environment, dataCentre string, evacuated bool) (before, next uint64, record []byte, err error) {
	for range maxEvacuationTries {
		var raw, changed []byte
		if raw, before, err = e.Get(ctx, environment); err != nil {
			return 0, 0, nil, err
		}
		if changed, err = document.SetEvacuated(raw, dataCentre, evacuated); err != nil {
			return before, 0, nil, err
		}
		if bytes.Equal(changed, raw) {
			return before, before, nil, nil
		}
		next, record, err = e.Put(ctx, environment, before, changed)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		loop.Pause(ctx, conflictDelay/2+rand.N(conflictDelay))
	}
	return before, next, record, err
}

// Promote copies the document of one environment to another. Which data centres are evacuated stays as
// it is in the target.
func (e *Editor) Promote(ctx context.Context, from, to string, revision uint64) (next uint64, record []byte, err error) {
	raw, _, err := e.Get(ctx, from)
	if err != nil {
		return 0, nil, err
	}
	var fields map[string]json.RawMessage
	if err = json.Unmarshal(raw, &fields); err != nil {
		return 0, nil, err
	}
	if fields["environment"], err = json.Marshal(to); err != nil {
		return 0, nil, err
	}
	raw, err = json.Marshal(fields)
	if err != nil {
		return 0, nil, err
	}
	if raw, err = e.keepEvacuated(ctx, to, revision, raw); err != nil {
		return 0, nil, err
	}
	return e.Put(ctx, to, revision, raw)
}

// keepEvacuated sets the field evacuated of each data centre in a document to its value in the given
// revision of the document of the target, which may not exist yet.
func (e *Editor) keepEvacuated(ctx context.Context, target string, revision uint64, raw []byte) ([]byte, error) {
	var before, next document.Document
	current, found, err := e.Get(ctx, target)
	switch {
	case errors.Is(err, driver.ErrNotFound):
	case err != nil:
		return nil, err
	case found != revision:
		return nil, &ConflictError{Revision: found}
	default:
		// The rest of a document that only an older release accepts does not matter here.
		_ = document.Strict(current, &before)
	}
	_ = document.Strict(raw, &next)
	for _, dc := range next.DataCentres {
		changed, err := document.SetEvacuated(raw, dc.Name, before.Evacuated(dc.Name))
		if err != nil {
			return nil, err
		}
		raw = changed
	}
	return raw, nil
}
