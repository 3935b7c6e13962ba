package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// holdingsAt lets a router report holdings to a keeper and returns the answer.
func holdingsAt(d *directory, now time.Time, node string, after uint64, sent ...indexer.Holding) *messenger.FollowResponse {
	request := &messenger.FollowRequest{Node: node, Epoch: epoch, HoldingsAfter: after, Holdings: indexer.ToWire(sent)}
	d.follow(now, request)
	return d.updatesFor(now, request, epoch)
}

func TestHoldingsReachTheOtherRouters(t *testing.T) {
	var d directory
	held := indexer.Holding{Prefix: 1, Endpoint: 10}
	holdingsAt(&d, testStart, "a", 0, held)
	response := holdingsAt(&d, testStart, "b", 0)
	require.Equal(t, []indexer.Holding{held}, indexer.FromWire(response.GetHoldings()))
	require.Equal(t, 1, d.holdingsCount(testStart))
	later := testStart.Add(holdingsInterval)
	again := holdingsAt(&d, later, "b", response.GetHoldingsNext())
	require.Empty(t, again.GetHoldings(), "nothing has changed")
	holdingsAt(&d, later, "a", 0, indexer.Holding{Prefix: 2, Endpoint: 10})
	early := holdingsAt(&d, later, "b", again.GetHoldingsNext())
	require.Empty(t, early.GetHoldings(), "the last answer has just been sent")
	require.Equal(t, again.GetHoldingsNext(), early.GetHoldingsNext())
	response = holdingsAt(&d, later.Add(holdingsInterval), "b", early.GetHoldingsNext())
	require.Len(t, response.GetHoldings(), 1)
	require.Zero(t, d.holdingsCount(later.Add(indexer.TTL)))
}

// Guards against a router that gets the whole directory again after each poll, or nothing from a keeper
// that has restarted.
func TestHoldingsFollowTheEpoch(t *testing.T) {
	var d directory
	for prefix := range uint64(100) {
		holdingsAt(&d, testStart, "a", 0, indexer.Holding{Prefix: prefix, Endpoint: 10})
	}
	tests := map[string]struct {
		request *messenger.FollowRequest
		want    int
		next    uint64
	}{
		"a new router":           {request: &messenger.FollowRequest{Epoch: epoch}, want: 100, next: 100},
		"current":                {request: &messenger.FollowRequest{Epoch: epoch, HoldingsAfter: 100}, next: 100},
		"behind":                 {request: &messenger.FollowRequest{Epoch: epoch, HoldingsAfter: 90}, want: 10, next: 100},
		"of the former process":  {request: &messenger.FollowRequest{Epoch: epoch - 1, HoldingsAfter: 100}, want: 100, next: 100},
		"beyond, of a former":    {request: &messenger.FollowRequest{Epoch: epoch - 1, HoldingsAfter: 9000}, want: 100, next: 100},
		"brief":                  {request: &messenger.FollowRequest{Epoch: epoch, Brief: true}},
		"another keeper":         {request: &messenger.FollowRequest{Epoch: epoch, Keeper: true}},
		"a keeper, one is gone":  {request: &messenger.FollowRequest{Epoch: epoch, Keeper: true, Unheard: []string{"10.0.0.9:7400"}}},
		"brief, of former epoch": {request: &messenger.FollowRequest{Epoch: epoch - 1, Brief: true, HoldingsAfter: 90}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := test.request
			request.Node = name
			d.follow(testStart, request)
			response := d.updatesFor(testStart, request, epoch)
			require.Len(t, response.GetHoldings(), test.want)
			require.Equal(t, test.next, response.GetHoldingsNext())
		})
	}
}

// Guards against polls that are answered early because of holdings: a fleet refreshes hundreds of
// entries per second, and each would wake all polls of all routers.
func TestHoldingsDoNotWakePolls(t *testing.T) {
	var d directory
	request := &messenger.FollowRequest{Node: "b", Epoch: epoch}
	require.False(t, d.follow(testStart, request))
	changed := d.follow(testStart, &messenger.FollowRequest{Node: "a", Holdings: indexer.ToWire([]indexer.Holding{{Prefix: 1, Endpoint: 10}})})
	require.False(t, changed)
	require.False(t, d.hasFollowUpdate(request, epoch))
}

