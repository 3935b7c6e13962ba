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

// Guards against a stream whose origin is lost when its router and that router's keeper are killed
// together: the record must reach every keeper.
func TestStreamOriginsReachEveryKeeper(t *testing.T) {
	group := startSeededGroup(t, 3)
	begun := versioner.ToWire([]versioner.Record{{Stream: 7, Origin: versioner.Origin{Service: "desk", Version: "v1"}}})
	send := func() error {
		_, err := group[0].planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router", Begun: begun})
		return err
	}
	require.Eventually(t, func() bool { return send() == nil }, waitTimeout, 10*time.Millisecond)
	for _, keeper := range group {
		require.Eventually(t, func() bool {
			response, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: 7})
			return err == nil && response.GetService() == "desk" && response.GetVersion() == "v1"
		}, waitTimeout, 10*time.Millisecond)
		response, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: 8})
		require.NoError(t, err)
		require.Empty(t, response.GetVersion(), "a stream without a record")
		_, err = keeper.planning.Recall(t.Context(), &messenger.RecallRequest{})
		require.Error(t, err)
	}
}

// Guards against records that keepers relay to one another forever, or that do not reach a keeper
// that was cut off for a moment.
func TestOriginRecordsAreRelayedForLimitedTime(t *testing.T) {
	start := time.Unix(1000, 0)
	var s streamOrigins
	receive := func(now time.Time, stream uint64, keeper bool) {
		s.receive(now, &messenger.FollowRequest{Keeper: keeper, Begun: []*messenger.Begun{{Service: "desk", Version: "v1", Streams: []uint64{stream}}}})
	}
	relayed := func(now, from time.Time) (streams []uint64) {
		for _, record := range versioner.FromWire(s.since(now, from)) {
			streams = append(streams, record.Stream)
		}
		return streams
	}
	receive(start, 1, false)
	receive(start.Add(time.Second), 2, false)
	receive(start.Add(time.Second), 3, true) // from another keeper, which relays it itself
	now := start.Add(2 * time.Second)
	require.Equal(t, []uint64{1, 2}, relayed(now, time.Time{}))
	require.Equal(t, []uint64{2}, relayed(now, start.Add(time.Second)))
	require.Empty(t, relayed(now, now))
	require.Equal(t, []uint64{2}, relayed(start.Add(relayRetention+time.Second), time.Time{}))
	require.Empty(t, relayed(start.Add(2*relayRetention), time.Time{}))
	receive(now, 1, false)
	require.Empty(t, relayed(now, now), "a known record is not relayed again")
}

// Guards against a router that finds no endpoint of a rare version, or one that takes no work.
func TestEndpointsOfAVersionAreLocated(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &directory{}
	d.list.Interval = time.Second
	beat := func(id, version string, state lister.State) {
		d.receiveHeartbeat(now, lister.Listing{
			ID: id, Service: "desk", Zone: "hall", Slots: 4, State: state, Version: version, Sequence: 1, Started: now,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(d.heartbeats) + 1)}), 80),
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
	require.Len(t, locate("router-1", "v1"), maxLocated)
	require.NotEqual(t, locate("router-1", "v1"), locate("router-2", "v1"), "each router gets other endpoints")
	require.Empty(t, locate("router-1", "v3"))
}

