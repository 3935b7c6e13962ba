package server

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

// A stream of a router that was killed together with its keeper was known to nobody.
func TestRecordsOfStreamsReachEveryKeeper(t *testing.T) {
	group := startSeededGroup(t, 3)
	begun := versioner.ToWire([]versioner.Record{{Stream: 7, Origin: versioner.Origin{Service: "desk", Version: "v1"}}})
	tell := func() error {
		_, err := group[0].planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router", Begun: begun})
		return err
	}
	require.Eventually(t, func() bool { return tell() == nil }, waitTimeout, 10*time.Millisecond)
	for _, keeper := range group {
		require.Eventually(t, func() bool {
			told, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: 7})
			return err == nil && told.GetService() == "desk" && told.GetVersion() == "v1"
		}, waitTimeout, 10*time.Millisecond)
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

// A router was told of no endpoint of a rare version, or of one that takes no work.
func TestEndpointsOfAVersionAreLocated(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &directory{}
	d.list.Interval = time.Second
	beat := func(id, version string, state lister.State) {
		d.beat(now, lister.Listing{
			ID: id, Service: "desk", Zone: "hall", Slots: 4, State: state, Version: version, Sequence: 1, Started: now,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(d.heard) + 1)}), 80),
		})
	}
	for i := range 20 {
		beat(fmt.Sprint("common-", i), "v1", lister.Ready)
	}
	beat("rare", "v2", lister.Ready)
	beat("leaving", "v2", lister.Leaving)
	beat("unknown", "", lister.Ready)
	locate := func(node, version string) (ids []string) {
		for _, l := range d.locate(&messenger.LocateRequest{Service: "desk", Version: version, Node: node}) {
			ids = append(ids, l.ID)
		}
		return ids
	}
	require.Equal(t, []string{"rare"}, locate("router-1", "v2"))
	require.Len(t, locate("router-1", "v1"), mostLocated)
	require.NotEqual(t, locate("router-1", "v1"), locate("router-2", "v1"), "each router uses others")
	require.Empty(t, locate("router-1", "v3"))
}
