package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

// A stream of a router that was killed together with its keeper was known to nobody.
func TestRecordsOfStreamsReachEveryKeeper(t *testing.T) {
	group := seededGroup(t, 3)
	begun := versioner.ToWire([]versioner.Record{{Stream: 7, Origin: versioner.Origin{Service: "desk", Version: "v1"}}})
	tell := func() error {
		_, err := group[0].planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router", Begun: begun})
		return err
	}
	require.Eventually(t, func() bool { return tell() == nil }, patience, 10*time.Millisecond)
	for _, keeper := range group {
		require.Eventually(t, func() bool {
			told, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: 7})
			return err == nil && told.GetService() == "desk" && told.GetVersion() == "v1"
		}, patience, 10*time.Millisecond)
		told, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: 8})
		require.NoError(t, err)
		require.Empty(t, told.GetVersion(), "a stream that nobody told")
		_, err = keeper.planning.Recall(t.Context(), &messenger.RecallRequest{})
		require.Error(t, err)
	}
}

// Records were told on for ever between keepers, or not to one that was cut off for a moment.
func TestRecordsAreToldOnForAWhile(t *testing.T) {
	start := time.Unix(1000, 0)
	var s streams
	tell := func(now time.Time, stream uint64, keeper bool) {
		s.take(now, &messenger.FollowRequest{Keeper: keeper, Begun: []*messenger.Begun{{Service: "desk", Version: "v1", Streams: []uint64{stream}}}})
	}
	told := func(now, from time.Time) (streams []uint64) {
		for _, record := range versioner.FromWire(s.since(now, from)) {
			streams = append(streams, record.Stream)
		}
		return streams
	}
	tell(start, 1, false)
	tell(start.Add(time.Second), 2, false)
	tell(start.Add(time.Second), 3, true) // another keeper's routers: that one tells it
	now := start.Add(2 * time.Second)
	require.Equal(t, []uint64{1, 2}, told(now, time.Time{}))
	require.Equal(t, []uint64{2}, told(now, start.Add(time.Second)))
	require.Empty(t, told(now, now))
	require.Equal(t, []uint64{2}, told(start.Add(passTime+time.Second), time.Time{}))
	require.Empty(t, told(start.Add(2*passTime), time.Time{}))
	tell(now, 1, false)
	require.Empty(t, told(now, now), "it was told before")
}
