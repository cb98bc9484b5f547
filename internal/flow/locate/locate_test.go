package locate

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// silentStore answers no call.
type silentStore struct{ driver.TxnStore }

func (silentStore) List(ctx context.Context, _ string) ([]driver.Item, uint64, error) {
	<-ctx.Done()
	return nil, 0, driver.ErrUnavailable
}

// TestSilentStoreLoggedAsReachableAtStop guards against a last line that says that the store is
// reachable again, though it is only the process that ends.
func TestSilentStoreLoggedAsReachableAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		began := time.Now()
		f := New(Options{Cell: "c", Store: silentStore{}, Clock: func() time.Duration { return time.Since(began) }, WatchWait: time.Second, Log: slog.New(slog.NewTextHandler(&lines, nil))})
		ctx, stop := context.WithCancel(context.Background())
		done := loop.Go(ctx, f.Run)
		time.Sleep(3 * time.Second)
		stop()
		<-done
		is.True(strings.Contains(lines.String(), "store unreachable"))
		is.True(!strings.Contains(lines.String(), "reachable again"))
	})
}
