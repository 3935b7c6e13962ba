package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flooded router that calls all of the flood's clients back to itself, while its
// neighbours have room.
func TestFloodedRouterSendsNewClientsElsewhere(t *testing.T) {
	tests := map[string]struct {
		refused    float64
		own, fleet float64
		routers    int64
		away       bool
	}{
		"nothing is refused":             {routers: 64},
		"most is refused here only":      {refused: 0.9, own: 1e6, fleet: 1e6, routers: 64, away: true},
		"the fleet has not heard yet":    {refused: 0.9, own: 1e6, routers: 64, away: true},
		"a little is refused":            {refused: 0.4, own: 1e6, fleet: 1e6, routers: 64},
		"one of eight of sixty-four":     {refused: 0.9, own: 1e6, fleet: 8e6, routers: 64, away: true},
		"one of nine":                    {refused: 0.9, own: 1e6, fleet: 9e6, routers: 64},
		"one of sixteen, twice the size": {refused: 0.9, own: 1e6, fleet: 16e6, routers: 128, away: true},
		"the only one of a few":          {refused: 0.9, own: 1e6, fleet: 1e6, routers: 3, away: true},
		"one of two of a few":            {refused: 0.9, own: 1e6, fleet: 2e6, routers: 3},
		"the only router":                {refused: 0.9, own: 1e6, fleet: 1e6, routers: 1},
		"only requests without shares":   {refused: 0.9, routers: 64},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s shedder
			s.routers.Store(test.routers)
			now := time.Unix(1000, 0)
			require.False(t, s.look(now, test.refused, test.own, test.fleet), "it may be over soon")
			require.False(t, s.look(now.Add(crowdedTime-1), test.refused, test.own, test.fleet))
			now = now.Add(crowdedTime)
			require.Equal(t, test.away, s.look(now, test.refused, test.own, test.fleet))
			require.Equal(t, test.away, s.away.Load())
			require.False(t, s.look(now.Add(shedTime-1), 0, 0, 0), "it stays away for its time")
			require.Equal(t, test.away, s.look(now.Add(shedTime), 0, 0, 0))
			require.False(t, s.away.Load())
		})
	}
}

func TestFloodedRouterIsNotReady(t *testing.T) {
	i := newInstanceOf(t, `{"name":"desk","engine":{"slots":1,"kv_capacity_tokens":1000}}`)
	i.shares.SetCapacity(1000)
	i.routers(64)
	require.True(t, i.ready())
	for range 1 + crowdedTime/sweepPause {
		require.True(t, i.ready())
		i.flood(t, 4000, sweepPause)
		i.shed()
	}
	require.False(t, i.ready())
	i.clock.Advance(shedTime)
	i.shed()
	require.True(t, i.ready(), "the flood is over")
}
