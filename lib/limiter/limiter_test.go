package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fill adds requests until one is refused, and returns the number of admitted ones.
func fill(l *limiter.Limiter, now time.Time, workspace string, bound int) int {
	count := 0
	for {
		if _, entered := l.Enter(now, workspace, bound); !entered {
			return count
		}
		count++
	}
}

// Guards against a small workspace that is refused while one or several others send far more than
// their bounds, because the total is given out in arrival order.
func TestFloodLeavesCapacityForSmallWorkspaces(t *testing.T) {
	for name, test := range map[string]struct {
		flooding, bound, entered int
	}{
		"one workspace floods":     {flooding: 1, bound: 100, entered: 100},
		"several workspaces flood": {flooding: 3, bound: 400, entered: 700 + limiter.SmallQueue},
		"bound is large":           {flooding: 1, bound: 5000, entered: 700},
	} {
		t.Run(name, func(t *testing.T) {
			l := limiter.Limiter{Total: 800}
			entered := 0
			for i := range test.flooding {
				entered += fill(&l, start, fmt.Sprint("flood-", i), test.bound)
			}
			require.Equal(t, test.entered, entered)
			require.Equal(t, limiter.SmallQueue, fill(&l, start, "club", limiter.SmallQueue))
		})
	}
}

// Guards against refused clients that retry too early again and again, or stay away while there is
// capacity, because Retry-After does not follow the rate at which the queue drains.
func TestRetryFollowsDrainRate(t *testing.T) {
	for name, test := range map[string]struct {
		every   time.Duration // interval between two requests that leave
		atLeast time.Duration
		atMost  time.Duration
	}{
		"quick":  {every: 10 * time.Millisecond, atLeast: time.Second, atMost: time.Second},
		"steady": {every: time.Second, atLeast: 18 * time.Second, atMost: 22 * time.Second},
		"slow":   {every: 20 * time.Second, atLeast: time.Minute, atMost: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			l := limiter.Limiter{Total: 800}
			now := start
			fill(&l, now, "club", 20)
			for range 50 {
				now = now.Add(test.every)
				l.Leave(now, "club", true)
				fill(&l, now, "club", 20)
			}
			retry, entered := l.Enter(now, "club", 20)
			require.False(t, entered)
			require.GreaterOrEqual(t, retry, test.atLeast)
			require.LessOrEqual(t, retry, test.atMost)
		})
	}
}

func TestStuckQueueGivesMaxRetry(t *testing.T) {
	l := limiter.Limiter{Total: 800}
	fill(&l, start, "club", 20)
	retry, _ := l.Enter(start, "club", 20)
	require.Equal(t, time.Second, retry, "no drain rate is known yet")
	retry, _ = l.Enter(start.Add(time.Minute), "club", 20)
	require.Equal(t, time.Minute, retry, "no request has left for a minute")
}

func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limiter.Limiter{Total: rapid.IntRange(0, 40).Draw(t, "total")}
		bound := rapid.IntRange(1, 20).Draw(t, "bound")
		waiting := map[string]int{}
		total := 0
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			workspace := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace")
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "enter") {
				retry, entered := l.Enter(now, workspace, bound)
				if entered {
					waiting[workspace]++
					total++
				} else {
					require.GreaterOrEqual(t, retry, time.Second)
					require.LessOrEqual(t, retry, time.Minute)
				}
			} else if waiting[workspace] > 0 {
				l.Leave(now, workspace, rapid.Bool().Draw(t, "served"))
				waiting[workspace]--
				total--
			}
			require.LessOrEqual(t, waiting[workspace], bound)
			require.LessOrEqual(t, total, l.Total)
			require.Equal(t, total, l.Waiting())
		}
	})
}

// Guards against memory that grows with every workspace ever seen, because drain rates are never
// dropped: thousands of workspaces send one request each.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	l := limiter.Limiter{Total: 8000}
	for i := range 4096 {
		name := fmt.Sprint("workspace-", i)
		_, entered := l.Enter(start, name, 1)
		require.True(t, entered)
		l.Leave(start, name, true)
	}
	_, entered := l.Enter(start, "one-more", 1)
	require.False(t, entered)
	_, entered = l.Enter(start.Add(5*time.Minute), "one-more", 1)
	require.True(t, entered)
}
