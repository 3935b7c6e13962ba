package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

const epoch = 77

var began = time.Unix(1000, 0)

// Symptom: one request takes down an endpoint after the other, through a
// different router each time. Cause: each router counted by itself.
func TestCrashesAreCountedOverAllRouters(t *testing.T) {
	var d directory
	report := func(node string, count uint32) bool {
		return d.follow(began, &messenger.FollowRequest{Node: node, Crashes: []*messenger.Crash{{Digest: 7, Count: count}}})
	}
	quarantined := func() int {
		response := d.news(began, &messenger.FollowRequest{Node: "other", Epoch: epoch}, epoch)
		return len(response.GetQuarantined())
	}
	require.False(t, report("a", 1))
	require.False(t, report("a", 1), "the same report again counts nothing")
	require.Zero(t, quarantined())
	require.True(t, report("b", 1), "everyone is told at once")
	require.Equal(t, 1, quarantined())
	d.follow(began, &messenger.FollowRequest{Node: "late"})
	request := &messenger.FollowRequest{Node: "late", Epoch: epoch, After: d.list.Revision()}
	require.True(t, d.fresh(request, epoch), "also those that follow later")
	d.news(began, request, epoch)
	require.False(t, d.fresh(request, epoch))
	d.pass(began.Add(crashMemory + time.Second))
	require.Zero(t, quarantined(), "it is forgiven in the end")
}

func TestUsesAreSummedOverRoutersThatAreHeard(t *testing.T) {
	var d directory
	for node, asked := range map[string]uint64{"a": 100, "b": 50} {
		d.follow(began, &messenger.FollowRequest{Node: node, Uses: []*messenger.Use{{Workspace: "club", Asked: asked}}})
	}
	d.follow(began, &messenger.FollowRequest{Node: "keeper", Keeper: true})
	response := d.news(began, &messenger.FollowRequest{Node: "a"}, epoch)
	require.EqualValues(t, 2, response.GetRouters())
	require.EqualValues(t, 150, response.GetUses()[0].GetAsked())
	d.pass(began.Add(followerMemory + 1))
	response = d.news(began, &messenger.FollowRequest{Node: "a"}, epoch)
	require.Zero(t, response.GetRouters())
	require.Empty(t, response.GetUses())
}

// Symptom: routers fill up engines that others have filled, or keep work away from
// idle ones. Cause: each knew its own load only, or what others had long ended.
func TestLoadsAreSummedOverTheOtherRouters(t *testing.T) {
	var d directory
	report := func(node string, endpoint uint64, unread uint32) *messenger.FollowRequest {
		request := &messenger.FollowRequest{Node: node, Epoch: epoch, Loads: []*messenger.Load{{Endpoint: endpoint, Unread: unread}}}
		d.follow(began, request)
		return request
	}
	told := func(request *messenger.FollowRequest) map[uint64]uint32 {
		response := d.news(began, request, epoch)
		loads := make(map[uint64]uint32)
		for _, at := range response.GetLoads() {
			loads[at.GetEndpoint()] = at.GetUnread()
		}
		return loads
	}
	report("a", 7, 1000)
	report("a", 7, 500) // replaces the former one
	report("b", 7, 2000)
	own := report("c", 9, 100)
	require.Equal(t, map[uint64]uint32{7: 2500}, told(own))
	require.Equal(t, map[uint64]uint32{7: 500, 9: 100}, told(report("b", 7, 3000)))
	require.Empty(t, told(&messenger.FollowRequest{Node: "keeper", Keeper: true}))
	d.pass(began.Add(reportTTL + 1))
	require.Empty(t, d.whole.loads, "what is old is believed no more")
	d.follow(began.Add(reportTTL+2), &messenger.FollowRequest{Node: "a"})
	require.Empty(t, d.whole.loads, "and is taken off once")
}

// Symptom: a router that follows a keeper that has restarted misses endpoints.
// Cause: it asked for what came after a number of the keeper's former life.
func TestRestartedKeeperTellsEverythingAgain(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	d.beat(began, endpointAt("a", 1, lister.Ready))
	request := &messenger.FollowRequest{Node: "r", Epoch: epoch - 1, After: 500}
	require.True(t, d.fresh(request, epoch))
	response := d.news(began, request, epoch)
	require.Len(t, response.GetListings(), 1)
}

func TestRecentHeartbeatsAreToldMoreThanOnce(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	d.beat(began, endpointAt("a", 4, lister.Ready))
	for range 2 {
		recent := d.recent(began.Add(time.Second), time.Time{})
		require.Len(t, recent, 1)
		require.EqualValues(t, 4, recent[0].GetSequence())
	}
	require.Empty(t, d.recent(began.Add(3*time.Second), time.Time{}))
}

// What users saw: a workspace whose clients moved from one router to another got next to
// nothing there for two seconds.
//
// Order of events: a flood makes a router late, and its polls end; it is taken out of
// service, and its clients reach another one. Cause: keepers went on counting what the
// first had last told, so that most of the share belonged to a router that nobody reached
// any more.
//
// Evidence: the second router's ledger named 7,428 thousand tokens refused by share in a
// second in which it let 5 thousand in.
func TestRouterThatStopsTellingIsSoonNotCounted(t *testing.T) {
	var d directory
	now := time.Unix(1000, 0)
	tell := func(node string, asked uint64) {
		d.follow(now, &messenger.FollowRequest{Node: node, Uses: []*messenger.Use{{Workspace: "flood", Asked: asked}}})
	}
	tell("left", 4_000_000)
	tell("reached", 100)
	for range 3 {
		now = now.Add(400 * time.Millisecond)
		tell("reached", 1_000_000)
		d.pass(now)
	}
	uses := d.news(now, &messenger.FollowRequest{Node: "reached"}, 1).GetUses()
	require.Len(t, uses, 1)
	require.Equal(t, uint64(1_000_000), uses[0].GetAsked())
	require.Equal(t, uint32(2), summarizeRouters(now, d.followers).routers, "it still counts as a router")
}

// Symptom: a workspace whose clients all reach one router gets half of what another one
// gets that asks for as much. Sequence: the flood makes its router late; what engines
// answer is heard late there, so that they look slow. Cause: each router set the shares of
// its requests by what it believed of the engines itself.
func TestOneRouterThatErrsMovesNoShare(t *testing.T) {
	tests := map[string]struct {
		believed map[string]uint32
		want     uint32
	}{
		"nobody reports": {},
		"one":            {believed: map[string]uint32{"a": 80}, want: 80},
		"two":            {believed: map[string]uint32{"a": 80, "b": 90}, want: 80},
		"one is late":    {believed: map[string]uint32{"a": 80, "b": 97, "late": 60_000}, want: 97},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d directory
			d.follow(began, &messenger.FollowRequest{Node: "keeper", Keeper: true, BacklogMs: 1})
			for node, backlog := range test.believed {
				d.follow(began, &messenger.FollowRequest{Node: node, BacklogMs: backlog})
			}
			told := func(now time.Time) uint32 {
				return d.news(now, &messenger.FollowRequest{Node: "a"}, epoch).GetBacklogMs()
			}
			require.Equal(t, test.want, told(began))
			require.Equal(t, test.want, told(began.Add(routerSummaryTTL-1)))
			require.Zero(t, told(began.Add(reportTTL+1)), "silent routers count no more")
		})
	}
}
