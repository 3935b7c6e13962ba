package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against routers that each take a larger part of a shared resource, such as the retry
// budget, because their keeper receives the reports of some routers only.
func TestFleetSizeKeepsRecentMaximum(t *testing.T) {
	var f fleetSize
	now := testStart
	sizes := func(pause time.Duration, count uint32) [2]uint32 {
		now = now.Add(pause)
		most, expected := f.observe(now, count)
		return [2]uint32{most, expected}
	}
	require.Equal(t, [2]uint32{300, 300}, sizes(0, 300))
	require.Equal(t, [2]uint32{1000, 1000}, sizes(time.Second, 1000), "it grows at once")
	require.Equal(t, [2]uint32{1000, 1000}, sizes(time.Second, 400))
	require.Equal(t, [2]uint32{1000, 400}, sizes(followerMemory, 400), "after followerMemory, reports of the remaining routers only are expected")
	require.Equal(t, [2]uint32{1000, 400}, sizes(fleetSizeWindow-followerMemory-2*time.Second, 400))
	require.Equal(t, [2]uint32{400, 400}, sizes(2*time.Second, 400))
	require.Equal(t, [2]uint32{7, 7}, sizes(time.Hour, 7))
}
