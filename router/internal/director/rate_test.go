package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flooded router that keeps reporting to the keepers as seldom as an idle one.
func TestRateFollowsABurstAtOnce(t *testing.T) {
	var r rateMeter
	now, count := time.Unix(1000, 0), uint64(100)
	take := func(pause time.Duration, more uint64) float64 {
		now, count = now.Add(pause), count+more
		return r.update(now, count)
	}
	require.Zero(t, take(0, 0), "the count before the first update is ignored")
	require.InDelta(t, 2, take(500*time.Millisecond, 2), 0.01)
	require.InDelta(t, 4, take(500*time.Millisecond, 2), 0.01)
	require.InDelta(t, 80, take(100*time.Millisecond, 80), 0.01)
	require.InDelta(t, 82, take(900*time.Millisecond, 2), 0.01)
	require.InDelta(t, 82, take(500*time.Millisecond, 0), 0.01)
	require.Zero(t, take(500*time.Millisecond, 0))
}
