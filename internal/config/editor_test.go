package config

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	standin "github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// handlerTransport is a RoundTripper that calls a handler directly, without a network.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// racingStore is a Store in which another operator changes the document just before each of the next writes.
type racingStore struct {
	driver.Store
	races int
}

func (s *racingStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease driver.Lease) (uint64, error) {
	if s.races > 0 {
		s.races--
		item, err := s.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		if _, err := s.Store.CompareAndSwap(ctx, key, item.Revision(), item.Value(), ""); err != nil {
			return 0, err
		}
	}
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

// newEditor returns an Editor of a new store that holds the example's document, and the document.
func newEditor(t *testing.T) (*Editor, *racingStore, []byte) {
	server := standin.New(standin.Options{})
	store := &racingStore{Store: kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{server.Handler()}})}
	raw, err := examples.Files.ReadFile("verband.json")
	if err != nil {
		t.Fatal(err)
	}
	e := &Editor{Store: store}
	if _, _, err := e.Put(t.Context(), "production", driver.RevisionAbsent, raw); err != nil {
		t.Fatal(err)
	}
	return e, store, raw
}

// TestSetEvacuated guards against an evacuation that is lost beside other changes, that changes anything
// else, or that is written again by a repeated call.
func TestSetEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, store, raw := newEditor(t)
		store.races = maxEvacuationTries - 1
		_, revision, record, err := e.SetEvacuated(t.Context(), "production", "basel-b", true)
		is.NoErr(err)
		is.True(strings.Contains(string(record), `"evacuated":true`))
		current, found, err := e.Get(t.Context(), "production")
		is.NoErr(err)
		is.Equal(found, revision)
		d, err := document.Parse(current)
		is.NoErr(err)
		is.True(d.Evacuated("basel-b") && !d.Evacuated("zuerich-a"))

		before, again, record, err := e.SetEvacuated(t.Context(), "production", "basel-b", true)
		is.NoErr(err)
		is.True(before == revision && again == revision && record == nil)

		store.races = maxEvacuationTries
		var conflict *ConflictError
		_, _, _, err = e.SetEvacuated(t.Context(), "production", "basel-b", false)
		is.True(errors.As(err, &conflict))

		_, _, _, err = e.SetEvacuated(t.Context(), "production", "nowhere", true)
		is.True(errors.Is(err, document.ErrNoDataCentre))
		_, _, _, err = e.SetEvacuated(t.Context(), "trial", "basel-b", true)
		is.True(errors.Is(err, driver.ErrNotFound))

		_, _, _, err = e.SetEvacuated(t.Context(), "production", "basel-b", false)
		is.NoErr(err)
		current, _, err = e.Get(t.Context(), "production")
		is.NoErr(err)
		want, err := document.Parse(raw)
		is.NoErr(err)
		got, err := document.Parse(current)
		is.NoErr(err)
		is.Equal(got, want)
	})
}

// TestPromotionKeepsEvacuation guards against a promotion that evacuates a data centre or takes one back.
func TestPromotionKeepsEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, _, _ := newEditor(t)
		evacuate := func(environment, dataCentre string) uint64 {
			_, revision, _, err := e.SetEvacuated(t.Context(), environment, dataCentre, true)
			is.NoErr(err)
			return revision
		}
		evacuated := func(environment string) (names []string) {
			raw, _, err := e.Get(t.Context(), environment)
			is.NoErr(err)
			d, err := document.Parse(raw)
			is.NoErr(err)
			for _, dc := range d.DataCentres {
				if dc.Evacuated {
					names = append(names, dc.Name)
				}
			}
			return names
		}
		stale := evacuate("production", "basel-b")
		_, _, err := e.Promote(t.Context(), "production", "trial", driver.RevisionAbsent)
		is.NoErr(err)
		is.Equal(evacuated("trial"), nil)
		evacuate("trial", "zuerich-a")
		current := evacuate("production", "lausanne-a")
		_, _, err = e.Promote(t.Context(), "trial", "production", stale)
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Revision, current)
		_, _, err = e.Promote(t.Context(), "trial", "production", current)
		is.NoErr(err)
		is.Equal(evacuated("production"), []string{"basel-b", "lausanne-a"})
	})
}
