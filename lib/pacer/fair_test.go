package pacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFairLevel(t *testing.T) {
	tests := map[string]struct {
		used     []int
		capacity float64
		want     float64
	}{
		"nobody":                 {capacity: 10, want: 10},
		"one":                    {used: []int{20}, capacity: 10, want: 10},
		"a flood and small ones": {used: []int{100, 1, 2, 1}, capacity: 10, want: 6},
		"two floods":             {used: []int{50, 2, 50}, capacity: 10, want: 4},
		"too many":               {used: []int{3, 3, 3, 3}, capacity: 8, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, FairLevel(test.used, test.capacity), 1e-9)
		})
	}
}

// Guards against a full process that sorts and allocates for each refusal, and against a level that stays
// in force after the use has changed.
func TestLevelIsComputedOncePerInterval(t *testing.T) {
	var l Level
	now := time.Unix(1000, 0)
	used := map[string]int{"a": 100, "b": 1}
	counted := 0
	values := func(yield func(int) bool) {
		counted++
		for _, count := range used {
			if !yield(count) {
				return
			}
		}
	}
	require.InDelta(t, 9, l.At(now, 10, values), 1e-9)
	used["b"] = 4
	require.Zero(t, testing.AllocsPerRun(100, func() { l.At(now.Add(levelAge-1), 10, values) }))
	require.Equal(t, 1, counted)
	require.InDelta(t, 6, l.At(now.Add(levelAge), 10, values), 1e-9)
	require.Equal(t, 2, counted)
}

// Guards against workspaces with few requests being refused because another one floods the router: with
// thirty of them, an even part of these 200 starts per second is six.
func TestFloodLeavesStartsToSmallClients(t *testing.T) {
	const smallClients, perSpan = 30, 2
	now := time.Unix(1000, 0)
	r := &Rate{Min: 200, Initial: 200}
	refused, flood := 0, 0
	for range 20 {
		for small := range smallClients {
			for range perSpan {
				now = now.Add(countSpan / (smallClients * perSpan))
				name := fmt.Sprint("small-", small)
				for range 5 {
					if r.Available(now) || !r.ExceedsShare(now, "flood") {
						r.Take(now, "flood")
						flood++
					}
				}
				if !r.Available(now) && r.ExceedsShare(now, name) {
					refused++
					continue
				}
				r.Take(now, name)
			}
		}
	}
	require.Zero(t, refused)
	require.Positive(t, flood, "what the small ones leave is used")
	require.Less(t, float64(flood), 10*200*0.75)
}

// Guards against a router that refuses everything for long after owed requests alone have exceeded its
// start rate, and against late requests being started while they do.
func TestStartDebtIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Rate{Min: 100, Initial: 100}
	require.False(t, r.Exhausted(now))
	for range 10_000 {
		r.Take(now, "w")
	}
	require.True(t, r.Exhausted(now))
	now = now.Add(maxStartDebt - debtThreshold + time.Millisecond)
	require.False(t, r.Exhausted(now))
	require.False(t, r.Available(now))
	now = now.Add(debtThreshold)
	require.True(t, r.Available(now))
	require.False(t, (&Rate{}).Exhausted(now))
}
