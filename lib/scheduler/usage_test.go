package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// Guards against an engine that unloads a model while a request of another zone uses it
// in a lent slot, because only the pool's own requests count as usage.
func TestUsageCountsWaitingRunningAndLent(t *testing.T) {
	p := newLendingPair(t, 3)
	require.Equal(t, map[string]scheduler.ModelUsage{"draft": {Waiting: 3}}, p.near.pool.Usage().Models)
	p.exchange()
	require.Equal(t, map[string]scheduler.ModelUsage{"draft": {Waiting: 2, Running: 1}}, p.near.pool.Usage().Models)
	require.Equal(t, map[string]int{"draft": 1}, p.far.pool.Usage().Endpoints["b"].Models)
	require.Empty(t, p.far.pool.Usage().Models)

	p.near.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour, Load: 0})
	require.Equal(t, map[string]int{"draft": 1}, p.near.pool.Usage().Endpoints["a"].Models)
	require.NotContains(t, p.near.pool.Usage().Endpoints, "b", "it belongs to the other zone")
}
