package estimator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/estimator"
)

func TestHintsAreWeightedByAccuracy(t *testing.T) {
	costs := []uint32{50, 400, 100, 300}
	tests := map[string]struct {
		hint func(i int, cost uint32) uint32
		want func(cost uint32) float64
	}{
		"exact":         {hint: func(_ int, c uint32) uint32 { return c }, want: func(c uint32) float64 { return float64(c) }},
		"ten times low": {hint: func(_ int, c uint32) uint32 { return c / 10 }, want: func(c uint32) float64 { return float64(c) }},
		"ten times big": {hint: func(_ int, c uint32) uint32 { return c * 10 }, want: func(c uint32) float64 { return float64(c) }},
		"no relation":   {hint: func(i int, _ uint32) uint32 { return uint32(1 + i*7919%5000) }, want: func(uint32) float64 { return 212 }},
		"none":          {hint: func(int, uint32) uint32 { return 0 }, want: func(uint32) float64 { return 212 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e estimator.Estimator
			r := e.Record("one", "draft")
			for i := range 400 {
				cost := costs[i%len(costs)]
				r.Learn(test.hint(i, cost), cost)
			}
			for i, cost := range costs {
				want := test.want(cost)
				require.InDelta(t, want, float64(r.Estimate(test.hint(i, cost))), 0.2*want)
			}
		})
	}
}

// A client gains nothing by a hint of one unit before it has a history: at least half of the mean
// is charged.
func TestUntriedHintIsBounded(t *testing.T) {
	var e estimator.Estimator
	require.EqualValues(t, estimator.DefaultCost/2, e.Record("one", "draft").Estimate(1))
	require.EqualValues(t, estimator.DefaultCost, e.Record("one", "draft").Estimate(1_000_000))
}
