package settings

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// Range of the heartbeat interval.
const (
	heartbeatMin = 100 * time.Millisecond
	heartbeatMax = 2 * time.Second
)

// Agent holds the settings of an agent.
type Agent struct {
	ID           string   `long:"id" env:"JASMINEBAY_ID" description:"name of this worker or upstream VM" value-name:"NAME" required:"yes"`
	System       string   `long:"system" env:"JASMINEBAY_SYSTEM" description:"name of the deployment; entries of another one are refused" value-name:"NAME" default:"jasminebay"`
	DataCentre   string   `long:"data-centre" env:"JASMINEBAY_DATA_CENTRE" description:"data centre of this VM" value-name:"NAME" required:"yes"`
	Rack         string   `long:"rack" env:"JASMINEBAY_RACK" description:"rack of this VM" value-name:"NAME" default:"none"`
	Entries      []string `long:"entry" env:"JASMINEBAY_ENTRIES" env-delim:"," description:"address of an entry or of the balancer in front of them; may be repeated" value-name:"IP:PORT" required:"yes"`
	Listen       string   `long:"listen" env:"JASMINEBAY_LISTEN" description:"address for the upstream's announcements, health and metrics" value-name:"IP:PORT" default:"127.0.0.1:7090"`
	Worker       string   `long:"worker" env:"JASMINEBAY_WORKER" description:"URL of the platform's worker on this VM; without it no tasks run here" value-name:"URL"`
	ReserveCPU   int64    `long:"reserve-milli-cpu" env:"JASMINEBAY_RESERVE_MILLI_CPU" description:"processors kept for the upstreams, in thousandths" value-name:"AMOUNT" default:"0"`
	ReserveBytes int64    `long:"reserve-memory-bytes" env:"JASMINEBAY_RESERVE_MEMORY_BYTES" description:"memory kept for the upstreams" value-name:"BYTES" default:"0"`
	Heartbeat    string   `long:"heartbeat" env:"JASMINEBAY_HEARTBEAT" description:"time between heartbeats" value-name:"DURATION" default:"1s"`
	DrainTimeout string   `long:"drain-timeout" env:"JASMINEBAY_DRAIN_TIMEOUT" description:"bound on ending the requests in flight on SIGTERM" value-name:"DURATION" default:"30s"`
	MemoryLimit  int64    `long:"memory-limit" env:"JASMINEBAY_MEMORY_LIMIT" description:"memory that this process may use; 0 bounds nothing that clients hold" value-name:"BYTES" default:"0"`
	MaxConns     int64    `long:"max-connections" env:"JASMINEBAY_MAX_CONNECTIONS" description:"connections to --listen at a time; 0 sets no limit" value-name:"COUNT" default:"0"`
	LogLevel     string   `long:"log-level" env:"JASMINEBAY_LOG_LEVEL" description:"least level of log lines" value-name:"LEVEL" default:"info"`

	parsed parsedAgent
}

type parsedAgent struct {
	heartbeat, drain time.Duration
	level            slog.Level
}

// Check validates the settings and returns a Faults with every invalid one, or nil. The methods
// below return meaningful values only after it.
func (s *Agent) Check() error {
	var f Faults
	f.checkName("id", s.ID)
	f.checkName("system", s.System)
	f.checkName("data-centre", s.DataCentre)
	f.checkName("rack", s.Rack)
	for _, e := range s.Entries {
		f.checkAddress("entry", e)
	}
	f.checkAddress("listen", s.Listen)
	if s.Worker != "" {
		f.checkURL("worker", s.Worker)
	}
	f.checkLimit("memory-limit", s.MemoryLimit, agentMemoryMin)
	f.checkLimit("max-connections", s.MaxConns, connectionsMin)
	f.checkAmount("reserve-milli-cpu", s.ReserveCPU)
	f.checkAmount("reserve-memory-bytes", s.ReserveBytes)
	s.parsed = parsedAgent{
		heartbeat: f.checkDuration("heartbeat", s.Heartbeat, heartbeatMin, heartbeatMax),
		drain:     f.checkDuration("drain-timeout", s.DrainTimeout, drainMin, drainMax),
		level:     f.checkLevel("log-level", s.LogLevel),
	}
	return f.errOrNil()
}

// HeartbeatInterval returns the time between heartbeats.
func (s *Agent) HeartbeatInterval() time.Duration { return s.parsed.heartbeat }

// Drain returns how long requests in flight may take to complete on shutdown.
func (s *Agent) Drain() time.Duration { return s.parsed.drain }

// Level returns the minimum level of log lines.
func (s *Agent) Level() slog.Level { return s.parsed.level }

// Reservation returns the resources reserved for the upstreams.
func (s *Agent) Reservation() driver.Resources {
	return driver.NewResources(s.ReserveCPU, s.ReserveBytes, 0)
}
