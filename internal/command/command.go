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

// Exit statuses by kind of failure.
const (
	ExitOK = iota
	// ExitFailed is a failure of no other kind.
	ExitFailed
	// ExitUsage is a wrong flag, argument or setting.
	ExitUsage
	// ExitRefused tells that nothing was done.
	ExitRefused
	// ExitUnknown tells that it is not known whether something was done.
	ExitUnknown
	// ExitUnreachable tells that no entry was reached.
	ExitUnreachable
)

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// usageError is a wrong argument.
type usageError struct{ error }

type description struct{ name, short, long string }

var descriptions = []description{
	{"entry", "run an entry", "Serves callers, operators, agents and other entries.\n\nExample:\n  jasminebay entry --id entry-1 --data-centre zuerich-a --advertise 10.0.0.5:7082 --store http://10.0.0.9:2379"},
	{"agent", "run an agent", "Runs beside an upstream or a worker.\n\nExample:\n  jasminebay agent --id runner-01 --data-centre zuerich-a --rack rack-1 --entry 10.0.0.5:7082 --worker http://127.0.0.1:7100"},
	{"platform-entry", "run an entry on the operators' platform", "Takes its addresses from the settings file of the platform.\n\nExample:\n  jasminebay platform-entry --log-level warn"},
	{"platform-agent", "run an agent on the operators' platform", "Takes its addresses from the settings file of the platform.\n\nExample:\n  jasminebay platform-agent --log-level warn"},
	{"local", "run everything in one process on loopback", "Runs entries, agents and stand-ins for the platform and the upstreams, for a first look.\n\nExamples:\n  jasminebay local\n  jasminebay local --once"},
	{"apply", "accept a configuration document", "Puts a document if the revision that was read is still the current one.\n\nExample:\n  jasminebay apply --revision 12 examples/verband.json"},
	{"get", "print a configuration document", "Prints the current document on standard output and its revision on standard error.\n\nExample:\n  jasminebay get production"},
	{"promote", "accept the document of one environment as that of another", "Example:\n  jasminebay promote --revision 12 trial production"},
	{"status", "show which revision is in force where", "Example:\n  jasminebay status production"},
	{"submit", "submit a job", "Reads a job from a file, or from standard input for -.\n\nExample:\n  jasminebay submit --key nightly-2026-12-04 --wait examples/job.json"},
	{"cancel", "cancel a job", "Example:\n  jasminebay cancel zuerich-a.0-3k9x"},
	{"jobs", "show jobs", "Shows the newest jobs, or one job with its tasks.\n\nExamples:\n  jasminebay jobs\n  jasminebay jobs zuerich-a.0-3k9x"},
	{"settle", "settle a task whose fate is unknown", "Records whether the task finished or did not run, which nobody but you can know.\n\nExample:\n  jasminebay settle --outcome finished zuerich-a.0-3k9x zuerich-a.0-3k9x.0"},
	{"drain", "take a worker out of use", "The worker takes nothing new and gives up its tasks at a checkpoint.\n\nExample:\n  jasminebay drain runner-01"},
	{"workers", "show workers", "Example:\n  jasminebay workers --output json"},
	{"load", "measure the system under an open-loop load", "Reads what to send from a load file.\n\nExample:\n  jasminebay load --local examples/load-verband.json"},
	{"experiment", "compare decisions on a load, in virtual time", "Plays a load against the engine of jobs made of steps alone, with simulated runners, once for each policy and seed.\n\nExample:\n  jasminebay experiment --policy all --seeds 3 experiment-verband-grown"},
	{"explain", "tell the story of one id from logs", "Reads the logs of several processes and prints the lines that name a job, or a task of it, in order of time, with what befell its workers and owners meanwhile.\n\nExample:\n  jasminebay explain b91146771b0a8ead entry-1.log entry-2.log"},
	{"version", "print the version", "Example:\n  jasminebay version"},
}

// Run runs the command line and returns the exit status.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := streams{in: in, out: out, err: errOut}
	parser := flags.NewNamedParser("jasminebay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a scheduler for latency-critical services and batch work on the same VMs"
	commands := commands(ctx, s)
	for _, d := range descriptions {
		if _, err := parser.AddCommand(d.name, d.short, d.long, commands[d.name]); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(s, err)
}

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

// report prints an error and returns the exit status that belongs to it.
func report(s streams, err error) int {
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
	return status(err)
}

func status(err error) int {
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

func isUnreachable(err error) bool {
	var unreachable interface{ Timeout() bool }
	return errors.As(err, &unreachable)
}
