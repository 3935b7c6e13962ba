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

// withdrawals counts the retries that a workspace gets at one moment.
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
		"empty":                {want: 0},
		"earned by requests":   {requests: 10, want: 2},
		"earned by time":       {passed: 10 * time.Second, want: 5},
		"never above the most": {requests: 1000, passed: time.Hour, want: retrier.DefaultBurst},
	} {
		t.Run(name, func(t *testing.T) {
			var r retrier.Retrier
			require.Equal(t, retrier.DefaultBurst, withdrawals(&r, start, "club"))
			for range test.requests {
				r.Request(start, "club")
			}
			require.Equal(t, test.want, withdrawals(&r, start.Add(test.passed), "club"))
		})
	}
}

// Symptom: one workspace's failing requests leave others without retries.
// Sequence: a workspace uses up its budget; another's request breaks. Cause: a
// budget that all share.
func TestBudgetsAreApart(t *testing.T) {
	var r retrier.Retrier
	withdrawals(&r, start, "flood")
	require.True(t, r.Withdraw(start, "club"))
}

// TestBound checks the package's first invariant over random histories.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r retrier.Retrier
		now := start
		requests, retries := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				r.Request(now, "club")
				requests++
			case 1:
				if r.Withdraw(now, "club") {
					retries++
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		passed := max(now.Sub(start), 0) + 100*time.Second // time may have run backwards and on again
		bound := retrier.DefaultBurst + retrier.DefaultRatio*float64(requests) + retrier.DefaultTrickle*passed.Seconds()
		require.LessOrEqual(t, float64(retries), bound)
	})
}

// Symptom: memory grows with every workspace name ever seen. Sequence: many
// workspaces retry once. Cause: budgets that are never forgotten.
func TestBudgetsAreForgotten(t *testing.T) {
	var r retrier.Retrier
	for i := range 4096 {
		require.True(t, r.Withdraw(start, fmt.Sprint("workspace-", i)))
	}
	require.False(t, r.Withdraw(start, "one-more"), "beyond the bound there is no retry")
	require.True(t, r.Withdraw(start.Add(time.Minute), "one-more"), "full budgets are forgotten")
}

func TestPauseGrows(t *testing.T) {
	require.Zero(t, retrier.Pause(1))
	require.Equal(t, 50*time.Millisecond, retrier.Pause(2))
	require.Equal(t, 100*time.Millisecond, retrier.Pause(3))
	require.Equal(t, time.Second, retrier.Pause(30))
}
