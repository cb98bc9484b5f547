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

// Fault is a setting with a value that is not allowed.
type Fault struct {
	Flag    string
	Value   string
	Allowed string
}

// Faults is an error that lists every setting that is wrong.
type Faults []Fault

// Error implements error.
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

func (f *Faults) err() error {
	if len(*f) == 0 {
		return nil
	}
	return *f
}

func (f *Faults) name(flag, value string) {
	if !namePattern.MatchString(value) {
		f.add(flag, value, "a kebab-case name of 1 to 63 characters")
	}
}

func (f *Faults) address(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || host != "" && net.ParseIP(host) == nil {
		f.add(flag, value, "an IP number and a port, such as 127.0.0.1:7000")
	}
}

func (f *Faults) url(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		f.add(flag, value, "a URL such as http://127.0.0.1:2379")
	}
}

func (f *Faults) duration(flag, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		f.add(flag, value, fmt.Sprintf("a duration from %v to %v", low, high))
	}
	return d
}

func (f *Faults) amount(flag string, value int64) {
	if value < 0 {
		f.add(flag, fmt.Sprint(value), "an amount of at least 0")
	}
}

func (f *Faults) level(flag, value string) (level slog.Level) {
	if level.UnmarshalText([]byte(value)) != nil {
		f.add(flag, value, "one of debug, info, warn, error")
	}
	return level
}