// Guards against answers and memory that grow with the number of prefixes in use.
func TestHoldingsAreBounded(t *testing.T) {
	var d directory
	for node := range 100 {
		sent := make([]indexer.Holding, 0, indexer.MaxReported)
		for i := range indexer.MaxReported {
			sent = append(sent, indexer.Holding{Prefix: uint64(node*indexer.MaxReported + i), Endpoint: 1 + uint64(i%140)})
		}
		holdingsAt(&d, testStart, fmt.Sprint("r-", node), 0, sent...)
	}
	response := holdingsAt(&d, testStart, "new", 0)
	require.Len(t, response.GetHoldings(), indexer.MaxReported)
	require.Equal(t, indexer.MaxEntries, d.holdingsCount(testStart))
	for _, f := range d.followers {
		require.Empty(t, f.report.GetHoldings(), "reports are not kept")
	}
}

// Guards against fetches from an engine that has lost its cache, and against a late listing of an earlier
// lifetime that removes the entries of the current one.
func TestHoldingsEndWithTheirEndpoint(t *testing.T) {
	listing := endpointAt("a", 1, lister.Ready)
	listing.Started = testStart
	restarted, gone, late := listing, listing, listing
	restarted.Started, restarted.Sequence = testStart.Add(time.Second), 1
	gone.State, gone.Sequence = lister.Gone, 2
	late.State, late.Started = lister.Gone, testStart.Add(-time.Second)
	tombstone := lister.Listing{ID: "a", State: lister.Gone}
	tests := map[string]struct {
		next lister.Listing
		want int
	}{
		"the same":                     {next: listing, want: 1},
		"restarted":                    {next: restarted},
		"gone":                         {next: gone},
		"the end of an earlier one":    {next: late, want: 1},
		"its end without a start":      {next: tombstone},
		"another endpoint of the list": {next: endpointAt("b", 1, lister.Gone), want: 1},
	}
	for name, test := range tests {
		for _, merged := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " merged: ", merged), func(t *testing.T) {
				var d directory
				d.list.Interval = time.Second
				d.receiveHeartbeat(testStart, listing)
				holdingsAt(&d, testStart, "a", 0, indexer.Holding{Prefix: 1, Endpoint: balancer.Key(listing)})
				require.Equal(t, 1, d.holdingsCount(testStart))
				if merged {
					d.merge(testStart, "keeper", []*messenger.Listing{lister.ToWire(test.next, testStart)})
				} else {
					d.receiveHeartbeat(testStart, test.next)
				}
				require.Equal(t, test.want, d.holdingsCount(testStart))
			})
		}
	}
}

// Guards against fetches from an engine that announced its departure to this keeper.
func TestHoldingsEndWhenTheirEndpointLeaves(t *testing.T) {
	tests := map[string]struct {
		id      string
		started time.Time
		want    int
	}{
		"without a start":     {id: "a"},
		"with its start":      {id: "a", started: testStart},
		"an earlier lifetime": {id: "a", started: testStart.Add(-time.Second), want: 1},
		"a later lifetime":    {id: "a", started: testStart.Add(time.Second)},
		"another endpoint":    {id: "b", want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d directory
			listing := endpointAt("a", 1, lister.Ready)
			listing.Started = testStart
			d.receiveHeartbeat(testStart, listing)
			holdingsAt(&d, testStart, "r", 0, indexer.Holding{Prefix: 1, Endpoint: balancer.Key(listing)})
			d.leave(testStart, test.id, test.started)
			require.Equal(t, test.want, d.holdingsCount(testStart))
		})
	}
}

