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
		"a fleet of 60":      {60, 6, LeastWait, mostBriefWait},
		"the whole fleet":    {1000, 25, 200 * time.Millisecond, mostBriefWait},
		"twice as large":     {2000, 50, 200 * time.Millisecond, mostBriefWait},
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

// Guards against routers that ask as often as if they had much to tell, a thousand of them with
// two requests a second each.
func TestRoutersAskAsOftenAsTheyHaveSomethingToTell(t *testing.T) {
	tests := map[string]struct {
		requests          float64
		routers, keepers  int
		report, exchanges time.Duration
	}{
		"nothing to tell":         {0, 8, 3, DefaultWait, LeastWait},
		"little":                  {2.5, 1000, 25, 400 * time.Millisecond, 400 * time.Millisecond},
		"twice the fleet":         {2.5, 2000, 50, 400 * time.Millisecond, DefaultWait},
		"a small fleet at work":   {60, 8, 3, LeastWait, LeastWait},
		"a larger one at work":    {11, 195, 5, 195 * time.Millisecond, 195 * time.Millisecond},
		"less than one in a wait": {0.1, 8, 3, DefaultWait, LeastWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.report, ReportWaitFor(test.requests, test.routers, test.keepers))
			require.Equal(t, test.exchanges, ExchangeWaitFor(test.routers, test.keepers))
		})
	}
}
