package server

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// Guards against shares or loads that count some routers twice or not at all: each router reports
// to one keeper only, the keepers exchange their sums, and a router moves to another keeper. Its
// old report then remains at the first keeper, or a keeper forwards the sums of its peers.
func TestReportsOfAllKeepersAreSummedOnce(t *testing.T) {
	use := func(asked uint64) []*messenger.Use { return []*messenger.Use{{Workspace: "club", Asked: asked}} }
	var a, b directory
	exchange := func() {
		for from, to := range map[*directory]*directory{&a: &b, &b: &a} {
			report := &messenger.FollowRequest{Node: "keeper", Keeper: true}
			from.summarize(testStart, time.Time{}, false, report)
			to.follow(testStart, report)
		}
	}
	report := func(d, other *directory, node string, asked uint64, backlog uint32) {
		d.follow(testStart, &messenger.FollowRequest{Node: node, Uses: use(asked), BacklogMs: backlog})
		other.follow(testStart, &messenger.FollowRequest{Node: node, Brief: true})
		a.summaryCache, b.summaryCache = routerSummaryCache{}, routerSummaryCache{}
	}
	check := func(message string) {
		exchange()
		a.summaryCache, b.summaryCache = routerSummaryCache{}, routerSummaryCache{}
		for _, d := range []*directory{&a, &b} {
			response := d.updatesFor(testStart, &messenger.FollowRequest{Node: "r-1", Epoch: epoch}, epoch)
			require.EqualValues(t, 60, response.GetUses()[0].GetAsked(), message)
			require.EqualValues(t, 3, response.GetReporting(), message)
			require.EqualValues(t, 3, response.GetRouters(), message)
			require.EqualValues(t, 20, response.GetBacklogMs(), message)
		}
	}
	report(&a, &b, "r-1", 10, 20)
	report(&a, &b, "r-2", 20, 20)
	report(&b, &a, "r-3", 30, 900)
	check("two routers at one keeper and one at the other")
	exchange()
	check("sums received from a peer are not sent back")
	report(&b, &a, "r-2", 20, 20)
	check("a router moved to another keeper")
	brief := a.updatesFor(testStart, &messenger.FollowRequest{Node: "r-3", Brief: true, Epoch: epoch}, epoch)
	require.True(t, brief.GetBrief())
	require.Empty(t, brief.GetUses())
}

// Guards against a router that, after its start, sends work to dead endpoints: the keepers that
// it polls briefly have reported those endpoints as silent before its first poll.
func TestBriefFollowerFirstReceivesExceptions(t *testing.T) {
	var d directory
	d.list.Interval = 1
	at := func(id string, host byte, state lister.State) lister.Listing {
		l := endpointAt(id, 1, state)
		l.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)
		return l
	}
	d.receiveHeartbeat(testStart, at("silent", 1, lister.Ready))
	d.receiveHeartbeat(testStart, at("leaving", 2, lister.Leaving))
	d.list.Expire(testStart.Add(lister.SilentHeartbeats + 1))
	d.receiveHeartbeat(testStart.Add(lister.SilentHeartbeats+1), at("well", 3, lister.Ready))
	listed := func(request *messenger.FollowRequest) []string {
		var ids []string
		for _, listing := range d.updatesFor(testStart, request, epoch).GetListings() {
			ids = append(ids, listing.GetId())
		}
		return ids
	}
	brief := func(after uint64) *messenger.FollowRequest {
		return &messenger.FollowRequest{Node: "r", Brief: true, Epoch: epoch, After: after}
	}
	require.ElementsMatch(t, []string{"silent", "leaving"}, listed(&messenger.FollowRequest{Node: "r", Brief: true}))
	require.ElementsMatch(t, []string{"silent", "leaving", "well"}, listed(&messenger.FollowRequest{Node: "r"}))
	before := d.list.Revision() - 1
	require.Empty(t, listed(brief(before)), "new endpoints are announced by the primary")
	require.False(t, d.hasFollowUpdate(brief(before), epoch), "and brief polls are not woken for them")
	require.True(t, d.hasFollowUpdate(&messenger.FollowRequest{Node: "r", Epoch: epoch, After: before}, epoch))
	before = d.list.Revision()
	again := at("silent", 1, lister.Ready)
	again.Sequence++
	d.receiveHeartbeat(testStart.Add(lister.SilentHeartbeats+2), again)
	require.True(t, d.hasFollowUpdate(brief(before), epoch))
	require.Equal(t, []string{"silent"}, listed(brief(before)), "it is no longer silent")
	d.leave(testStart.Add(lister.SilentHeartbeats+2), "well", time.Time{})
	require.Equal(t, []string{"silent", "well"}, listed(brief(before)), "it leaves")
	before = d.list.Revision()
	for host := range byte(maxSkippedChanges + 1) {
		d.receiveHeartbeat(testStart.Add(lister.SilentHeartbeats+2), at(fmt.Sprint("new-", host), 100+host, lister.Ready))
	}
	require.True(t, d.hasFollowUpdate(brief(before), epoch), "a new revision is sent, so that the next poll need not scan the list again")
	require.Empty(t, listed(brief(before)))
}