// Guards against a keeper that forgets the entries of all peers with each entry, once it has met many
// peers.
func TestEntriesOfKnownPeersAreKept(t *testing.T) {
	var h holdings
	for peer := range maxPeerClients {
		require.True(t, h.relayedBy(fmt.Sprint("keeper-", peer)).Merge(testStart, indexer.Holding{Prefix: 1, Endpoint: 10}))
	}
	require.Equal(t, 1, h.relayedBy("keeper-0").Len(testStart))
	require.Len(t, h.relayed, maxPeerClients)
	require.Zero(t, h.relayedBy("another").Len(testStart))
	require.Len(t, h.relayed, 1, "the number of peers is bounded")
}

// holdingsGroup is a group of keepers that exchange holdings.
type holdingsGroup struct {
	keepers []*directory
	cut     map[[2]int]bool
	sent    int // entries in all reports and answers between keepers
	polled  map[[2]int]time.Time
}

func newHoldingsGroup(size int) *holdingsGroup {
	g := &holdingsGroup{cut: make(map[[2]int]bool), polled: make(map[[2]int]time.Time)}
	for range size {
		g.keepers = append(g.keepers, &directory{})
	}
	return g
}

// exchange lets each keeper poll every other one that it reaches.
func (g *holdingsGroup) exchange(now time.Time) {
	address := func(number int) string { return fmt.Sprint("keeper-", number) }
	for from, d := range g.keepers {
		var unreachable []string
		for to := range g.keepers {
			if g.cut[[2]int{from, to}] {
				unreachable = append(unreachable, address(to))
			}
		}
		for to, other := range g.keepers {
			path := [2]int{from, to}
			if from == to || g.cut[path] {
				continue
			}
			request := &messenger.FollowRequest{Node: address(from), Address: address(from), Keeper: true, Epoch: epoch, Unheard: unreachable}
			d.summarize(now, g.polled[path], false, request)
			g.polled[path] = now
			g.sent += len(request.GetHoldings())
			other.follow(now, request)
			response := other.updatesFor(now, request, epoch)
			g.sent += len(response.GetHoldings())
			d.mergeHoldings(now, response)
		}
	}
}

// Guards against an entry that each keeper passes on to each other one, and against one that circulates
// among keepers after routers have stopped to report it.
func TestKeepersExchangeEachHoldingOnce(t *testing.T) {
	g := newHoldingsGroup(6)
	held := indexer.Holding{Prefix: 1, Endpoint: 10}
	now := testStart
	for i, d := range g.keepers { // routers at all keepers report it, the first one earlier
		holdingsAt(d, now, fmt.Sprint("r-", i), 0, held)
		if i == 0 {
			now = now.Add(time.Millisecond)
			g.exchange(now)
		}
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		g.exchange(now)
	}
	require.Equal(t, 5, g.sent)
	for _, d := range g.keepers {
		require.Equal(t, 1, d.holdingsCount(now))
		require.Zero(t, d.holdingsCount(now.Add(time.Second)))
	}
}

// Guards against routers that don't learn what the routers of another keeper have sent, because their
// keeper has no link to that one.
func TestHoldingsAreRelayedAroundABrokenLink(t *testing.T) {
	g := newHoldingsGroup(3)
	g.cut[[2]int{0, 1}], g.cut[[2]int{1, 0}] = true, true
	now := testStart
	received := make(map[uint64]bool)
	after := uint64(0)
	for i := range uint64(40) {
		now = now.Add(100 * time.Millisecond)
		holdingsAt(g.keepers[0], now, "near", 0, indexer.Holding{Prefix: 1 + i%10, Endpoint: 10})
		g.exchange(now)
		response := holdingsAt(g.keepers[1], now, "far", after)
		after = response.GetHoldingsNext()
		for _, holding := range indexer.FromWire(response.GetHoldings()) {
			received[holding.Prefix] = true
		}
	}
	require.Len(t, received, 10)
	before := g.sent
	g.cut = make(map[[2]int]bool)
	g.exchange(now.Add(indexer.TTL))
	require.Equal(t, before, g.sent, "nothing old is sent when the link works again")
}
