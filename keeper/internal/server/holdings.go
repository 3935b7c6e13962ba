package server

import (
	"slices"
	"time"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// holdingsInterval is the minimum time between two answers to one follower that contain holdings. It
// bounds them to twice indexer.MaxReported per second. Entries are also shorter in few large answers
// than in many small ones.
const holdingsInterval = 500 * time.Millisecond

// holdings holds which engines cache which shared prefixes, as routers report it. Each keeper tells
// its peers what routers reported to it, and only that: with all entries passed on by all keepers,
// each entry would be sent over every link between keepers. A keeper that cannot reach a peer gets that
// peer's entries from the others. They are in memory only, and routers report them again. Its zero value is empty.
type holdings struct {
	all    indexer.Directory
	direct indexer.Directory // those that routers reported to this keeper first
	// relayed holds the entries that each peer sent first, by its control address.
	relayed map[string]*indexer.Directory
}

// receive merges the entries in a report of a router or another keeper. An entry that is known to be
// recent is not passed on: each keeper may have a router that reports a hot prefix.
func (h *holdings) receive(now time.Time, request *messenger.FollowRequest) {
	for _, holding := range indexer.FromWire(request.GetHoldings()) {
		if !h.all.Merge(now, holding) {
			continue
		}
		if request.GetKeeper() {
			h.relayedBy(request.GetAddress()).Merge(now, holding)
		} else {
			h.direct.Merge(now, holding)
		}
	}
}

// relayedBy returns the entries that a peer sent first.
func (h *holdings) relayedBy(keeper string) *indexer.Directory {
	known, found := h.relayed[keeper]
	if found {
		return known
	}
	if h.relayed == nil || len(h.relayed) >= maxPeerClients {
		h.relayed = make(map[string]*indexer.Directory)
	}
	added := &indexer.Directory{}
	h.relayed[keeper] = added
	return added
}

// mergeAnswer merges the entries in a peer's answer.
func (h *holdings) mergeAnswer(now time.Time, response *messenger.FollowResponse) {
	for _, holding := range indexer.FromWire(response.GetHoldings()) {
		h.all.Merge(now, holding)
	}
}

// removeEndpoint removes the entries of one lifetime of an engine.
func (h *holdings) removeEndpoint(endpoint uint64) {
	h.all.RemoveEndpoint(endpoint)
	h.direct.RemoveEndpoint(endpoint)
	for _, relayed := range h.relayed {
		relayed.RemoveEndpoint(endpoint)
	}
}

// answer adds the entries that a follower lacks to an answer: to a router that reports to this keeper,
// what has changed; to a keeper, what came from peers that it cannot reach. They are added to answers
// that are due for other reasons.
func (h *holdings) answer(now time.Time, known *follower, request *messenger.FollowRequest, epoch uint64, response *messenger.FollowResponse) {
	after := request.GetHoldingsAfter()
	if request.GetEpoch() != epoch {
		after = 0 // a revision of another process
	}
	response.HoldingsNext = after
	if request.GetBrief() || now.Sub(known.holdingsAt) < holdingsInterval {
		return
	}
	since := known.holdingsAt
	known.holdingsAt = now
	if request.GetKeeper() {
		response.Holdings = indexer.ToWire(h.fromUnreachable(now, since, request.GetUnheard()))
		return
	}
	var changed []indexer.Holding
	changed, response.HoldingsNext = h.all.Since(now, after)
	response.Holdings = indexer.ToWire(changed)
}

// fromUnreachable returns the entries that peers which another keeper cannot reach sent first, from a
// time on.
func (h *holdings) fromUnreachable(now, since time.Time, unreachable []string) []indexer.Holding {
	var lacking []indexer.Holding
	for _, keeper := range unreachable {
		if relayed, found := h.relayed[keeper]; found {
			lacking = slices.Concat(lacking, relayed.RefreshedSince(now, since))
		}
	}
	return lacking[:min(len(lacking), indexer.MaxReported)]
}

// changeEndpoint applies a change to the list, and removes the entries of an endpoint whose lifetime ends
// with it. It reports whether the list changed.
func (d *directory) changeEndpoint(id string, change func() bool) bool {
	before, found := d.list.Find(id)
	changed := change()
	after, _ := d.list.Find(id)
	d.mixed.observe(after)
	if found && endsLifetime(before, after) {
		d.holdings.removeEndpoint(balancer.Key(before))
	}
	return changed
}

// endsLifetime reports whether the lifetime of an endpoint has ended between two of its listings.
func endsLifetime(before, after lister.Listing) bool {
	return !before.Started.Equal(after.Started) || before.State != lister.Gone && after.State == lister.Gone
}

// holdingsCount returns the number of entries.
func (d *directory) holdingsCount(now time.Time) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.holdings.all.Len(now)
}

// mergeHoldings merges the entries in a peer's answer.
func (d *directory) mergeHoldings(now time.Time, response *messenger.FollowResponse) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.holdings.mergeAnswer(now, response)
}
