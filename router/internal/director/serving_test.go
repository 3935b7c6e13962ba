package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against starts that are kept by a count that fits one deployment: a stream of fifty events
// takes several times what one of a few does.
func TestCostOfServingIsMeasured(t *testing.T) {
	const looks = 100
	tests := map[string]struct {
		each             time.Duration // a request takes
		started, refused uint64        // between two looks
		want             time.Duration
	}{
		"nothing is served":    {refused: 2000},
		"short answers":        {each: 400 * time.Microsecond, started: 50, want: 400 * time.Microsecond},
		"beside many refusals": {each: 400 * time.Microsecond, started: 50, refused: 2000, want: 400 * time.Microsecond},
		"long streams":         {each: 2700 * time.Microsecond, started: 20, refused: 1000, want: 2700 * time.Microsecond},
		"too few to tell":      {each: 400 * time.Microsecond, started: 1},
		"refusals take it all": {started: 50, refused: 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s serving
			var cost float64
			for i := range uint64(looks) {
				n := i + 1
				used := time.Duration(n*test.started)*test.each + time.Duration(n*test.refused)*refusalCost
				cost = s.look(used, n*test.started, n*test.refused)
			}
			require.InDelta(t, test.want.Seconds(), cost, 1e-9)
		})
	}
}
