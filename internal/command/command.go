package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/platform/process"
)

// Exit statuses.
const (
	ExitOK = iota
	// ExitFailed means a failure that no other status describes.
	ExitFailed
	// ExitUsage means an invalid flag, argument, setting or input file.
	ExitUsage
	// ExitRefused means that an entry refused the request and nothing was done.
	ExitRefused
	// ExitUnknown means that it is indeterminate whether the operation took effect.
	ExitUnknown
	// ExitUnreachable means that no entry could be reached.
	ExitUnreachable
)

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// usageError is an error that exits with ExitUsage.
type usageError struct{ error }

// helpText is the name of a command with its one-line and its full description.
type helpText struct{ name, short, long string }

var helpTexts = []helpText{
	{"entry", "run an entry", "Serves callers, operators, agents and other entries.\n\nExample:\n  jasminebay entry --id entry-1 --data-centre zuerich-a --advertise 10.0.0.5:7082 --store http://10.0.0.9:2379"},
	{"agent", "run an agent", "Runs beside an upstream or a worker.\n\nExample:\n  jasminebay agent --id runner-01 --data-centre zuerich-a --rack rack-1 --entry 10.0.0.5:7082 --worker http://127.0.0.1:7100"},
	{"platform-entry", "run an entry on the operators' platform", "Takes its addresses from the settings file of the platform.\n\nExample:\n  jasminebay platform-entry --log-level warn"},
	{"platform-agent", "run an agent on the operators' platform", "Takes its addresses from the settings file of the platform.\n\nExample:\n  jasminebay platform-agent --log-level warn"},
	{"local", "run everything in one process on loopback", "Runs entries, agents and stand-ins for the platform and the upstreams, for trying out the system.\n\nExamples:\n  jasminebay local\n  jasminebay local --once"},
	{"apply", "apply a configuration document", "Stores a document if the revision that was read is still the current one.\n\nExample:\n  jasminebay apply --revision 12 examples/verband.json"},
	{"get", "print a configuration document", "Prints the current document on standard output and its revision on standard error.\n\nExample:\n  jasminebay get production"},
	{"promote", "apply the document of one environment to another", "Example:\n  jasminebay promote --revision 12 trial production"},
	{"evacuate", "evacuate a data centre, or take it back", "Requests go to other data centres, no task starts there, and those that run are stopped at a checkpoint.\n\nExamples:\n  jasminebay evacuate basel-b\n  jasminebay evacuate --end basel-b"},
	{"status", "show which revision is in force in each data centre", "Example:\n  jasminebay status production"},
	{"submit", "submit a job", "Reads a job from a file, or from standard input for -.\n\nExample:\n  jasminebay submit --key nightly-2026-12-04 --wait examples/job.json"},
	{"cancel", "cancel a job", "Example:\n  jasminebay cancel zuerich-a.0-3k9x"},
	{"jobs", "show jobs", "Shows the newest jobs, or one job with its tasks.\n\nExamples:\n  jasminebay jobs\n  jasminebay jobs zuerich-a.0-3k9x"},
	{"settle", "settle a task whose outcome is unknown", "Records whether the task finished or did not run, which the system cannot determine.\n\nExample:\n  jasminebay settle --outcome finished zuerich-a.0-3k9x zuerich-a.0-3k9x.0"},
	{"drain", "drain a worker to take it out of use", "The worker accepts no new tasks and gives up its running tasks at a checkpoint.\n\nExample:\n  jasminebay drain runner-01"},
	{"workers", "show workers", "Example:\n  jasminebay workers --output json"},
	{"load", "measure the system under an open-loop load", "Reads what to send from a load file.\n\nExample:\n  jasminebay load --local examples/load-verband.json"},
	{"experiment", "compare scheduling policies on a load, in virtual time", "Runs a load against the engine of jobs made of steps, alone and with simulated runners, once for each policy and seed.\n\nExample:\n  jasminebay experiment --policy all --seeds 3 experiment-verband-grown"},
	{"explain", "show the timeline of one id from logs", "Reads the logs of several processes and prints the lines that name a job, or a task of it, in order of time, with the events of its workers and owners in that period.\n\nExample:\n  jasminebay explain b91146771b0a8ead entry-1.log entry-2.log"},
	{"version", "print the version", "Example:\n  jasminebay version"},
}

// Run parses and executes the command line in args and returns the exit status. SIGINT and
// SIGTERM cancel the command. They stay caught when it has ended, so that another one does not change
// the exit status.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	s := streams{in: in, out: out, err: errOut}
	parser := flags.NewNamedParser("jasminebay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a scheduler for latency-critical services and batch work on the same VMs"
	byName := commands(ctx, s)
	for _, h := range helpTexts {
		if _, err := parser.AddCommand(h.name, h.short, h.long, byName[h.name]); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return reportError(s, err)
}

// commands returns the commands of the parser by name.
func commands(ctx context.Context, s streams) map[string]any {
	return map[string]any{
		"entry":          &entryCommand{ctx: ctx, streams: s},
		"agent":          &agentCommand{ctx: ctx, streams: s},
		"platform-entry": &platformCommand{ctx: ctx, run: process.RunEntry},
		"platform-agent": &platformCommand{ctx: ctx, run: process.RunAgent},
		"local":          &localCommand{ctx: ctx, streams: s},
		"apply":          &applyCommand{ctx: ctx, streams: s},
		"get":            &getCommand{ctx: ctx, streams: s},
		"promote":        &promoteCommand{ctx: ctx, streams: s},
		"evacuate":       &evacuateCommand{ctx: ctx, streams: s},
		"status":         &statusCommand{ctx: ctx, streams: s},
		"submit":         &submitCommand{ctx: ctx, streams: s},
		"cancel":         &cancelCommand{ctx: ctx, streams: s},
		"jobs":           &jobsCommand{ctx: ctx, streams: s},
		"settle":         &settleCommand{ctx: ctx, streams: s},
		"drain":          &drainCommand{ctx: ctx, streams: s},
		"workers":        &workersCommand{ctx: ctx, streams: s},
		"load":           &loadCommand{ctx: ctx, streams: s},
		"experiment":     &experimentCommand{ctx: ctx, streams: s},
		"explain":        &explainCommand{streams: s},
		"version":        &versionCommand{streams: s},
	}
}

// reportError prints an error and returns its exit status. A request for help is printed to
// standard output and succeeds.
func reportError(s streams, err error) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(s.out, flagError.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(s.err, "jasminebay:", flagError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(s.err, "jasminebay:", err)
	return exitStatus(err)
}

// exitStatus maps an error to its exit status.
func exitStatus(err error) int {
	var usage usageError
	var faults settings.Faults
	var problem *client.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &faults):
		return ExitUsage
	case errors.As(err, &problem):
		if problem.Outcome == client.OutcomeUnknown {
			return ExitUnknown
		}
		return ExitRefused
	case isUnreachable(err):
		return ExitUnreachable
	}
	return ExitFailed
}

// isUnreachable reports whether err has a Timeout method, as the errors of the HTTP transport have.
func isUnreachable(err error) bool {
	var unreachable interface{ Timeout() bool }
	return errors.As(err, &unreachable)
}
