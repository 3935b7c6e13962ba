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

// fill lets as many requests wait as there is room for.
func fill(l *limiter.Limiter, now time.Time, workspace string, bound int) int {
	count := 0
	for {
		if _, entered := l.Enter(now, workspace, bound); !entered {
			return count
		}
		count++
	}
}

// Symptom: a small workspace is refused while another floods. Sequence: one
// workspace, or several, send far more than their bounds; then a small one
// sends a request. Cause: a total that is given to whoever comes first.
func TestFloodLeavesRoom(t *testing.T) {
	for name, test := range map[string]struct {
		flooding, bound, entered int
	}{
		"one floods":     {flooding: 1, bound: 100, entered: 100},
		"several flood":  {flooding: 3, bound: 400, entered: 700 + limiter.Small},
		"bound is large": {flooding: 1, bound: 5000, entered: 700},
	} {
		t.Run(name, func(t *testing.T) {
			l := limiter.Limiter{Total: 800}
			entered := 0
			for i := range test.flooding {
				entered += fill(&l, start, fmt.Sprint("flood-", i), test.bound)
			}
			require.Equal(t, test.entered, entered)
			require.Equal(t, limiter.Small, fill(&l, start, "club", limiter.Small))
		})
	}
}

// Symptom: refused callers come back too early, again and again, or stay away
// while there is room. Sequence: a queue drains at a steady rate; one more
// caller is refused. Cause: a fixed Retry-After.
func TestRetryFollowsDrainRate(t *testing.T) {
	for name, test := range map[string]struct {
		every time.Duration // between two that leave
		least time.Duration
		most  time.Duration
	}{
		"quick":  {every: 10 * time.Millisecond, least: time.Second, most: time.Second},
		"steady": {every: time.Second, least: 18 * time.Second, most: 22 * time.Second},
		"slow":   {every: 20 * time.Second, least: time.Minute, most: time.Minute},
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
			require.GreaterOrEqual(t, retry, test.least)
			require.LessOrEqual(t, retry, test.most)
		})
	}
}

func TestStuckQueueSaysTheMost(t *testing.T) {
	l := limiter.Limiter{Total: 800}
	fill(&l, start, "club", 20)
	retry, _ := l.Enter(start, "club", 20)
	require.Equal(t, time.Second, retry, "nothing is known yet")
	retry, _ = l.Enter(start.Add(time.Minute), "club", 20)
	require.Equal(t, time.Minute, retry, "nothing has left for a minute")
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

// Symptom: memory grows with every workspace ever seen. Sequence: thousands of
// workspaces send one request each. Cause: drain rates that are never forgotten.
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
