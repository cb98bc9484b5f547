package engine

import (
	"cmp"
	"slices"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Learned returns the learned parameters to be stored for the next owner: throughput, interference
// and duration biases.
func (e *Engine) Learned() *flowpb.Learned {
	learned := &flowpb.Learned{Rate: float64(e.throughput)}
	for p, v := range e.interference {
		learned.Pairs = append(learned.Pairs, &flowpb.Pair{Serving: p.critical, Filling: p.bestEffort, Value: v.value, Variance: v.variance})
	}
	slices.SortFunc(learned.Pairs, func(a, b *flowpb.Pair) int {
		return cmp.Or(cmp.Compare(a.GetServing(), b.GetServing()), cmp.Compare(a.GetFilling(), b.GetFilling()))
	})
	for queue, factor := range e.estimates {
		learned.Biases = append(learned.Biases, &flowpb.Bias{Queue: queue, Factor: factor})
	}
	slices.SortFunc(learned.Biases, func(a, b *flowpb.Bias) int { return cmp.Compare(a.GetQueue(), b.GetQueue()) })
	return learned
}

// RestoreLearned restores the parameters that an earlier owner has learned.
func (e *Engine) RestoreLearned(learned *flowpb.Learned) {
	e.throughput = throughput(learned.GetRate())
	for _, p := range learned.GetPairs() {
		e.interference[imagePair{p.GetServing(), p.GetFilling()}] = &estimate{p.GetValue(), max(p.GetVariance(), interferenceDrift)}
	}
	for _, b := range learned.GetBiases() {
		e.estimates[b.GetQueue()] = b.GetFactor()
	}
}
