package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a start rate whose floor fits one deployment only: a stream of fifty events takes
// several times the processor time of one with a few events.
func TestCostOfServingIsMeasured(t *testing.T) {
	const updates = 100
	tests := map[string]struct {
		each             time.Duration // core time of a request
		started, refused uint64        // between two updates
		want             time.Duration
	}{
		"nothing is served":      {refused: 2000},
		"short answers":          {each: 400 * time.Microsecond, started: 50, want: 400 * time.Microsecond},
		"beside many refusals":   {each: 400 * time.Microsecond, started: 50, refused: 2000, want: 400 * time.Microsecond},
		"long streams":           {each: 2700 * time.Microsecond, started: 20, refused: 1000, want: 2700 * time.Microsecond},
		"too few to measure":     {each: 400 * time.Microsecond, started: 1},
		"refusals take all time": {started: 50, refused: 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s requestCost
			var cost float64
			for i := range uint64(updates) {
				n := i + 1
				used := time.Duration(n*test.started)*test.each + time.Duration(n*test.refused)*refusalCost
				cost = s.update(used, n*test.started, n*test.refused)
			}
			require.InDelta(t, test.want.Seconds(), cost, 1e-9)
		})
	}
}
