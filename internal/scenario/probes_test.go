package scenario

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

func cmdSleep(_ *system, a arguments) (string, error) {
	d, err := time.ParseDuration(a.arg(0))
	time.Sleep(d)
	return "", err
}

// cmdReady waits until the system is whole, or until a balancer would send callers to each
// live entry: ready [balancer]
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

// cmdOwners waits until the head of each cell names a live owner: owners [epoch=]
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

// taken reports whether a live entry has logged that it took a cell, under an epoch if it
// is not "".
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
	return fmt.Errorf("nobody has taken %s under epoch %s", cell, cmp.Or(epoch, "any"))
}

func (s *system) readLog(name string) (string, error) {
	data, err := os.ReadFile(s.processes[name].logPath)
	return string(data), err
}

// cmdLogged waits for a line of a process's log: logged NAME PATTERN
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

// cmdRuns prints how many requests began at an upstream after it was last asked: runs NAME
func cmdRuns(s *system, a arguments) (string, error) {
	runs := s.machines[a.arg(0)].upstream.Record().Runs
	latestStart := time.Time{}
	open, partial := 0, 0
	for _, r := range runs {
		if r.Began.After(latestStart) {
			latestStart = r.Began
		}
		if r.Ended.IsZero() {
			open++
		}
		if r.Partial {
			partial++
		}
	}
	if quiet := a.duration("quiet", 0); quiet > 0 && time.Since(latestStart) < quiet {
		return "", fmt.Errorf("a request began %v ago", time.Since(latestStart))
	}
	return fmt.Sprintf("runs=%d open=%d partial=%d\n", len(runs), open, partial), nil
}

// cmdRaw sends bytes to a port of an entry and prints what comes back: raw callers|peers ENTRY TEXT
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

// cmdCalls checks that the store gets at most so many calls in any second: calls most= for=
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
		return text, fmt.Errorf("the store got %d calls in a second, want at most %d", peak, limit)
	}
	return text, nil
}

// callsSample is how often the store's calls are counted.
const storeSampleInterval = 100 * time.Millisecond

// cmdAmplification checks that the entries have sent at most so many times as many
// requests as they got: amplification MOST
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
		return text, fmt.Errorf("amplification over %v: %s", limit, text)
	}
	return text, nil
}

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
