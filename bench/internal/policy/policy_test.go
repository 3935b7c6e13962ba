package policy_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/bench/internal/policy"
	"shallotkeel.example/lib/scheduler"
)

// Aims of the scheduling policy.
const (
	minUtilisation = 0.97
	// minGapImprovement is the least factor between the baseline's fairness gap and that
	// of the schedulers where placement is uneven.
	minGapImprovement = 10
	// maxRecoverySeconds is the stated bound on the time to recover after a fault.
	maxRecoverySeconds   = 5
	maxStarvationSeconds = 10
	// maxEstimateError is the largest relative error of the pool's own estimate of bytes.
	maxEstimateError = 0.25
)

// measureOnce measures with seed 1. All tests share the result.
var measureOnce = sync.OnceValue(func() policy.Report { return policy.Measure(1) })

// Guards against a change to the policy that makes a figure miss its aim: the bound on
// the gap, utilisation, starvation, recovery after faults, or the cost of exchanges.
func TestFiguresMeetTheirAims(t *testing.T) {
	for _, f := range measureOnce().Figures {
		name := f.Scenario + ": " + f.Name
		switch f.Name {
		case "gap over bound":
			require.LessOrEqual(t, f.Pool, 1.0, name)
		case "utilisation over ideal":
			require.GreaterOrEqual(t, f.Pool, minUtilisation, name)
		case "fairness gap":
			if strings.HasPrefix(f.Scenario, "uneven") || strings.HasPrefix(f.Scenario, "three zones") {
				require.GreaterOrEqual(t, *f.Ratio, float64(minGapImprovement), name)
			}
		case "compare bytes of a node":
			require.LessOrEqual(t, f.Pool, float64(scheduler.DefaultCompareBudget), name)
		case "estimated over encoded bytes":
			require.InDelta(t, 1, f.Pool, maxEstimateError, name)
		case "utilisation":
			require.GreaterOrEqual(t, f.Pool, minUtilisation, name)
		case "longest time without service":
			require.Less(t, f.Pool, float64(maxStarvationSeconds), name)
		case "time until gap and utilisation are back":
			require.GreaterOrEqual(t, f.Pool, 0.0, name)
			require.LessOrEqual(t, f.Pool, float64(maxRecoverySeconds), name)
		}
	}
}

// Guards against runs that depend on more than the seed, such as on the order of a map
// or on real time.
func TestSameSeedSameFigures(t *testing.T) {
	var written bytes.Buffer
	require.NoError(t, policy.Run(&written, 1))
	var figures []policy.Figure
	for line := range strings.Lines(written.String()) {
		if strings.HasPrefix(line, "{") {
			var f policy.Figure
			require.NoError(t, json.Unmarshal([]byte(line), &f))
			figures = append(figures, f)
		}
	}
	require.Equal(t, measureOnce().Figures, figures)
}
