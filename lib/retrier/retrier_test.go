package retrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/retrier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// withdrawals withdraws until the workspace's budget is empty, and returns the
// number of retries.
func withdrawals(r *retrier.Retrier, now time.Time, workspace string) int {
	count := 0
	for r.Withdraw(now, workspace) {
		count++
	}
	return count
}

func TestBudget(t *testing.T) {
	for name, test := range map[string]struct {
		requests int
		passed   time.Duration
		want     int
	}{
		"empty":                  {want: 0},
		"deposited by requests":  {requests: 10, want: 2},
		"refilled by time":       {passed: 10 * time.Second, want: 5},
		"limited to the maximum": {requests: 1000, passed: time.Hour, want: retrier.DefaultBurst},
	} {
		t.Run(name, func(t *testing.T) {
			var r retrier.Retrier
			require.Equal(t, retrier.DefaultBurst, withdrawals(&r, start, "club"))
			for range test.requests {
				r.Deposit(start, "club")
			}
			require.Equal(t, test.want, withdrawals(&r, start.Add(test.passed), "club"))
		})
	}
}

// Guards against one workspace's failing requests using up the retries of others:
// a workspace spends its whole budget, then a request of another workspace fails.
func TestBudgetsAreIndependent(t *testing.T) {
	var r retrier.Retrier
	withdrawals(&r, start, "flood")
	require.True(t, r.Withdraw(start, "club"))
}

// TestBound checks the bound on retries (the package's first invariant) over
// random sequences of requests, retries and time steps.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r retrier.Retrier
		now := start
		requests, retries := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				r.Deposit(now, "club")
				requests++
			case 1:
				if r.Withdraw(now, "club") {
					retries++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		passed := max(now.Sub(start), 0) + 100*time.Second // slack: the clock may have gone backwards and forwards again
		bound := retrier.DefaultBurst + retrier.DefaultRatio*float64(requests) + retrier.DefaultRefillPerSecond*passed.Seconds()
		require.LessOrEqual(t, float64(retries), bound)
	})
}

// Guards against memory growth with the number of workspace names: many workspaces
// retry once, and their budgets must be evicted once they are full again.
func TestFullBudgetsAreEvicted(t *testing.T) {
	var r retrier.Retrier
	for i := range 4096 {
		require.True(t, r.Withdraw(start, fmt.Sprint("workspace-", i)))
	}
	require.False(t, r.Withdraw(start, "one-more"), "a workspace beyond the bound gets no retry")
	require.True(t, r.Withdraw(start.Add(time.Minute), "one-more"), "full budgets are evicted")
}

func TestPauseGrows(t *testing.T) {
	require.Zero(t, retrier.Pause(1))
	require.Equal(t, 50*time.Millisecond, retrier.Pause(2))
	require.Equal(t, 100*time.Millisecond, retrier.Pause(3))
	require.Equal(t, time.Second, retrier.Pause(30))
}
