package scenario

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/client"
)

// cmdSleep pauses the script: sleep DURATION
func cmdSleep(_ *system, a arguments) (string, error) {
	d, err := time.ParseDuration(a.arg(0))
	time.Sleep(d)
	return "", err
}

// cmdReady waits until the system is ready. With balancer it only waits until each live entry passes
// the readiness check on its port for callers, which a load balancer would query:
//
//	ready [balancer]
func cmdReady(s *system, a arguments) (string, error) {
	if a.arg(0) != "balancer" {
		return "", s.waitReady()
	}
	return "", eventually(func() error {
		for _, name := range s.liveEntries() {
			if _, err := s.get(s.processes[name].callersURL + "/readyz"); err != nil {
				return err
			}
		}
		return nil
	})
}

// cmdOwners waits until a live entry has taken over each cell, in the given epoch if there is one:
//
//	owners [epoch=]
func cmdOwners(s *system, a arguments) (string, error) {
	return "", eventually(func() error {
		for _, dc := range s.document.DataCentres {
			for n := range dc.Cells {
				if err := s.checkCellTaken(fmt.Sprintf("%s.%d", dc.Name, n), a.text("epoch", "")); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// checkCellTaken returns an error unless a live entry has logged a takeover of the cell. An empty
// epoch stands for any epoch.
func (s *system) checkCellTaken(cell, epoch string) error {
	for _, name := range s.liveEntries() {
		text, err := s.readLog(name)
		if err != nil {
			return err
		}
		if strings.Contains(text, `"cell taken"`) && strings.Contains(text, `"cell":"`+cell+`","epoch":`+epoch) {
			return nil
		}
	}
	return fmt.Errorf("no live entry has logged a takeover of cell %s in epoch %s", cell, cmp.Or(epoch, "any"))
}

// ownerOf returns the live entry that has logged the takeover of a cell in the highest epoch, or "".
func (s *system) ownerOf(cell string) (owner string) {
	pattern := regexp.MustCompile(`"msg":"cell taken".*"cell":"` + regexp.QuoteMeta(cell) + `","epoch":([0-9]+)`)
	newest := 0
	for _, name := range s.liveEntries() {
		text, _ := s.readLog(name)
		for _, match := range pattern.FindAllStringSubmatch(text, -1) {
			if epoch, _ := strconv.Atoi(match[1]); epoch > newest {
				owner, newest = name, epoch
			}
		}
	}
	return owner
}

// cmdStarts prints the number of requests and tasks that were started in a data centre. With quiet it
// fails if one was started within that time:
//
//	starts DATA-CENTRE [quiet=]
func cmdStarts(s *system, a arguments) (string, error) {
	quiet := a.duration("quiet", 0)
	requests, tasks := 0, 0
	for name, m := range s.machines {
		if m.dataCentre != a.arg(0) {
			continue
		}
		for _, r := range m.upstream.Record().Runs {
			requests++
			if age := time.Since(r.Started); age < quiet {
				return "", fmt.Errorf("request %s started on %s %v ago", r.ID, name, age)
			}
		}
		for _, e := range m.worker.Events() {
			if e.Kind != worker.EventStart {
				continue
			}
			tasks++
			if age := time.Since(e.At); age < quiet {
				return "", fmt.Errorf("task %s started on %s %v ago", e.Task, name, age)
			}
		}
	}
	return fmt.Sprintf("requests=%d tasks=%d\n", requests, tasks), nil
}

// readLog returns the log of a process since its first start.
func (s *system) readLog(name string) (string, error) {
	data, err := os.ReadFile(s.processes[name].logPath)
	return string(data), err
}

// cmdLogged waits until the log of a process matches a regular expression, and prints the match:
//
//	logged NAME PATTERN
func cmdLogged(s *system, a arguments) (string, error) {
	pattern, err := regexp.Compile(a.arg(1))
	if err != nil {
		return "", err
	}
	var found string
	err = eventually(func() error {
		text, err := s.readLog(a.arg(0))
		if err != nil {
			return err
		}
		if found = pattern.FindString(text); found == "" {
			return fmt.Errorf("%s has not logged %q", a.arg(0), a.arg(1))
		}
		return nil
	})
	return found + "\n", err
}

// cmdRuns prints the number of requests that an upstream has started, and how many of them are
// still running or had a partial response. With quiet it fails if a request started within that
// time:
//
//	runs NAME [quiet=]
func cmdRuns(s *system, a arguments) (string, error) {
	runs := s.machines[a.arg(0)].upstream.Record().Runs
	latestStart := time.Time{}
	open, partial := 0, 0
	for _, r := range runs {
		if r.Started.After(latestStart) {
			latestStart = r.Started
		}
		if r.Ended.IsZero() {
			open++
		}
		if r.Partial {
			partial++
		}
	}
	if quiet := a.duration("quiet", 0); quiet > 0 && time.Since(latestStart) < quiet {
		return "", fmt.Errorf("a request started %v ago", time.Since(latestStart))
	}
	return fmt.Sprintf("runs=%d open=%d partial=%d\n", len(runs), open, partial), nil
}

// cmdLoads waits until every live entry reports the given numbers of requests at an upstream:
//
//	loads NAME [in-flight=] [queued=] [within=]
func cmdLoads(s *system, a arguments) (string, error) {
	return "", eventuallyWithin(a.duration("within", waitTimeout), func() error {
		for _, name := range s.liveEntries() {
			upstreams, err := s.operatorClient(name).Upstreams(context.Background())
			if err != nil {
				return err
			}
			i := slices.IndexFunc(upstreams, func(u client.Upstream) bool { return u.Agent == a.arg(0) })
			if i < 0 {
				return fmt.Errorf("%s does not report %s", name, a.arg(0))
			}
			u := upstreams[i]
			if u.InFlight != a.number("in-flight", u.InFlight) || u.Queued != a.number("queued", u.Queued) {
				return fmt.Errorf("%s reports %d requests in flight and %d queued at %s, want %v", name, u.InFlight, u.Queued, a.arg(0), a.named)
			}
		}
		return nil
	})
}

// cmdRaw sends bytes to a port of an entry and prints the start of the response. The text may contain
// the escape sequences of Go strings:
//
//	raw callers|peers ENTRY TEXT [times=] [within=]
func cmdRaw(s *system, a arguments) (string, error) {
	address := strings.TrimPrefix(s.processes[a.arg(1)].callersURL, "http://")
	if a.arg(0) == "peers" {
		address = s.relays[a.arg(1)].Address()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	text, err := strconv.Unquote(`"` + a.arg(2) + `"`)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write([]byte(strings.Repeat(text, a.number("times", 1)))); err != nil {
		return "broken: " + err.Error() + "\n", nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(a.duration("within", 15*time.Second)))
	response := make([]byte, 4096)
	n, err := conn.Read(response)
	if n == 0 {
		return fmt.Sprintf("closed: %v\n", err), nil
	}
	return string(response[:n]) + "\n", nil
}

// cmdCalls samples the calls to the store for some time and checks that no second has more than the
// allowed number of calls:
//
//	calls most= for=
func cmdCalls(s *system, a arguments) (string, error) {
	var totals []int
	for start := time.Now(); time.Since(start) < a.duration("for", time.Second); time.Sleep(storeSampleInterval) {
		counts := s.store.Counts()
		totals = append(totals, counts.Reads+counts.Writes+counts.Refused)
	}
	peak := 0
	samplesPerSecond := int(time.Second / storeSampleInterval)
	for i := range totals {
		peak = max(peak, totals[i]-totals[max(0, i-samplesPerSecond)])
	}
	text := fmt.Sprintf("peak=%d a second\n", peak)
	if limit := a.number("most", 0); peak > limit {
		return text, fmt.Errorf("the store received %d calls in a second, want at most %d", peak, limit)
	}
	return text, nil
}

// storeSampleInterval is the interval at which the calls to the store are counted.
const storeSampleInterval = 100 * time.Millisecond

// cmdAmplification checks the ratio of requests sent to upstreams, retries included, to requests
// received by the live entries:
//
//	amplification LIMIT
func cmdAmplification(s *system, a arguments) (string, error) {
	limit, err := strconv.ParseFloat(a.arg(0), 64)
	if err != nil {
		return "", err
	}
	retries, requests := 0.0, 0.0
	for _, name := range s.liveEntries() {
		metrics, err := s.get(s.processes[name].operatorsURL + "/metrics")
		if err != nil {
			return "", err
		}
		retries += sumMetric(metrics, "jasminebay_request_retries_total")
		requests += sumMetric(metrics, "jasminebay_requests_total")
	}
	text := fmt.Sprintf("requests=%.0f retries=%.0f\n", requests, retries)
	if requests == 0 || (requests+retries)/requests > limit {
		return text, fmt.Errorf("request amplification exceeds %v: %s", limit, text)
	}
	return text, nil
}

// cmdReserved waits until every live entry knows that tasks reserve the given number of processors in
// all cells together: reserved PROCESSORS
func cmdReserved(s *system, a arguments) (string, error) {
	want, err := strconv.ParseFloat(a.arg(0), 64)
	if err != nil {
		return "", err
	}
	return "", eventually(func() error {
		for _, name := range s.liveEntries() {
			metrics, err := s.get(s.processes[name].operatorsURL + "/metrics")
			if err != nil {
				return err
			}
			if known := sumMetric(metrics, "jasminebay_cell_reserved_processors"); known != want {
				return fmt.Errorf("%s knows of %v reserved processors, want %v", name, known, want)
			}
		}
		return nil
	})
}

// sumMetric adds up all series whose lines start with name in a metrics page.
func sumMetric(metrics, name string) (sum float64) {
	for _, line := range strings.Split(metrics, "\n") {
		if !strings.HasPrefix(line, name) {
			continue
		}
		if v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); err == nil {
			sum += v
		}
	}
	return sum
}
