package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminebay/jasminebay/internal/standin/relay"
)

// systemKey is the key of the *system of a script in the values of its environment.
type systemKey struct{}

func setup(env *testscript.Env) error {
	s := &system{
		dir: env.WorkDir, processes: map[string]*process{}, machines: map[string]*machine{},
		relays: map[string]*relay.Relay{}, senders: map[string]*sender{}, callers: map[string]*openCallers{}, jobIDs: map[string]string{},
	}
	env.Values[systemKey{}] = s
	env.Defer(s.close)
	return nil
}

// arguments are the parsed arguments of a script command: NAME=VALUE pairs, and all others in
// their order.
type arguments struct {
	positional []string
	named      map[string]string
}

func (a arguments) arg(i int) string {
	if i < len(a.positional) {
		return a.positional[i]
	}
	return ""
}

func (a arguments) number(name string, fallback int) int {
	if n, err := strconv.Atoi(a.named[name]); err == nil {
		return n
	}
	return fallback
}

func (a arguments) duration(name string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.named[name]); err == nil {
		return d
	}
	return fallback
}

func (a arguments) text(name, fallback string) string {
	if v, ok := a.named[name]; ok {
		return v
	}
	return fallback
}

// scriptCommand adapts f to a script command of testscript. The text that f returns becomes the
// standard output of the command, followed by the error if the script expects one.
func scriptCommand(f func(*system, arguments) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		parsed := arguments{named: map[string]string{}}
		for _, w := range args {
			name, value, ok := strings.Cut(w, "=")
			if ok && !strings.HasPrefix(w, "{") {
				parsed.named[name] = value
			} else {
				parsed.positional = append(parsed.positional, w)
			}
		}
		s := ts.Value(systemKey{}).(*system)
		out, err := f(s, parsed)
		if out != "" {
			_, _ = fmt.Fprint(ts.Stdout(), out)
			ts.Logf("%s", out)
		}
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
		if err != nil {
			_, _ = fmt.Fprintln(ts.Stdout(), err)
		}
		if err == nil && neg {
			ts.Fatalf("command succeeded, want an error")
		}
	}
}
