package pacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small instance whose flood asks for far more than it can start.
const (
	arrivals = 2000 // a second
	cores    = 0.192
	refusal  = 60 * time.Microsecond // of a core
	begin    = 900 * time.Microsecond
	length   = 12 * time.Second
	settled  = 2 * time.Second
)

// flood plays it and returns the starts a second and the latest look, once it has settled. Held
// is by how much a look is late besides what there is to do; it may be nil.
func flood(starts *Rate, held func(at time.Duration) time.Duration) (perSecond float64, latest time.Duration) {
	p := Pacer{Starts: starts}
	now, backlog, started := time.Unix(1000, 0), time.Duration(0), 0
	for at := time.Duration(0); at < length; at += step {
		for range arrivals * step / time.Second {
			cost := refusal
			if starts.Room(now) {
				starts.Take(now, "flood")
				cost = begin
				if at >= settled {
					started++
				}
			}
			backlog += time.Duration(float64(cost) / cores)
			now = now.Add(time.Second / arrivals)
		}
		backlog = max(backlog-step, 0)
		late := backlog
		if held != nil {
			late += held(at)
		}
		p.Look(late)
		if at >= settled {
			latest = max(latest, backlog)
		}
	}
	return float64(started) / (length - settled).Seconds(), latest
}

// Symptom: requests that a router has read reach their endpoints 1.2 s later, half of them
// after their clients have left. Sequence: a flood's requests come to one small router;
// 150 of them begin at one moment. Cause: only what was under way was bounded, and what
// begins takes most of a request's processor time.
func TestStartsFollowWhatAProcessCanDo(t *testing.T) {
	tests := map[string]struct {
		starts *Rate
		late   time.Duration // at most, once it has settled
	}{
		"paced":   {starts: &Rate{Begin: 150, Least: 20}, late: 100 * time.Millisecond},
		"unpaced": {starts: &Rate{}, late: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started, latest := flood(test.starts, nil)
			require.Less(t, latest, test.late)
			if test.starts.Begin == 0 {
				require.Greater(t, latest, 10*time.Second, "without it the process is late without bound")
				return
			}
			// What refusals leave is worth 80 starts a second.
			require.Greater(t, started, 60.0)
		})
	}
}

// Guards against a router that serves half of what it could: each moment at which it was held
// up, by a collection of garbage or many connections at once, cut its starts, although most
// looks found it on time.
func TestMomentsDoNotHoldStartsBack(t *testing.T) {
	const (
		every = 8 * step
		held  = 80 * time.Millisecond
	)
	started, _ := flood(&Rate{Begin: 150, Least: 20}, func(at time.Duration) time.Duration {
		if at%every == 0 {
			return held
		}
		return 0
	})
	// What refusals leave is worth 80 starts a second.
	require.Greater(t, started, 60.0)
}

func TestRateWithoutABound(t *testing.T) {
	var none *Rate
	now := time.Unix(1000, 0)
	none.Take(now, "flood")
	none.Look(time.Second)
	require.True(t, none.Room(now))
	var zero Rate
	for range 1000 {
		require.True(t, zero.Room(now))
		zero.Take(now, "flood")
	}
	require.Zero(t, zero.Value())
}

func TestRateFallsToItsLeastAndComesBack(t *testing.T) {
	r := &Rate{Begin: 100, Least: 10}
	for range 100 {
		r.Look(time.Second)
	}
	require.InDelta(t, 10, r.Value(), 1e-9)
	for range 100 {
		r.Look(0)
	}
	require.InDelta(t, 10, r.Value(), 1e-9, "nobody was held up")
	now := time.Unix(1000, 0)
	for range 200 {
		for r.Room(now) {
			r.Take(now, "flood")
		}
		r.Look(0)
		now = now.Add(step)
	}
	require.Greater(t, r.Value(), 100.0)
}

// Symptom: a small workspace gets nothing at a router that another one floods. Cause:
// whoever came while nothing was left was held up.
func TestFloodLeavesOthersTheirPart(t *testing.T) {
	r := &Rate{Begin: 100, Least: 100}
	now, started := time.Unix(1000, 0), map[string]int{}
	for i := range 8000 { // 2,000 a second
		now = now.Add(500 * time.Microsecond)
		who := "flood"
		if i%100 == 0 { // 20 a second, beside 100 that are possible
			who = "small"
		}
		if r.Room(now) || !r.Crowds(now, who) {
			r.Take(now, who)
			started[who]++
		}
	}
	require.Equal(t, 80, started["small"])
	require.InDelta(t, 4*100-80, started["flood"], 60, "and what they leave is used")
}

func TestManyWhoAskAreBounded(t *testing.T) {
	r := &Rate{Begin: 1e6, Least: 100}
	now := time.Unix(1000, 0)
	for i := range 2 * maxAsking {
		r.Take(now, fmt.Sprint("club-", i))
	}
	require.LessOrEqual(t, len(r.younger), maxAsking+1)
	require.True(t, r.Crowds(now, "one more"))
	now = now.Add(2 * span)
	require.False(t, r.Crowds(now, "one more"))
}
