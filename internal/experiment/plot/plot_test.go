package plot

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/experiment"
)

func TestFiles(t *testing.T) {
	is := is.New(t)
	results := []*experiment.Result{
		{Policy: "product", Queues: []experiment.QueueResult{{Queue: "checks", EarnedShare: 0.9}, {Queue: "renders", EarnedShare: 0.5}}, Samples: []experiment.Sample{{Seconds: 0}, {Seconds: 1, BestEffort: 20, Waiting: 3}}},
		{Policy: "no-pacing", Queues: []experiment.QueueResult{{Queue: "checks", EarnedShare: 0.8}, {Queue: "renders", EarnedShare: 0.7}}, Samples: []experiment.Sample{{Seconds: 0}, {Seconds: 1, BestEffort: 30, Waiting: 1}}},
	}
	files, err := Files(t.TempDir(), results)
	is.NoErr(err)
	is.Equal(len(files), 3)
	for _, file := range files {
		svg, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(strings.Contains(string(svg), "no-pacing")) // each policy is named
	}
	_, err = Files(t.TempDir(), nil)
	is.True(err != nil)
	_, err = Files(t.TempDir()+"/none", results)
	is.True(err != nil)
}
