package settings

import (
	"log/slog"
	"time"
)

// Ranges of the durations.
const (
	drainMin        = 0
	drainMax        = 10 * time.Minute
	grantMin        = time.Second
	grantMax        = 5 * time.Minute
	storeSilenceMin = 5 * time.Second
	storeSilenceMax = 6 * time.Hour
)

// Least limits of memory and of connections. One connection holds a fifteenth of the memory at most, and the largest
// legal body of a caller, 8 MiB, takes half as much again while it is received.
const (
	entryMemoryMin = 256 << 20
	agentMemoryMin = 64 << 20
	connectionsMin = 64
)

// Entry holds the settings of an entry.
type Entry struct {
	ID           string   `long:"id" env:"JASMINEBAY_ID" description:"name of this entry" value-name:"NAME" required:"yes"`
	System       string   `long:"system" env:"JASMINEBAY_SYSTEM" description:"name of the deployment; processes of another one are refused" value-name:"NAME" default:"jasminebay"`
	DataCentre   string   `long:"data-centre" env:"JASMINEBAY_DATA_CENTRE" description:"data centre of this VM" value-name:"NAME" required:"yes"`
	Environment  string   `long:"environment" env:"JASMINEBAY_ENVIRONMENT" description:"environment whose document is in force here" value-name:"NAME" default:"production"`
	Callers      string   `long:"callers" env:"JASMINEBAY_CALLERS" description:"address that serves callers" value-name:"IP:PORT" default:"0.0.0.0:7080"`
	Operators    string   `long:"operators" env:"JASMINEBAY_OPERATORS" description:"address that serves operators and metrics" value-name:"IP:PORT" default:"0.0.0.0:7081"`
	Listen       string   `long:"listen" env:"JASMINEBAY_LISTEN" description:"address that serves agents and other entries" value-name:"IP:PORT" default:"0.0.0.0:7082"`
	Advertise    string   `long:"advertise" env:"JASMINEBAY_ADVERTISE" description:"address at which agents and other entries reach this one" value-name:"IP:PORT" required:"yes"`
	PeerAddress  string   `long:"advertise-peers" env:"JASMINEBAY_ADVERTISE_PEERS" description:"address at which other entries reach this one, if it is another" value-name:"IP:PORT"`
	Store        string   `long:"store" env:"JASMINEBAY_STORE" description:"URL of the platform's key-value service" value-name:"URL" required:"yes"`
	Peers        []string `long:"peer" env:"JASMINEBAY_PEERS" env-delim:"," description:"address of another entry, for when the key-value service is down; may be repeated" value-name:"IP:PORT"`
	DrainTimeout string   `long:"drain-timeout" env:"JASMINEBAY_DRAIN_TIMEOUT" description:"bound on ending the requests in flight on SIGTERM" value-name:"DURATION" default:"30s"`
	Grant        string   `long:"grant" env:"JASMINEBAY_GRANT" description:"how long a worker may run tasks after its last answered heartbeat" value-name:"DURATION" default:"15s"`
	Margin       string   `long:"grant-margin" env:"JASMINEBAY_GRANT_MARGIN" description:"allowance for clock drift on top of a grant" value-name:"DURATION" default:"3s"`
	StoreSilence string   `long:"store-silence" env:"JASMINEBAY_STORE_SILENCE" description:"how long grants are renewed while the key-value service does not answer" value-name:"DURATION" default:"10m"`
	MemoryLimit  int64    `long:"memory-limit" env:"JASMINEBAY_MEMORY_LIMIT" description:"memory that this process may use; 0 sets no limit" value-name:"BYTES" default:"0"`
	MaxConns     int64    `long:"max-connections" env:"JASMINEBAY_MAX_CONNECTIONS" description:"connections of callers and operators at a time; 0 sets no limit" value-name:"COUNT" default:"0"`
	LogLevel     string   `long:"log-level" env:"JASMINEBAY_LOG_LEVEL" description:"least level of log lines" value-name:"LEVEL" default:"info"`

	parsed parsedEntry
}

type parsedEntry struct {
	drain, grant, margin, storeSilence time.Duration
	level                              slog.Level
}

// Check validates the settings and returns a Faults with every invalid one, or nil. The methods
// below return meaningful values only after it.
func (s *Entry) Check() error {
	var f Faults
	f.checkName("id", s.ID)
	f.checkName("system", s.System)
	f.checkName("data-centre", s.DataCentre)
	f.checkName("environment", s.Environment)
	f.checkAddress("callers", s.Callers)
	f.checkAddress("operators", s.Operators)
	f.checkAddress("listen", s.Listen)
	f.checkAddress("advertise", s.Advertise)
	if s.PeerAddress != "" {
		f.checkAddress("advertise-peers", s.PeerAddress)
	}
	f.checkURL("store", s.Store)
	f.checkLimit("memory-limit", s.MemoryLimit, entryMemoryMin)
	f.checkLimit("max-connections", s.MaxConns, connectionsMin)
	for _, p := range s.Peers {
		f.checkAddress("peer", p)
	}
	s.parsed = parsedEntry{
		drain:        f.checkDuration("drain-timeout", s.DrainTimeout, drainMin, drainMax),
		grant:        f.checkDuration("grant", s.Grant, grantMin, grantMax),
		margin:       f.checkDuration("grant-margin", s.Margin, 0, grantMax),
		storeSilence: f.checkDuration("store-silence", s.StoreSilence, storeSilenceMin, storeSilenceMax),
		level:        f.checkLevel("log-level", s.LogLevel),
	}
	return f.errOrNil()
}

// Drain returns how long requests in flight may take to complete on shutdown.
func (s *Entry) Drain() time.Duration { return s.parsed.drain }

// GrantDuration returns how long a worker may run tasks after its last answered heartbeat.
func (s *Entry) GrantDuration() time.Duration { return s.parsed.grant }

// GrantMargin returns the allowance for clock drift that is added to a grant.
func (s *Entry) GrantMargin() time.Duration { return s.parsed.margin }

// MaxStoreSilence returns how long grants are renewed while the key-value service does not answer.
func (s *Entry) MaxStoreSilence() time.Duration { return s.parsed.storeSilence }

// Level returns the minimum level of log lines.
func (s *Entry) Level() slog.Level { return s.parsed.level }
