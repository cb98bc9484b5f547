package lenient

import (
	"log/slog"
	"sync"
)

const (
	// maxLoggedEntries bounds the entries that are remembered as logged.
	maxLoggedEntries = 256
	// maxLoggedBytes bounds what a line quotes of an entry, and of the error that it gave.
	maxLoggedBytes = 120
)

// Log writes a line for each entry that is left out, once: lists are read again and again. It is safe
// for concurrent use.
type Log struct {
	log    *slog.Logger
	mu     sync.Mutex
	logged map[[2]string]bool
}

// NewLog returns a Log that writes to a logger.
func NewLog(log *slog.Logger) *Log { return &Log{log: log, logged: map[[2]string]bool{}} }

// LeftOut logs that an entry of a list was left out, unless it was logged before.
func (l *Log) LeftOut(list, entry string, err error) {
	entry, reason := clip(entry), clip(err.Error())
	l.mu.Lock()
	seen := l.logged[[2]string{list, entry}]
	if !seen {
		if len(l.logged) >= maxLoggedEntries {
			clear(l.logged)
		}
		l.logged[[2]string{list, entry}] = true
	}
	l.mu.Unlock()
	if !seen {
		l.log.Warn("unreadable entry left out", "list", list, "entry", entry, "error", reason)
	}
}

// clip returns the begin of a text.
func clip(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + "..."
}
