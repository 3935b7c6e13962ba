package subscriber

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a poll load of keepers that grows with the fleet, and against waits in the
// largest fleet that are too long to detect a lost keeper in time.
func TestPollWaitScalesWithTheFleet(t *testing.T) {
	tests := map[string]struct {
		routers, keepers int
		primary, others  time.Duration
	}{
		"an empty fleet":     {0, 0, MinWait, DefaultWait},
		"a small fleet":      {7, 3, MinWait, DefaultWait},
		"one keeper":         {40, 1, 200 * time.Millisecond, DefaultWait},
		"a fleet of 60":      {60, 6, MinWait, maxBriefWait},
		"the whole fleet":    {1000, 25, 200 * time.Millisecond, maxBriefWait},
		"twice as large":     {2000, 50, 200 * time.Millisecond, maxBriefWait},
		"a fleet of 200":     {200, 5, 200 * time.Millisecond, 800 * time.Millisecond},
		"two years from now": {410, 5, 410 * time.Millisecond, maxBriefWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.primary, WaitFor(test.routers, test.keepers))
			require.Equal(t, test.others, BriefWaitFor(test.routers, test.keepers))
		})
	}
}

// Guards against routers that poll more often than their request rate requires, such as a
// thousand routers with two requests a second each.
func TestReportRateFollowsRequestRate(t *testing.T) {
	tests := map[string]struct {
		requests          float64
		routers, keepers  int
		report, exchanges time.Duration
	}{
		"no requests":             {0, 8, 3, DefaultWait, MinWait},
		"little":                  {2.5, 1000, 25, 400 * time.Millisecond, 400 * time.Millisecond},
		"twice the fleet":         {2.5, 2000, 50, 400 * time.Millisecond, DefaultWait},
		"a small fleet at work":   {60, 8, 3, MinWait, MinWait},
		"a larger one at work":    {11, 195, 5, 195 * time.Millisecond, 195 * time.Millisecond},
		"less than one in a wait": {0.1, 8, 3, DefaultWait, MinWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.report, ReportWaitFor(test.requests, test.routers, test.keepers))
			require.Equal(t, test.exchanges, ExchangeWaitFor(test.routers, test.keepers))
		})
	}
}
