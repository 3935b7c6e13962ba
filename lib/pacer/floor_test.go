package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flooded process that starts next to nothing: its lateness comes from refusals,
// and each request that it does not start is one more refusal.
func TestLateProcessKeepsStarting(t *testing.T) {
	const initial, reserved, minimum = 100.0, 50.0, 10.0
	tests := map[string]struct {
		late            time.Duration
		samples         int
		floor           float64
		starts, entries float64
	}{
		"on time":                        {samples: 100, floor: reserved, starts: initial, entries: initial},
		"a little late":                  {late: cutThreshold, samples: 100, floor: reserved, starts: reserved, entries: initial},
		"too late":                       {late: LagThreshold, samples: 26, floor: reserved, starts: reserved, entries: minimum},
		"too late, few connections read": {late: LagThreshold, samples: 100, floor: reserved, starts: minimum, entries: minimum},
		"no floor is set":                {late: cutThreshold, samples: 100, starts: initial, entries: initial},
		"floor above the initial rate":   {late: cutThreshold, samples: 100, floor: 10 * initial, starts: initial, entries: initial},
		"floor below the minimum":        {late: cutThreshold, samples: 100, floor: 1, starts: minimum, entries: initial},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := Pacer{Starts: &Rate{Initial: initial, Min: minimum}, Entries: &Rate{Initial: initial, Min: minimum}}
			p.Starts.SetFloor(test.floor)
			for range test.samples {
				p.Observe(test.late)
			}
			require.InDelta(t, test.starts, p.Starts.Value(), 1e-9)
			require.InDelta(t, test.entries, p.Entries.Value(), 1e-9)
		})
	}
}

// Guards against starts that are lowered further while the process still catches up with earlier work.
func TestNothingIsLoweredWhileLatenessFalls(t *testing.T) {
	p := Pacer{Starts: &Rate{Initial: 100, Min: 10}}
	for late := time.Second; late > 0; late -= cutThreshold {
		p.Observe(late)
	}
	require.Greater(t, p.Starts.Value(), 100*cut*cut*cut*cut)
}
