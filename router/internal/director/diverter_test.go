package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flooded router that attracts all of the flood's clients again by reporting ready,
// while other routers have capacity.
func TestFloodedRouterSendsNewClientsElsewhere(t *testing.T) {
	tests := map[string]struct {
		refused    float64
		own, fleet float64
		routers    int64
		diverts    bool
	}{
		"nothing is refused":                  {routers: 64},
		"most is refused here only":           {refused: 0.9, own: 1e6, fleet: 1e6, routers: 64, diverts: true},
		"the fleet's sums do not have it yet": {refused: 0.9, own: 1e6, routers: 64, diverts: true},
		"a little is refused":                 {refused: 0.4, own: 1e6, fleet: 1e6, routers: 64},
		"one of eight of sixty-four":          {refused: 0.9, own: 1e6, fleet: 8e6, routers: 64, diverts: true},
		"one of nine":                         {refused: 0.9, own: 1e6, fleet: 9e6, routers: 64},
		"one of sixteen, twice the size":      {refused: 0.9, own: 1e6, fleet: 16e6, routers: 128, diverts: true},
		"the only one of a few":               {refused: 0.9, own: 1e6, fleet: 1e6, routers: 3, diverts: true},
		"one of two of a few":                 {refused: 0.9, own: 1e6, fleet: 2e6, routers: 3},
		"the only router":                     {refused: 0.9, own: 1e6, fleet: 1e6, routers: 1},
		"only requests without shares":        {refused: 0.9, routers: 64},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s diverter
			s.routers.Store(test.routers)
			now := time.Unix(1000, 0)
			require.False(t, s.update(now, test.refused, test.own, test.fleet), "a short overload diverts nobody")
			require.False(t, s.update(now.Add(minOverloadTime-1), test.refused, test.own, test.fleet))
			now = now.Add(minOverloadTime)
			require.Equal(t, test.diverts, s.update(now, test.refused, test.own, test.fleet))
			require.Equal(t, test.diverts, s.diverting.Load())
			require.False(t, s.update(now.Add(divertTime-1), 0, 0, 0), "a diversion lasts for divertTime")
			require.Equal(t, test.diverts, s.update(now.Add(divertTime), 0, 0, 0))
			require.False(t, s.diverting.Load())
		})
	}
}

func TestFloodedRouterIsNotReady(t *testing.T) {
	i := newInstanceOf(t, `{"name":"desk","engine":{"slots":1,"kv_capacity_tokens":1000}}`)
	i.shares.SetCapacity(1000)
	i.updateRouterCount(64)
	require.True(t, i.ready())
	for range 1 + minOverloadTime/sweepInterval {
		require.True(t, i.ready())
		i.flood(t, 4000, sweepInterval)
		i.updateDiversion()
	}
	require.False(t, i.ready())
	i.clock.Advance(divertTime)
	i.updateDiversion()
	require.True(t, i.ready(), "the flood is over")
}
