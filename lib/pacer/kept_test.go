package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flooded process that starts next to nothing: what makes it late is refusing,
// and each start less is one refusal more.
func TestLateProcessKeepsStarting(t *testing.T) {
	const begin, kept, least = 100.0, 50.0, 10.0
	tests := map[string]struct {
		late            time.Duration
		looks           int
		keep            float64
		starts, entries float64
	}{
		"on time":                            {looks: 100, keep: kept, starts: begin, entries: begin},
		"a little late":                      {late: strained, looks: 100, keep: kept, starts: kept, entries: begin},
		"too late":                           {late: TooLate, looks: 26, keep: kept, starts: kept, entries: least},
		"too late, and little is read":       {late: TooLate, looks: 100, keep: kept, starts: least, entries: least},
		"nothing is known":                   {late: strained, looks: 100, starts: begin, entries: begin},
		"it takes less than was thought":     {late: strained, looks: 100, keep: 10 * begin, starts: begin, entries: begin},
		"it takes far more than was thought": {late: strained, looks: 100, keep: 1, starts: least, entries: begin},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := Pacer{Starts: &Rate{Begin: begin, Least: least}, Entries: &Rate{Begin: begin, Least: least}}
			p.Starts.Keep(test.keep)
			for range test.looks {
				p.Look(test.late)
			}
			require.InDelta(t, test.starts, p.Starts.Value(), 1e-9)
			require.InDelta(t, test.entries, p.Entries.Value(), 1e-9)
		})
	}
}

// Guards against starts that are lowered until what was late already has been worked off.
func TestNothingIsLoweredWhileLatenessFalls(t *testing.T) {
	p := Pacer{Starts: &Rate{Begin: 100, Least: 10}}
	for late := time.Second; late > 0; late -= strained {
		p.Look(late)
	}
	require.Greater(t, p.Starts.Value(), 100*cut*cut*cut*cut)
}
