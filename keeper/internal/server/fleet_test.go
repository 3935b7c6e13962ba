package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against routers that each take a larger part of what all share, as of the budget for
// requests that are sent once more, where their keeper hears a part of them only.
func TestFleetCountsAsLargeAsItWas(t *testing.T) {
	var f fleet
	now := began
	sizes := func(pause time.Duration, count uint32) [2]uint32 {
		now = now.Add(pause)
		most, expected := f.sizes(now, count)
		return [2]uint32{most, expected}
	}
	require.Equal(t, [2]uint32{300, 300}, sizes(0, 300))
	require.Equal(t, [2]uint32{1000, 1000}, sizes(time.Second, 1000), "it grows at once")
	require.Equal(t, [2]uint32{1000, 1000}, sizes(time.Second, 400))
	require.Equal(t, [2]uint32{1000, 400}, sizes(followerMemory, 400), "reports are soon expected of the others only")
	require.Equal(t, [2]uint32{1000, 400}, sizes(fleetMemory-followerMemory-2*time.Second, 400))
	require.Equal(t, [2]uint32{400, 400}, sizes(2*time.Second, 400))
	require.Equal(t, [2]uint32{7, 7}, sizes(time.Hour, 7))
}
