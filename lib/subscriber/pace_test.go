package subscriber

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The polls of all routers together take a keeper the same time in a small and in a
// large fleet; in the largest the pause stays short enough for a lost keeper to be
// noticed.
func TestPollsArePacedByTheFleet(t *testing.T) {
	tests := map[string]struct {
		routers, keepers int
		primary, others  time.Duration
	}{
		"nobody is known":    {0, 0, LeastWait, DefaultWait},
		"a small fleet":      {7, 3, LeastWait, DefaultWait},
		"one keeper":         {40, 1, 200 * time.Millisecond, DefaultWait},
		"a fleet of 60":      {60, 6, LeastWait, DefaultWait},
		"a fleet of 200":     {200, 5, 200 * time.Millisecond, 800 * time.Millisecond},
		"two years from now": {410, 5, 410 * time.Millisecond, mostBriefWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.primary, WaitFor(test.routers, test.keepers))
			require.Equal(t, test.others, BriefWaitFor(test.routers, test.keepers))
		})
	}
}