// Guards against a stream whose record is lost with its router, because the router does not know that its
// service has several versions.
func TestServicesOfSeveralVersionsAreTold(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string // of the endpoints, in the order of their heartbeats
		gone     bool     // the first endpoint leaves
		later    time.Duration
		mixed    []string
	}{
		"none":                      {},
		"one":                       {versions: []string{"v1", "v1"}},
		"two":                       {versions: []string{"v1", "v2"}, mixed: []string{"desk"}},
		"a new one, then the old":   {versions: []string{"v1", "v2", "v1"}, mixed: []string{"desk"}},
		"one is not named":          {versions: []string{"v1", ""}, mixed: []string{"desk"}},
		"the former has just left":  {versions: []string{"v1", "v2"}, gone: true, later: 10 * time.Second, mixed: []string{"desk"}},
		"the former left long ago":  {versions: []string{"v1", "v2"}, gone: true, later: 2 * time.Minute},
		"both have been lost since": {versions: []string{"v1", "v2"}, later: 2 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			d := &directory{}
			d.list.Interval = time.Second
			beat := func(now time.Time, i int, sequence uint64) {
				d.receiveHeartbeat(now, lister.Listing{
					ID: fmt.Sprint("i-", i), Service: "desk", Zone: "hall", Slots: 4, State: lister.Ready, Version: test.versions[i],
					Sequence: sequence, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
				})
			}
			mixed := func(now time.Time, brief bool) []string {
				return d.updatesFor(now, &messenger.FollowRequest{Node: "router", Brief: brief}, epoch).GetMixed()
			}
			for i := range test.versions {
				beat(testStart, i, 1)
			}
			if test.later == 0 {
				require.Equal(t, test.mixed, mixed(testStart, false), "at once")
			}
			if test.gone {
				d.leave(testStart, "i-0", time.Time{})
			}
			now := testStart.Add(test.later)
			d.expire(now)
			if test.gone {
				beat(now, 1, 2)
			}
			d.expire(now)
			require.Equal(t, test.mixed, mixed(now, false))
			require.Equal(t, test.mixed, mixed(now, true), "from a keeper that does not get the reports")
		})
	}
}

// Guards against the origin of a stream that a keeper has confirmed and does not pass on.
func TestConfirmedOriginsReachEveryKeeper(t *testing.T) {
	group := startSeededGroup(t, 2)
	begun := versioner.ToWire([]versioner.Record{{Stream: 7, Origin: versioner.Origin{Service: "desk", Version: "v1"}}, {Stream: 8, Origin: versioner.Origin{Service: "desk"}}})
	require.Eventually(t, func() bool {
		_, err := group[0].planning.Begin(t.Context(), &messenger.BeginRequest{Begun: begun})
		return err == nil
	}, waitTimeout, 10*time.Millisecond)
	for _, keeper := range group {
		for stream, version := range map[uint64]string{7: "v1", 8: ""} {
			require.Eventually(t, func() bool {
				response, err := keeper.planning.Recall(t.Context(), &messenger.RecallRequest{Stream: stream})
				return err == nil && response.GetRecorded() && response.GetVersion() == version
			}, waitTimeout, 10*time.Millisecond)
		}
	}
}

// Guards against origins of streams that a keeper which was cut off for some seconds, or has started again, never
// hears of.
func TestKeeperThatWasAwayHearsOfOrigins(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		away  time.Duration
		epoch uint64 // of the keeper when it is back
		want  int
	}{
		"cut off for 10 s":                        {10 * time.Second, 1, 1},
		"started again at once":                   {100 * time.Millisecond, 2, 2},
		"started again after 10 s":                {10 * time.Second, 2, 2},
		"away for longer than origins are of use": {versioner.Retention + time.Second, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s streamOrigins
			var d deliveryTimes
			peer := freeAddress()
			begin := func(at time.Time, stream uint64) {
				s.receive(at, &messenger.FollowRequest{Begun: []*messenger.Begun{{Service: "desk", Version: "v1", Streams: []uint64{stream}}}})
			}
			poll := func(at time.Time, epoch uint64) (told int) {
				since, _ := d.begin(at, peer)
				told = len(versioner.FromWire(s.since(at, since)))
				d.acknowledge(peer, epoch)
				return told
			}
			begin(start, 1)
			require.Equal(t, 1, poll(start.Add(time.Microsecond), 1))
			begin(start.Add(time.Millisecond), 2)
			back := start.Add(test.away)
			told := poll(back, test.epoch)
			if test.epoch != 1 {
				told = poll(back, test.epoch) // the answer to the poll before shows that it has started again
			}
			require.Equal(t, test.want, told)
		})
	}
}
