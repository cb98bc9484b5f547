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
	d, err := time.ParseDuration(a.word(0))
	time.Sleep(d)
	return "", err
}

// cmdReady waits until the system is whole, or until a balancer would send callers to each
// live entry: ready [balancer]
func cmdReady(s *system, a arguments) (string, error) {
	if a.word(0) != "balancer" {
		return "", s.ready()
	}
	return "", until(func() error {
		for _, name := range s.live() {
			if _, err := s.ask(s.processes[name].callers + "/readyz"); err != nil {
				return err
			}
		}
		return nil
	})
}

// cmdOwners waits until the head of each cell names a live owner: owners [epoch=]
func cmdOwners(s *system, a arguments) (string, error) {
	return "", until(func() error {
		for _, dc := range s.document.DataCentres {
			for n := range dc.Cells {
				if err := s.taken(fmt.Sprintf("%s.%d", dc.Name, n), a.text("epoch", "")); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// taken reports whether a live entry has logged that it took a cell, under an epoch if it
// is not "".
func (s *system) taken(cell, epoch string) error {
	for _, name := range s.live() {
		text, err := s.tail(name)
		if err != nil {
			return err
		}
		if strings.Contains(text, `"cell taken"`) && strings.Contains(text, `"cell":"`+cell+`","epoch":`+epoch) {
			return nil
		}
	}
	return fmt.Errorf("nobody has taken %s under epoch %s", cell, cmp.Or(epoch, "any"))
}

func (s *system) tail(name string) (string, error) {
	data, err := os.ReadFile(s.processes[name].log)
	return string(data), err
}

// cmdLogged waits for a line of a process's log: logged NAME PATTERN
func cmdLogged(s *system, a arguments) (string, error) {
	pattern, err := regexp.Compile(a.word(1))
	if err != nil {
		return "", err
	}
	var found string
	err = until(func() error {
		text, err := s.tail(a.word(0))
		if err != nil {
			return err
		}
		if found = pattern.FindString(text); found == "" {
			return fmt.Errorf("%s has not logged %q", a.word(0), a.word(1))
		}
		return nil
	})
	return found + "\n", err
}

// cmdRuns prints how many requests began at an upstream after it was last asked: runs NAME
func cmdRuns(s *system, a arguments) (string, error) {
	runs := s.machines[a.word(0)].upstream.Record().Runs
	newest := time.Time{}
	open, partial := 0, 0
	for _, r := range runs {
		if r.Started.After(newest) {
			newest = r.Started
		}
		if r.Ended.IsZero() {
			open++
		}
		if r.Partial {
			partial++
		}
	}
	if quiet := a.duration("quiet", 0); quiet > 0 && time.Since(newest) < quiet {
		return "", fmt.Errorf("a request began %v ago", time.Since(newest))
	}
	return fmt.Sprintf("runs=%d open=%d partial=%d\n", len(runs), open, partial), nil
}

// cmdRaw sends bytes to a port of an entry and prints what comes back: raw callers|peers ENTRY TEXT
func cmdRaw(s *system, a arguments) (string, error) {
	address := strings.TrimPrefix(s.processes[a.word(1)].callers, "http://")
	if a.word(0) == "peers" {
		address = s.relays[a.word(1)].Address()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	text, err := strconv.Unquote(`"` + a.word(2) + `"`)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write([]byte(strings.Repeat(text, a.number("times", 1)))); err != nil {
		return "broken: " + err.Error() + "\n", nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(a.duration("within", 15*time.Second)))
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if n == 0 {
		return fmt.Sprintf("closed: %v\n", err), nil
	}
	return string(answer[:n]) + "\n", nil
}

// cmdCalls checks that the store gets at most so many calls in any second: calls most= for=
func cmdCalls(s *system, a arguments) (string, error) {
	var totals []int
	for began := time.Now(); time.Since(began) < a.duration("for", time.Second); time.Sleep(callsSample) {
		c := s.store.Counts()
		totals = append(totals, c.Reads+c.Writes+c.Refused)
	}
	peak := 0
	second := int(time.Second / callsSample)
	for i := range totals {
		peak = max(peak, totals[i]-totals[max(0, i-second)])
	}
	text := fmt.Sprintf("peak=%d a second\n", peak)
	if most := a.number("most", 0); peak > most {
		return text, fmt.Errorf("the store got %d calls in a second, want at most %d", peak, most)
	}
	return text, nil
}

// callsSample is how often the store's calls are counted.
const callsSample = 100 * time.Millisecond

// cmdAmplification checks that the entries have sent at most so many times as many
// requests as they got: amplification MOST
func cmdAmplification(s *system, a arguments) (string, error) {
	most, err := strconv.ParseFloat(a.word(0), 64)
	if err != nil {
		return "", err
	}
	retries, requests := 0.0, 0.0
	for _, name := range s.live() {
		metrics, err := s.ask(s.processes[name].operators + "/metrics")
		if err != nil {
			return "", err
		}
		retries += sumMetric(metrics, "jasminebay_request_retries_total")
		requests += sumMetric(metrics, "jasminebay_requests_total")
	}
	text := fmt.Sprintf("requests=%.0f retries=%.0f\n", requests, retries)
	if requests == 0 || (requests+retries)/requests > most {
		return text, fmt.Errorf("amplification over %v: %s", most, text)
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
