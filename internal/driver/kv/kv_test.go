package kv_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	standin "github.com/jasminebay/jasminebay/internal/standin/kv"
)

// TestContract runs the scripts in testdata against the stand-in over HTTP. They check the
// behaviour of the service and the errors that its faults cause in the client.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		server := standin.New(standin.Options{})
		httpServer := httptest.NewServer(server.Handler())
		defer httpServer.Close()
		c := kv.New(kv.Options{Address: httpServer.URL, Timeout: 300 * time.Millisecond})
		leases := map[string]driver.Lease{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text, err := call(t, c, server, leases, d)
			if err != nil {
				return classify(err) + "\n"
			}
			return text + "\n"
		})
	})
}

func call(t *testing.T, c *kv.Client, server *standin.Server, leases map[string]driver.Lease, d *datadriven.TestData) (string, error) {
	ctx := t.Context()
	var key, lease string
	revision, size, millis := 0, -1, 0
	for name, target := range map[string]any{"key": &key, "lease": &lease, "revision": &revision, "size": &size, "millis": &millis} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, target)
		}
	}
	switch d.Cmd {
	case "swap":
		value := []byte(d.Input)
		if size >= 0 {
			value = make([]byte, size)
		}
		next, err := c.CompareAndSwap(ctx, key, uint64(revision), value, leases[lease])
		return "revision " + strconv.FormatUint(next, 10), err
	case "get":
		i, err := c.Get(ctx, key)
		return fmt.Sprintf("%q revision %d", i.Value(), i.Revision()), err
	case "list":
		items, revision, err := c.List(ctx, key)
		names := make([]string, len(items))
		for i := range items {
			names[i] = items[i].Key()
		}
		return fmt.Sprintf("%s store revision %d", strings.Join(names, " "), revision), err
	case "delete":
		return "deleted", c.Delete(ctx, key, uint64(revision))
	case "grant":
		l, err := c.Grant(ctx, time.Duration(millis)*time.Millisecond)
		leases[lease] = l
		return "granted", err
	case "renew":
		return "renewed", c.Renew(ctx, leases[lease])
	case "watch":
		next, err := c.Watch(ctx, key, uint64(revision), time.Duration(millis)*time.Millisecond)
		return "revision " + strconv.FormatUint(next, 10), err
	case "faults":
		var f standin.Faults
		if err := json.Unmarshal([]byte(d.Input), &f); err != nil {
			t.Fatal(err)
		}
		server.SetFaults(f)
		return "set", nil
	case "sleep":
		time.Sleep(time.Duration(millis) * time.Millisecond)
		return "slept", nil
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return "", nil
}

func classify(err error) string {
	for _, known := range []error{driver.ErrConflict, driver.ErrNotFound, driver.ErrUnavailable, driver.ErrIndeterminate, driver.ErrTooLarge} {
		if errors.Is(err, known) {
			return strings.TrimPrefix(known.Error(), "driver: ")
		}
	}
	return "other: " + err.Error()
}

// TestListWithOddItems checks that an item that can't be read does not make the others of a list unreadable:
// the registry of entries is one list.
func TestListWithOddItems(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(kv.HeaderRevision, "9")
		_, _ = w.Write([]byte(`[{"key":"p/a","value":"MQ==","revision":3},{"key":"p/b","value":"*"},{"key":"p/c","value":` + deep + `},{"key":"p/d","revision":1e400},7,{"key":"q"},{"key":"p/z","value":"Mg==","revision":5}]`))
	}))
	defer server.Close()
	items, revision, err := kv.New(kv.Options{Address: server.URL, Timeout: time.Second}).List(t.Context(), "p/")
	is.NoErr(err)
	is.Equal(revision, uint64(9))
	is.Equal(len(items), 2)
	is.Equal(items[1].Key(), "p/z")
}
