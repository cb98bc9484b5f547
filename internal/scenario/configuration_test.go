package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
)

// setCells sets the number of cells of each data centre in the document.
func (s *system) setCells(cells int) (err error) {
	s.options.cellsPerDataCentre = cells
	for i := range s.document.DataCentres {
		s.document.DataCentres[i].Cells = cells
	}
	s.documentJSON, err = json.Marshal(s.document)
	return err
}

// cmdApply changes the configuration:
//
//	apply ENTRY [revision=] [bytes=] [cells=]
//
// The change replaces the given revision, by default the current one. The document is padded to the
// given number of bytes.
func cmdApply(s *system, a arguments) (string, error) {
	operator := s.operatorClient(a.arg(0))
	revision := uint64(a.number("revision", 0))
	if revision == 0 {
		_, current, err := operator.Environment(context.Background(), s.document.Environment)
		if err != nil {
			return "", err
		}
		revision = current
	}
	before := s.options.cellsPerDataCentre
	if err := s.setCells(a.number("cells", before)); err != nil {
		return "", err
	}
	raw := append(bytes.Repeat([]byte{' '}, max(0, a.number("bytes", 0)-len(s.documentJSON))), s.documentJSON...)
	next, err := operator.Apply(context.Background(), s.document.Environment, revision, raw)
	if err != nil {
		return "", errors.Join(err, s.setCells(before))
	}
	s.acceptedRevision = int(next)
	return fmt.Sprintf("from %d to %d\n", revision, next), nil
}

// cmdRace lets several operators change the same revision concurrently, through all entries in turn.
// It checks that one change succeeds and that the others fail with the revision that it created:
//
//	race operators= rounds=
func cmdRace(s *system, a arguments) (string, error) {
	live := s.liveEntries()
	for range a.number("rounds", 1) {
		_, revision, err := s.operatorClient(live[0]).Environment(context.Background(), s.document.Environment)
		if err != nil {
			return "", err
		}
		errs := make([]error, a.number("operators", 2))
		revisions := make([]uint64, len(errs))
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				revisions[i], errs[i] = s.operatorClient(live[i%len(live)]).Apply(context.Background(), s.document.Environment, revision, s.documentJSON)
			})
		}
		wg.Wait()
		next := slices.Max(revisions)
		successes := 0
		for _, err := range errs {
			var problem *client.Error
			switch {
			case err == nil:
				successes++
			case !errors.As(err, &problem) || problem.Status != http.StatusPreconditionFailed || problem.Revision != next:
				return "", fmt.Errorf("revision %d was replaced by %d, and another operator got: %w", revision, next, err)
			}
		}
		if successes != 1 {
			return "", fmt.Errorf("%d operators replaced revision %d, want 1", successes, revision)
		}
		s.acceptedRevision = int(next)
	}
	return "", nil
}

// cmdPromote promotes the document of one environment to another:
//
//	promote ENTRY FROM TO
//
// If the target is the environment of the system, its current revision is read first. Any other
// target must not have a document yet.
func cmdPromote(s *system, a arguments) (string, error) {
	operator := s.operatorClient(a.arg(0))
	revision := uint64(0)
	if a.arg(2) == s.document.Environment {
		_, current, err := operator.Environment(context.Background(), a.arg(2))
		if err != nil {
			return "", err
		}
		revision = current
	}
	next, err := operator.Promote(context.Background(), a.arg(1), a.arg(2), revision)
	if err != nil {
		return "", err
	}
	if a.arg(2) == s.document.Environment {
		s.acceptedRevision = int(next)
	}
	return fmt.Sprintf("from %s to %s: %d\n", a.arg(1), a.arg(2), next), nil
}

// cmdInForce waits until the last accepted revision is in force in every data centre:
//
//	inforce [within=] [data-centres=]
func cmdInForce(s *system, a arguments) (string, error) {
	var text string
	start := time.Now()
	err := eventuallyWithin(a.duration("within", 3*time.Second), func() error {
		for _, name := range s.liveEntries() {
			status, err := s.operatorClient(name).Status(context.Background(), s.document.Environment)
			if err != nil {
				return err
			}
			text = fmt.Sprintf("revision=%d after %v %+v\n", status.Revision, time.Since(start).Round(time.Millisecond), status.DataCentres)
			if status.Revision < uint64(s.acceptedRevision) || len(status.DataCentres) != a.number("data-centres", len(s.document.DataCentres)) {
				return errors.New(name + " " + text)
			}
			for _, dc := range status.DataCentres {
				if !dc.InForce {
					return errors.New(name + " " + text)
				}
			}
		}
		return nil
	})
	return text, err
}
