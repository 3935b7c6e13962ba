package pacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small instance that gets a flood of far more requests than it can start.
const (
	arrivalRate   = 2000 // requests per second
	cores         = 0.192
	refusalCost   = 60 * time.Microsecond // of one core
	startCost     = 900 * time.Microsecond
	floodDuration = 12 * time.Second
	warmUp        = 2 * time.Second
)

// flood simulates the flood and returns the starts per second and the largest backlog after the
// warm-up. Pause is an additional lateness of each sample beside the backlog; it may be nil.
func flood(starts *Rate, pause func(at time.Duration) time.Duration) (perSecond float64, largest time.Duration) {
	p := Pacer{Starts: starts}
	now, backlog, started := time.Unix(1000, 0), time.Duration(0), 0
	for at := time.Duration(0); at < floodDuration; at += sampleInterval {
		for range arrivalRate * sampleInterval / time.Second {
			cost := refusalCost
			if starts.Available(now) {
				starts.Take(now, "flood")
				cost = startCost
				if at >= warmUp {
					started++
				}
			}
			backlog += time.Duration(float64(cost) / cores)
			now = now.Add(time.Second / arrivalRate)
		}
		backlog = max(backlog-sampleInterval, 0)
		late := backlog
		if pause != nil {
			late += pause(at)
		}
		p.Observe(late)
		if at >= warmUp {
			largest = max(largest, backlog)
		}
	}
	return float64(started) / (floodDuration - warmUp).Seconds(), largest
}

// Guards against requests that reach their endpoints 1.2 s after the router has read them, half of
// them after their clients have left: 150 requests of a flood begin at one moment on one small
// router. A bound on the requests in flight alone allows that, because the start takes most of a
// request's processor time.
func TestStartsFollowCapacity(t *testing.T) {
	tests := map[string]struct {
		starts *Rate
		late   time.Duration // upper bound after the warm-up
	}{
		"paced":   {starts: &Rate{Initial: 150, Min: 20}, late: 100 * time.Millisecond},
		"unpaced": {starts: &Rate{}, late: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started, largest := flood(test.starts, nil)
			require.Less(t, largest, test.late)
			if test.starts.Initial == 0 {
				require.Greater(t, largest, 10*time.Second, "without pacing the lateness is unbounded")
				return
			}
			// The processor time that refusals leave suffices for 80 starts per second.
			require.Greater(t, started, 60.0)
		})
	}
}

// Guards against a router that serves half of its capacity because each moment at which it is held
// up, by a garbage collection or by many connections at once, lowers its starts, although most
// samples find it on time.
func TestShortPausesDoNotLowerStarts(t *testing.T) {
	const (
		every = 8 * sampleInterval
		pause = 80 * time.Millisecond
	)
	started, _ := flood(&Rate{Initial: 150, Min: 20}, func(at time.Duration) time.Duration {
		if at%every == 0 {
			return pause
		}
		return 0
	})
	// The processor time that refusals leave suffices for 80 starts per second.
	require.Greater(t, started, 60.0)
}

func TestUnboundedRate(t *testing.T) {
	var none *Rate
	now := time.Unix(1000, 0)
	none.Take(now, "flood")
	none.Adapt(time.Second)
	require.True(t, none.Available(now))
	var zero Rate
	for range 1000 {
		require.True(t, zero.Available(now))
		zero.Take(now, "flood")
	}
	require.Zero(t, zero.Value())
}

func TestRateFallsToMinimumAndRecovers(t *testing.T) {
	r := &Rate{Initial: 100, Min: 10}
	for range 100 {
		r.Adapt(time.Second)
	}
	require.InDelta(t, 10, r.Value(), 1e-9)
	for range 100 {
		r.Adapt(0)
	}
	require.InDelta(t, 10, r.Value(), 1e-9, "no request was held back")
	now := time.Unix(1000, 0)
	for range 200 {
		for r.Available(now) {
			r.Take(now, "flood")
		}
		r.Adapt(0)
		now = now.Add(sampleInterval)
	}
	require.Greater(t, r.Value(), 100.0)
}

// Guards against a small workspace that gets nothing at a router which another workspace floods,
// because every request that comes while no token is left is held back.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	r := &Rate{Initial: 100, Min: 100}
	now, started := time.Unix(1000, 0), map[string]int{}
	for i := range 8000 { // 2,000 per second
		now = now.Add(500 * time.Microsecond)
		client := "flood"
		if i%100 == 0 { // 20 per second, of a capacity of 100
			client = "small"
		}
		if r.Available(now) || !r.ExceedsShare(now, client) {
			r.Take(now, client)
			started[client]++
		}
	}
	require.Equal(t, 80, started["small"])
	require.InDelta(t, 4*100-80, started["flood"], 60, "the flood uses what the small workspace leaves")
}

func TestTrackedClientsAreBounded(t *testing.T) {
	r := &Rate{Initial: 1e6, Min: 100}
	now := time.Unix(1000, 0)
	for i := range 2 * maxClients {
		r.Take(now, fmt.Sprint("club-", i))
	}
	require.LessOrEqual(t, len(r.recent), maxClients+1)
	require.True(t, r.ExceedsShare(now, "one more"))
	now = now.Add(2 * countSpan)
	require.False(t, r.ExceedsShare(now, "one more"))
}
