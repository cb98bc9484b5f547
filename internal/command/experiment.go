package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/experiment"
)

type experimentCommand struct {
	Policies string `long:"policy" description:"policies to compare, separated by commas; all for all of them" value-name:"NAMES" default:"product"`
	Seeds    int    `long:"seeds" description:"how many seeds each policy is played with" value-name:"NUMBER" default:"1"`
	First    uint64 `long:"first-seed" description:"the first seed" value-name:"NUMBER" default:"1"`
	Jobs     int    `long:"jobs" description:"how many are played at once" value-name:"NUMBER" default:"2"`
	Output   string `long:"output" description:"form of the output" choice:"table" choice:"json" default:"table"`
	Arrivals string `long:"arrivals" description:"file of recorded arrivals to play instead of drawn ones" value-name:"FILE"`
	Record   string `long:"record" description:"file to record the arrivals of the first seed in" value-name:"FILE"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"load file, or the name of an example"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute simulates a load once for each policy and seed and prints the results.
func (c *experimentCommand) Execute([]string) error {
	raw, err := examples.Files.ReadFile(c.Args.File + ".json")
	if err != nil {
		if raw, err = readFile(c.streams.in, c.Args.File); err != nil {
			return usageError{err}
		}
	}
	l, err := experiment.Parse(raw)
	if err != nil {
		return usageError{err}
	}
	policyNames := splitList(c.Policies)
	if c.Policies == "all" {
		policyNames = experiment.PolicyNames()
	}
	if c.Seeds < 1 || c.Jobs < 1 {
		return usageError{fmt.Errorf("--seeds %d and --jobs %d must be above 0", c.Seeds, c.Jobs)}
	}
	byPolicy, err := c.runPolicies(l, policyNames)
	if err != nil {
		return err
	}
	rows := [][]string{experiment.Header()}
	var results []*experiment.Result
	for _, policyResults := range byPolicy {
		results = append(results, policyResults...)
		rows = append(rows, experiment.Mean(policyResults).Rows()...)
	}
	if c.Output == "json" {
		e := json.NewEncoder(c.streams.out)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	return writeTable(c.streams.out, rows)
}

// runPolicies simulates each policy with each seed, up to c.Jobs runs at once. The results are
// indexed by policy and by seed.
func (c *experimentCommand) runPolicies(l *experiment.Load, names []string) (results [][]*experiment.Result, err error) {
	group, ctx := errgroup.WithContext(c.ctx)
	group.SetLimit(c.Jobs)
	results = make([][]*experiment.Result, len(names))
	for i, name := range names {
		policy, err := experiment.PolicyByName(name)
		if err != nil {
			return nil, usageError{err}
		}
		results[i] = make([]*experiment.Result, c.Seeds)
		for k := range c.Seeds {
			seed := c.First + uint64(k)
			arrivals, err := c.arrivals(l, seed)
			if err != nil {
				return nil, usageError{err}
			}
			group.Go(func() (err error) {
				results[i][k], err = experiment.Simulate(ctx, experiment.Options{Load: l, Arrivals: arrivals, Policy: policy, PolicyName: name, Seed: seed})
				showProgress(c.streams.err, "%s, seed %d …", name, seed)
				return err
			})
		}
	}
	err = group.Wait()
	showProgress(c.streams.err, "")
	return results, err
}

// arrivals generates the arrivals of a seed, or reads recorded ones from the file of --arrivals.
// It records those of the first seed if --record is given.
func (c *experimentCommand) arrivals(l *experiment.Load, seed uint64) (arrivals []experiment.Arrival, err error) {
	if c.Arrivals != "" {
		f, err := os.Open(c.Arrivals)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		return experiment.ReadArrivals(l, f)
	}
	arrivals = experiment.GenerateArrivals(l, seed)
	if c.Record != "" && seed == c.First {
		f, err := os.Create(c.Record)
		if err != nil {
			return nil, err
		}
		if err := experiment.WriteArrivals(f, arrivals); err != nil {
			_ = f.Close()
			return nil, err
		}
		return arrivals, f.Close()
	}
	return arrivals, nil
}
