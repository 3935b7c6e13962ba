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

// leastUtilisation and leastImprovement are the aims of issue 4.
const (
	leastUtilisation = 0.97
	leastImprovement = 10
	// longestRecovery is the stated time after a fault, seconds.
	longestRecovery = 5
	longestStarving = 10
	// estimateOff is how far the pool's own estimate of bytes may be off.
	estimateOff = 0.25
)

// measured runs once for all tests.
var measured = sync.OnceValue(func() policy.Report { return policy.Measure(1) })

func TestFiguresMeetTheirAims(t *testing.T) {
	for _, f := range measured().Figures {
		name := f.Scenario + ": " + f.Name
		switch f.Name {
		case "gap over bound":
			require.LessOrEqual(t, f.Pool, 1.0, name)
		case "utilisation over ideal":
			require.GreaterOrEqual(t, f.Pool, leastUtilisation, name)
		case "fairness gap":
			if strings.HasPrefix(f.Scenario, "uneven") || strings.HasPrefix(f.Scenario, "three zones") {
				require.GreaterOrEqual(t, *f.Ratio, float64(leastImprovement), name)
			}
		case "compare bytes of a node":
			require.LessOrEqual(t, f.Pool, float64(scheduler.DefaultCompareBudget), name)
		case "estimated over encoded bytes":
			require.InDelta(t, 1, f.Pool, estimateOff, name)
		case "utilisation":
			require.GreaterOrEqual(t, f.Pool, leastUtilisation, name)
		case "longest time without service":
			require.Less(t, f.Pool, float64(longestStarving), name)
		case "time until gap and utilisation are back":
			require.GreaterOrEqual(t, f.Pool, 0.0, name)
			require.LessOrEqual(t, f.Pool, float64(longestRecovery), name)
		}
	}
}

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
	require.Equal(t, measured().Figures, figures)
}
