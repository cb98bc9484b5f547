package driver

import (
	"context"
	"time"
)

// EvacuationChange is the request to evacuate a data centre, or its withdrawal.
type EvacuationChange struct {
	DataCentre string
	Evacuated  bool
}

// Evacuations tells of the data centres that operators have asked to evacuate; implementations are safe for concurrent
// use.
type Evacuations interface {
	// List returns the evacuated data centres and the revision after which Changes completes the list.
	List(ctx context.Context) (dataCentres []string, revision uint64, err error)
	// Changes waits up to wait for changes after a revision. It returns them, oldest first, with the revision to
	// continue from, or ErrCompacted.
	Changes(ctx context.Context, after uint64, wait time.Duration) (changes []EvacuationChange, revision uint64, err error)
}
