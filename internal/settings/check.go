package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"regexp"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const limitMax = 1 << 50

// Fault describes a setting whose value is not allowed.
type Fault struct {
	Flag  string
	Value string
	// Allowed describes the values that are allowed.
	Allowed string
}

// Faults is an error that lists every invalid setting.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("--%s: %q is not allowed; want %s", fault.Flag, fault.Value, fault.Allowed)
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(flag, value, allowed string) {
	*f = append(*f, Fault{Flag: flag, Value: value, Allowed: allowed})
}

// errOrNil returns nil, not an empty Faults, if there is no fault.
func (f *Faults) errOrNil() error {
	if len(*f) == 0 {
		return nil
	}
	return *f
}

func (f *Faults) checkName(flag, value string) {
	if !namePattern.MatchString(value) {
		f.add(flag, value, "a kebab-case name of 1 to 63 characters")
	}
}

func (f *Faults) checkAddress(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || host != "" && net.ParseIP(host) == nil {
		f.add(flag, value, "an IP number and a port, such as 127.0.0.1:7000")
	}
}

func (f *Faults) checkURL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		f.add(flag, value, "a URL such as http://127.0.0.1:2379")
	}
}

// checkDuration parses a duration and adds a fault unless it is within [low, high].
func (f *Faults) checkDuration(flag, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		f.add(flag, value, fmt.Sprintf("a duration from %v to %v", low, high))
	}
	return d
}

func (f *Faults) checkAmount(flag string, value int64) {
	if value < 0 {
		f.add(flag, fmt.Sprint(value), "an amount of at least 0")
	}
}

// checkLimit adds a fault unless a limit is 0 or at least low. Its largest value is beyond any VM.
func (f *Faults) checkLimit(flag string, value, low int64) {
	if value != 0 && (value < low || value > limitMax) {
		f.add(flag, fmt.Sprint(value), fmt.Sprintf("0 or an amount of at least %d", low))
	}
}

func (f *Faults) checkLevel(flag, value string) (level slog.Level) {
	if level.UnmarshalText([]byte(value)) != nil {
		f.add(flag, value, "one of debug, info, warn, error")
	}
	return level
}
