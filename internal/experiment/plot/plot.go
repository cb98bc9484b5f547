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
	// maxEarnedY leaves space for the legend above the bars, which reach at most 1.
	maxEarnedY = 1.3
)

// Files draws three SVG charts into a directory and returns their file names: the share of the value
// that each policy earned by queue, and, for the first seed of each policy, the processors used by
// best-effort tasks and the number of waiting jobs over time.
func Files(directory string, results []*experiment.Result) (files []string, err error) {
	if len(results) == 0 {
		return nil, fmt.Errorf("plot: no results")
	}
	policies, byPolicy := groupByPolicy(results)
	charts := []struct {
		name string
		draw func([]string, map[string][]*experiment.Result) (*plot.Plot, error)
	}{{"earned.svg", drawEarned}, {"filling.svg", drawBestEffort}, {"waiting.svg", drawWaiting}}
	for _, d := range charts {
		p, err := d.draw(policies, byPolicy)
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

// groupByPolicy returns the policies in the order of their first appearance, and their results.
func groupByPolicy(results []*experiment.Result) (policies []string, byPolicy map[string][]*experiment.Result) {
	byPolicy = map[string][]*experiment.Result{}
	for _, r := range results {
		if byPolicy[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		byPolicy[r.Policy] = append(byPolicy[r.Policy], r)
	}
	return policies, byPolicy
}

func drawEarned(policies []string, byPolicy map[string][]*experiment.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "share of value earned, by kind"
	p.Y.Min, p.Y.Max = 0, maxEarnedY
	p.Legend.Top = true
	queues := experiment.Mean(byPolicy[policies[0]]).Queues
	for i, k := range queues {
		var values plotter.Values
		for _, policy := range policies {
			values = append(values, experiment.Mean(byPolicy[policy]).Queues[i].EarnedShare)
		}
		bars, err := plotter.NewBarChart(values, barWidth/vg.Length(len(queues)))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = (vg.Length(i) - vg.Length(len(queues)-1)/2) * bars.Width
		p.Add(bars)
		p.Legend.Add(k.Queue, bars)
	}
	p.NominalX(policies...)
	p.X.Min, p.X.Max = -0.5, float64(len(policies))-0.5
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	return p, nil
}

func drawBestEffort(policies []string, byPolicy map[string][]*experiment.Result) (*plot.Plot, error) {
	return drawOverTime(policies, byPolicy, "processors used by best-effort tasks", func(s experiment.Sample) float64 { return s.BestEffort })
}

func drawWaiting(policies []string, byPolicy map[string][]*experiment.Result) (*plot.Plot, error) {
	return drawOverTime(policies, byPolicy, "jobs that have not begun", func(s experiment.Sample) float64 { return float64(s.Waiting) })
}

// drawOverTime draws a value of the samples of the first seed of each policy over time.
func drawOverTime(policies []string, byPolicy map[string][]*experiment.Result, label string, value func(experiment.Sample) float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", label
	p.Legend.Top = true
	for i, policy := range policies {
		var points plotter.XYs
		for _, s := range byPolicy[policy][0].Samples {
			points = append(points, plotter.XY{X: s.Seconds, Y: value(s)})
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
