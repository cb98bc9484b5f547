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

// maxLearned bounds the learned interference, its variance and the biases. None comes near it.
const maxLearned = 100

// plausible reports whether x can have been learned. A value that is no number would never be corrected.
func plausible(x float64) bool { return x >= 0 && x <= maxLearned }

// RestoreLearned restores the parameters that an earlier owner has learned, except those that are not
// plausible.
func (e *Engine) RestoreLearned(learned *flowpb.Learned) {
	if rate := learned.GetRate(); rate >= 0 && rate <= maxThroughput {
		e.throughput = throughput(rate)
	}
	for _, p := range learned.GetPairs() {
		if !plausible(p.GetValue()) || !plausible(p.GetVariance()) {
			continue
		}
		e.interference[imagePair{p.GetServing(), p.GetFilling()}] = &estimate{p.GetValue(), max(p.GetVariance(), interferenceDrift)}
	}
	for _, b := range learned.GetBiases() {
		if !plausible(b.GetFactor()) {
			continue
		}
		e.estimates[b.GetQueue()] = b.GetFactor()
	}
}
