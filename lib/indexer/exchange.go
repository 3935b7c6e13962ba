package indexer

import (
	"net/netip"
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// reportRetention is how long an entry is kept for a report that no keeper has acknowledged. Messages
// contain no ages: an older entry would be taken for one that was refreshed when it arrives.
const reportRetention = RefreshInterval

// Exchange is a router's directory and what it exchanges with its keepers about it, as a part of its
// polls. Entries are reported until a keeper has answered the report. Its zero value is empty. It is
// safe for concurrent use.
type Exchange struct {
	mutex      sync.Mutex
	directory  Directory
	unreported []sentPrefix // oldest first
	// firstNumber is the sequence number of unreported[0], counted since the start.
	firstNumber uint64
	reportEnd   map[netip.AddrPort]uint64 // sequence number after the last entry in the current report to a keeper
	after       map[netip.AddrPort]uint64 // revision of each keeper's directory in its last answer
	// heardAt is when a keeper last sent an entry; until one has, when the first entry was added.
	heardAt time.Time
}

// sentPrefix is an entry that is to be reported.
type sentPrefix struct {
	Holding
	at      time.Time
	removed bool // its engine has lost its cache; it keeps its place, since reports are acknowledged by number
}

// Add records that this router has sent a prefix to an engine that has prefilled it, unless the
// directory says that this was known recently. If report is set, keepers are told. An entry that is not
// reported is not refreshed either: it would never be old enough for a report.
func (x *Exchange) Add(now time.Time, holding Holding, report bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.directory.Due(now, holding) {
		return
	}
	x.directory.Merge(now, holding)
	if x.heardAt.IsZero() {
		x.heardAt = now
	}
	if !report {
		return
	}
	if len(x.unreported) >= MaxReported {
		x.unreported = x.unreported[1:]
		x.firstNumber++
	}
	x.unreported = append(x.unreported, sentPrefix{Holding: holding, at: now})
}

// Holders calls visit with the key of each engine that probably caches a prefix. Visit must not call
// the exchange.
func (x *Exchange) Holders(now time.Time, prefix uint64, visit func(endpoint uint64)) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.directory.Holders(now, prefix, visit)
}

// RemoveEndpoint removes all entries of one lifetime of an engine, also those that are to be reported.
func (x *Exchange) RemoveEndpoint(endpoint uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.directory.RemoveEndpoint(endpoint)
	for i := range x.unreported {
		if x.unreported[i].Endpoint == endpoint {
			x.unreported[i].removed = true
		}
	}
}

// Len returns the number of entries.
func (x *Exchange) Len(now time.Time) int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.directory.Len(now)
}

// Silence returns the time since a keeper last sent an entry, 0 if there is no entry. The router's own
// requests do not shorten it: keepers send the entries of all routers, its own included.
func (x *Exchange) Silence(now time.Time) time.Duration {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.directory.Len(now) == 0 {
		return 0
	}
	return now.Sub(x.heardAt)
}

// AddReport adds to a poll what no keeper has acknowledged, and the revision of the keeper's directory
// that this router has.
func (x *Exchange) AddReport(now time.Time, keeper netip.AddrPort, request *messenger.FollowRequest) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	expired := 0
	for expired < len(x.unreported) && now.Sub(x.unreported[expired].at) >= reportRetention {
		expired++
	}
	x.drop(expired)
	if x.reportEnd == nil {
		x.reportEnd, x.after = make(map[netip.AddrPort]uint64), make(map[netip.AddrPort]uint64)
	}
	x.reportEnd[keeper] = x.firstNumber + uint64(len(x.unreported))
	holdings := make([]Holding, 0, len(x.unreported))
	for _, sent := range x.unreported {
		if !sent.removed {
			holdings = append(holdings, sent.Holding)
		}
	}
	request.Holdings, request.HoldingsAfter = ToWire(holdings), x.after[keeper]
}

// Answered merges what a keeper has answered to a poll with a report.
func (x *Exchange) Answered(now time.Time, keeper netip.AddrPort, response *messenger.FollowResponse) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if end, found := x.reportEnd[keeper]; found {
		x.drop(int(max(end, x.firstNumber) - x.firstNumber))
		x.after[keeper] = response.GetHoldingsNext()
	}
	for _, holding := range FromWire(response.GetHoldings()) {
		x.directory.Merge(now, holding)
		x.heardAt = now
	}
}

// Lost records that a keeper does not answer: what it was told is reported again.
func (x *Exchange) Lost(keeper netip.AddrPort) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.reportEnd, keeper)
	delete(x.after, keeper)
}

// drop removes the oldest entries that are to be reported.
func (x *Exchange) drop(count int) {
	x.unreported = x.unreported[count:]
	x.firstNumber += uint64(count)
}
