package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var bound = Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// newBudgets returns the budgets of routers that have run for long.
func newBudgets(routers int) []*Budgeter {
	budgets := make([]*Budgeter, routers)
	for i := range budgets {
		budgets[i] = &Budgeter{Bound: bound}
		budgets[i].SetRouters(routers)
	}
	return budgets
}

// Guards against a retry storm, in which failing endpoints get more retries than they can handle.
// Random requests and retries at several routers are compared with the bound in every sliding
// window.
func TestRoutersTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 5).Draw(t, "routers")
		budgets := newBudgets(routers)
		now := time.Unix(1000, 0)
		var requests, spent []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "desk")
				requests = append(requests, now)
			} else if b.Spend(now, "desk") {
				spent = append(spent, now)
			}
			allowed := bound.Ratio*float64(countWithin(requests, now)) + bound.Slack
			require.LessOrEqual(t, float64(countWithin(spent, now)), allowed)
		}
	})
}

// Guards against a retry storm beside a planned restart of all routers in turn: each forgets what it has spent.
func TestRestartedRoutersStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 5).Draw(t, "routers")
		budgets, restarted := newBudgets(routers), make([]time.Time, routers)
		now := time.Unix(1000, 0)
		var requests, spent []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if now.Sub(restarted[i]) > 2*bound.Window {
					budgets[i] = &Budgeter{Bound: bound, Started: now}
					budgets[i].SetRouters(routers)
					restarted[i] = now
				}
			case 1, 2:
				budgets[i].Request(now, "desk")
				requests = append(requests, now)
			default:
				if budgets[i].Spend(now, "desk") {
					spent = append(spent, now)
				}
			}
			allowed := bound.Ratio*float64(countWithin(requests, now)) + bound.Slack
			require.LessOrEqual(t, float64(countWithin(spent, now)), allowed)
		}
	})
}

// Guards against a router that keeps back the constant for longer than its former retries count.
func TestRestartedRouterGetsItsShareBack(t *testing.T) {
	started := time.Unix(1000, 0)
	b := &Budgeter{Bound: bound, Started: started}
	spend := func(now time.Time) (count int) {
		for b.Spend(now, "desk") {
			count++
		}
		return count
	}
	require.Equal(t, 15, spend(started))
	require.Equal(t, 35, spend(started.Add(bound.Window+bound.Window/buckets+time.Millisecond)))
}

func countWithin(times []time.Time, now time.Time) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) <= bound.Window {
			count++
		}
	}
	return count
}

func TestBudgetRecovers(t *testing.T) {
	b := &Budgeter{Bound: bound}
	now := time.Unix(1000, 0)
	spend := func() int {
		count := 0
		for b.Spend(now, "desk") {
			count++
		}
		return count
	}
	require.Equal(t, 35, spend(), "seven tenths of the constant")
	require.True(t, b.Spend(now, "other"), "each service has its own budget")
	now = now.Add(9 * time.Second)
	require.Zero(t, spend())
	now = now.Add(3 * time.Second)
	require.Equal(t, 35, spend())
}

func TestConstantIsDividedAmongRouters(t *testing.T) {
	b := &Budgeter{Bound: bound}
	b.SetRouters(35)
	now := time.Unix(1000, 0)
	require.True(t, b.Spend(now, "desk"))
	require.False(t, b.Spend(now, "desk"))
}
