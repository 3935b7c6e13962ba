package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// epoch is the keeper's epoch in tests that need none in particular.
const epoch = 77

var testStart = time.Unix(1000, 0)

// Guards against uses of routers that no longer report, and against keepers that count as routers.
func TestUsesAreSummedOverReportingRouters(t *testing.T) {
	var d directory
	for node, tokens := range map[string]uint64{"a": 100, "b": 50} {
		d.follow(testStart, &messenger.FollowRequest{Node: node, Uses: []*messenger.Use{{Workspace: "club", Asked: tokens}}})
	}
	d.follow(testStart, &messenger.FollowRequest{Node: "keeper", Keeper: true})
	response := d.updatesFor(testStart, &messenger.FollowRequest{Node: "a"}, epoch)
	require.EqualValues(t, 2, response.GetRouters())
	require.EqualValues(t, 150, response.GetUses()[0].GetAsked())
	d.expire(testStart.Add(followerMemory + 1))
	response = d.updatesFor(testStart, &messenger.FollowRequest{Node: "a"}, epoch)
	require.Zero(t, response.GetRouters())
	require.Empty(t, response.GetUses())
}

// Guards against routers that overload engines which other routers have filled, or avoid idle
// engines, because they know their own load only, or a stale load of the others.
func TestLoadsAreSummedOverTheOtherRouters(t *testing.T) {
	var d directory
	report := func(node string, endpoint uint64, unread uint32) *messenger.FollowRequest {
		request := &messenger.FollowRequest{Node: node, Epoch: epoch, Loads: []*messenger.Load{{Endpoint: endpoint, Unread: unread}}}
		d.follow(testStart, request)
		return request
	}
	received := func(request *messenger.FollowRequest) map[uint64]uint32 {
		response := d.updatesFor(testStart, request, epoch)
		loads := make(map[uint64]uint32)
		for _, at := range response.GetLoads() {
			loads[at.GetEndpoint()] = at.GetUnread()
		}
		return loads
	}
	report("a", 7, 1000)
	report("a", 7, 500) // replaces the previous report
	report("b", 7, 2000)
	own := report("c", 9, 100)
	require.Equal(t, map[uint64]uint32{7: 2500}, received(own))
	require.Equal(t, map[uint64]uint32{7: 500, 9: 100}, received(report("b", 7, 3000)))
	require.Empty(t, received(&messenger.FollowRequest{Node: "keeper", Keeper: true}))
	d.expire(testStart.Add(reportTTL + 1))
	require.Empty(t, d.totalSums.loads, "stale reports count no more")
	d.follow(testStart.Add(reportTTL+2), &messenger.FollowRequest{Node: "a"})
	require.Empty(t, d.totalSums.loads, "a stale report is subtracted only once")
}

// Guards against a router that misses endpoints after its keeper has restarted, because it asks
// for changes after a revision of the keeper's previous epoch.
func TestRestartedKeeperSendsFullList(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	d.receiveHeartbeat(testStart, endpointAt("a", 1, lister.Ready))
	request := &messenger.FollowRequest{Node: "r", Epoch: epoch - 1, After: 500}
	require.True(t, d.hasFollowUpdate(request, epoch))
	response := d.updatesFor(testStart, request, epoch)
	require.Len(t, response.GetListings(), 1)
}

// Guards against a heartbeat that another keeper misses because it is sent in one poll only.
func TestRecentHeartbeatsAreSentRepeatedly(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	d.receiveHeartbeat(testStart, endpointAt("a", 4, lister.Ready))
	for range 2 {
		recent := d.recentHeartbeats(testStart.Add(time.Second), time.Time{})
		require.Len(t, recent, 1)
		require.EqualValues(t, 4, recent[0].GetSequence())
	}
	require.Empty(t, d.recentHeartbeats(testStart.Add(3*time.Second), time.Time{}))
}

// Guards against a workspace that gets almost nothing for two seconds after its clients moved
// from one router to another: 7,428 thousand tokens refused by share in a second in which 5
// thousand were admitted.
//
// A flood makes a router lag and stop polling; it is taken out of service, and its clients reach
// another router. If keepers keep counting the last report of the first router, most of the
// share belongs to a router that gets no requests.
func TestStaleReportStopsCounting(t *testing.T) {
	var d directory
	now := time.Unix(1000, 0)
	report := func(node string, tokens uint64) {
		d.follow(now, &messenger.FollowRequest{Node: node, Uses: []*messenger.Use{{Workspace: "flood", Asked: tokens}}})
	}
	report("left", 4_000_000)
	report("reached", 100)
	for range 3 {
		now = now.Add(400 * time.Millisecond)
		report("reached", 1_000_000)
		d.expire(now)
	}
	uses := d.updatesFor(now, &messenger.FollowRequest{Node: "reached"}, 1).GetUses()
	require.Len(t, uses, 1)
	require.Equal(t, uint64(1_000_000), uses[0].GetAsked())
	require.Equal(t, uint32(2), summarizeRouters(now, d.followers).routers, "a router whose report is stale still counts as a router")
}

// Guards against a workspace whose clients all reach one router and get half the throughput of
// a workspace with the same demand. A flood makes that router lag; it reads the engines' answers
// late and estimates a long backlog. If each router computes shares from its own estimate
// instead of the median of all routers, the lagging router gives its workspaces less.
func TestOutlierBacklogDoesNotMoveMedian(t *testing.T) {
	tests := map[string]struct {
		reported map[string]uint32
		want     uint32
	}{
		"nobody reports": {},
		"one":            {reported: map[string]uint32{"a": 80}, want: 80},
		"two":            {reported: map[string]uint32{"a": 80, "b": 90}, want: 80},
		"one is late":    {reported: map[string]uint32{"a": 80, "b": 97, "late": 60_000}, want: 97},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d directory
			d.follow(testStart, &messenger.FollowRequest{Node: "keeper", Keeper: true, BacklogMs: 1})
			for node, backlog := range test.reported {
				d.follow(testStart, &messenger.FollowRequest{Node: node, BacklogMs: backlog})
			}
			median := func(now time.Time) uint32 {
				return d.updatesFor(now, &messenger.FollowRequest{Node: "a"}, epoch).GetBacklogMs()
			}
			require.Equal(t, test.want, median(testStart))
			require.Equal(t, test.want, median(testStart.Add(routerSummaryTTL-1)))
			require.Zero(t, median(testStart.Add(reportTTL+1)), "stale reports count no more")
		})
	}
}
