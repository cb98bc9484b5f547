package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/pkg/client"
)

// BenchmarkRequest measures requests through an entry and an agent and direct calls of the same
// upstream, at several numbers of concurrent callers.
func BenchmarkRequest(b *testing.B) {
	raw, err := examples.Files.ReadFile("verband.json")
	if err != nil {
		b.Fatal(err)
	}
	c, err := Start(context.Background(), Options{
		Document: raw, Runners: 3, Slots: 64, Connections: 64, Capacity: driver.NewResources(64_000, 250<<30, 2),
		EntriesPerDataCentre: 1, Grant: 15 * time.Second, Margin: time.Second, StoreSilence: time.Minute,
		Heartbeat: time.Second, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Machine: MachineOptions{ServiceTime: func(string) time.Duration { return 0 }},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	body := bytes.Repeat([]byte{'x'}, 1000)
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	routed := client.New(client.Options{Address: c.Entries()[0].Callers, HTTP: httpClient})
	upstream := c.Machines()[0].Upstream.Address()
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			measure(b, callers, func() error { return callDirectly(httpClient, upstream, body) })
		})
		b.Run(fmt.Sprintf("routed/callers=%d", callers), func(b *testing.B) {
			measure(b, callers, func() error {
				_, err := routed.Do(context.Background(), client.Request{Service: "servietten-hub", Kind: "proof-check", Body: body})
				return err
			})
		})
	}
}

func callDirectly(c *http.Client, address string, body []byte) error {
	r, err := c.Post(address+"/", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// measure calls f b.N times from concurrent callers and reports the latency percentiles.
func measure(b *testing.B, callers int, f func() error) {
	latencies := make([]time.Duration, b.N)
	var wait sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for caller := range callers {
		wait.Go(func() {
			for i := caller; i < b.N; i += callers {
				began := time.Now()
				if err := f(); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(began)
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}
