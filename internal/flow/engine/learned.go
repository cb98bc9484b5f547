package engine

import (
	"cmp"
	"slices"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Learned returns what the next owner should not have to learn again.
func (e *Engine) Learned() *flowpb.Learned {
	l := &flowpb.Learned{Rate: float64(e.throughput)}
	for p, v := range e.interference {
		l.Pairs = append(l.Pairs, &flowpb.Pair{Serving: p.serving, Filling: p.filling, Value: v.value, Variance: v.variance})
	}
	slices.SortFunc(l.Pairs, func(a, b *flowpb.Pair) int {
		return cmp.Or(cmp.Compare(a.GetServing(), b.GetServing()), cmp.Compare(a.GetFilling(), b.GetFilling()))
	})
	for queue, factor := range e.estimates {
		l.Biases = append(l.Biases, &flowpb.Bias{Queue: queue, Factor: factor})
	}
	slices.SortFunc(l.Biases, func(a, b *flowpb.Bias) int { return cmp.Compare(a.GetQueue(), b.GetQueue()) })
	return l
}

// Recall takes in what an earlier owner has learned.
func (e *Engine) Recall(l *flowpb.Learned) {
	e.throughput = rate(l.GetRate())
	for _, p := range l.GetPairs() {
		e.interference[pair{p.GetServing(), p.GetFilling()}] = &estimate{p.GetValue(), max(p.GetVariance(), pairDrift)}
	}
	for _, b := range l.GetBiases() {
		e.estimates[b.GetQueue()] = b.GetFactor()
	}
}
