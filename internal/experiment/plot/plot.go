package plot

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jasminebay/jasminebay/internal/experiment"
)

const (
	width    = 18 * vg.Centimeter
	height   = 10 * vg.Centimeter
	barWidth = 6 * vg.Millimeter
	// legendRoom leaves room for the legend above bars of which the highest may reach 1.
	legendRoom = 1.3
)

// Files draws into a directory what each policy earned, and for the first seed of each how the
// processors of tasks that fill were used over time; it returns the names of the files.
func Files(directory string, results []*experiment.Result) (files []string, err error) {
	if len(results) == 0 {
		return nil, fmt.Errorf("plot: no results")
	}
	policies, by := group(results)
	drawn := []struct {
		name string
		draw func([]string, map[string][]*experiment.Result) (*plot.Plot, error)
	}{{"earned.svg", earned}, {"filling.svg", filling}, {"waiting.svg", waiting}}
	for _, d := range drawn {
		p, err := d.draw(policies, by)
		if err != nil {
			return files, fmt.Errorf("plot: %s: %w", d.name, err)
		}
		file := filepath.Join(directory, d.name)
		if err := p.Save(width, height, file); err != nil {
			return files, fmt.Errorf("plot: %s: %w", d.name, err)
		}
		files = append(files, file)
	}
	return files, nil
}

// group returns the policies in order and their results.
func group(results []*experiment.Result) (policies []string, by map[string][]*experiment.Result) {
	by = map[string][]*experiment.Result{}
	for _, r := range results {
		if by[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		by[r.Policy] = append(by[r.Policy], r)
	}
	return policies, by
}

func earned(policies []string, by map[string][]*experiment.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "share earned, by kind"
	p.Y.Min, p.Y.Max = 0, legendRoom
	p.Legend.Top = true
	kinds := experiment.Mean(by[policies[0]]).Queues
	for i, k := range kinds {
		var values plotter.Values
		for _, policy := range policies {
			values = append(values, experiment.Mean(by[policy]).Queues[i].Earned)
		}
		bars, err := plotter.NewBarChart(values, barWidth/vg.Length(len(kinds)))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = (vg.Length(i) - vg.Length(len(kinds)-1)/2) * bars.Width
		p.Add(bars)
		p.Legend.Add(k.Queue, bars)
	}
	p.NominalX(policies...)
	p.X.Min, p.X.Max = -0.5, float64(len(policies))-0.5
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	return p, nil
}

func filling(policies []string, by map[string][]*experiment.Result) (*plot.Plot, error) {
	return course(policies, by, "processors of tasks that fill", func(s experiment.Sample) float64 { return s.BestEffort })
}

func waiting(policies []string, by map[string][]*experiment.Result) (*plot.Plot, error) {
	return course(policies, by, "jobs that have not begun", func(s experiment.Sample) float64 { return float64(s.Waiting) })
}

func course(policies []string, by map[string][]*experiment.Result, label string, of func(experiment.Sample) float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", label
	p.Legend.Top = true
	for i, policy := range policies {
		var points plotter.XYs
		for _, s := range by[policy][0].Samples {
			points = append(points, plotter.XY{X: s.Seconds, Y: of(s)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy, line)
	}
	return p, nil
}
