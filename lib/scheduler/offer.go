package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Limits on the cost of the exchange between zones per node.
const (
	// DefaultCompareBudget is the default of Options.CompareBudget: the bytes
	// per second that a node may send and receive for the exchanges of all of
	// its pools, as encoded, without framing.
	DefaultCompareBudget = 6000
	// MinCompareInterval and MaxCompareInterval bound the time between two
	// exchanges; minIdleCompareInterval is the minimum while nothing waits or
	// is lent.
	MinCompareInterval     = 200 * time.Millisecond
	MaxCompareInterval     = 10 * time.Second
	minIdleCompareInterval = time.Second
	// offerRows is the number of rows of totals, and of rows of demand, that
	// the messages of one exchange carry to all zones together. The remaining
	// rows wait for the next exchange.
	offerRows         = 128
	minRows           = 8   // least rows of a kind in one message
	maxRows           = 64  // most rows of a kind in one message
	backlogUrgency    = 100 // urgency of a workspace with waiting work
	trafficDirections = 2   // other zones send as much as they receive
	bytesEnvelope     = 48  // zone, service, origin, round, idle, and the empty answer
	bytesRow          = 6   // a row without its numbers and its name
	bytesFirstLoanID  = 12  // the first ID of a list of loans
	bytesNextLoanID   = 2   // each further ID of the list, packed
	bytesLoan         = 60  // a loan in an answer, with its share of names
	bytesExtension    = 18  // the extension of a loan in an answer
)

// Offer returns what the host sends to the schedulers of this service in the
// other zones: the own totals that are due, the unmet demand here, the loans
// that have ended, the loans still in use, and the number of free slots.
// Returned totals are no longer due, so the host calls Offer once per round and
// sends the result to every zone. LoansOf selects the loans that concern a
// zone; the others need not be sent there.
func (p *Pool) Offer(now time.Time) (rows []Total, demand []Demand, returned, renewed []uint64, idle int) {
	rows = totals(p.ledger.Urgent(now, p.rowLimit(), p.urgency))
	demand = p.unmetDemand()
	p.endIdleBorrowings(now)
	p.pruneEndedBorrowings(now)
	returned, renewed = p.LoansOf("", now)
	for _, e := range p.endpointsByIndex {
		if e != nil {
			idle += max(0, e.freeSlots(now))
		}
	}
	p.exchangeBytes = p.offerBytes(rows, demand, len(returned)+len(renewed))
	return rows, demand, returned, renewed, idle
}

// LoansOf returns the loans of a zone that have ended and those still in use,
// sorted, or those of all zones if the name is empty. It refers to the last
// Offer.
func (p *Pool) LoansOf(zone string, now time.Time) (returned, renewed []uint64) {
	for _, b := range p.endedBorrowings {
		if now.Sub(b.endedAt) <= p.returnRepeatTime() && (zone == "" || b.zone == zone) {
			returned = append(returned, b.ID)
		}
	}
	for id, b := range p.borrowings {
		if zone == "" || b.zone == zone {
			renewed = append(renewed, id)
		}
	}
	slices.Sort(returned)
	slices.Sort(renewed)
	return returned, renewed
}

// PackLoans shortens the encoding of a sorted list of loans: each ID but the
// first is replaced by its difference from the previous one, which is small
// because the loans of one lender are numbered consecutively.
func PackLoans(ids []uint64) []uint64 {
	packed := slices.Clone(ids)
	for i := len(packed) - 1; i > 0; i-- {
		packed[i] -= packed[i-1]
	}
	return packed
}

// UnpackLoans reverses PackLoans.
func UnpackLoans(packed []uint64) []uint64 {
	ids := slices.Clone(packed)
	for i := 1; i < len(ids); i++ {
		ids[i] += ids[i-1]
	}
	return ids
}

// returnRepeatTime returns for how long the end of a loan is repeated.
func (p *Pool) returnRepeatTime() time.Duration {
	return max(minReturnRepeat, returnIntervals*p.interval)
}

// pruneEndedBorrowings deletes borrowings that ended long ago. An answer may be
// repeated during the lease of its loans, so that a loan that is deleted earlier
// would be used a second time.
func (p *Pool) pruneEndedBorrowings(now time.Time) {
	p.endedBorrowings = slices.DeleteFunc(p.endedBorrowings, func(b *borrowing) bool {
		return now.Sub(b.endedAt) > max(p.returnRepeatTime(), b.Lease)
	})
}

// CompareInterval returns the time from an exchange to the next, for a host
// that compares with this many other zones and schedules this many pools. The
// interval is long enough to pay for the bytes of the last exchange from the
// node's budget. So exchanges become less frequent with more zones and more
// rows, and the limits of this package always hold.
func (p *Pool) CompareInterval(_ time.Time, zones, pools int) time.Duration {
	p.peerZones = max(1, zones)
	minInterval := MinCompareInterval
	if p.waiting == 0 && len(p.borrowings) == 0 && len(p.loans) == 0 {
		minInterval = minIdleCompareInterval
	}
	cost := time.Duration(trafficDirections * p.exchangeBytes * max(1, pools))
	p.interval = min(max(minInterval, cost*time.Second/time.Duration(p.options.CompareBudget)), MaxCompareInterval)
	return p.interval
}

// ExchangeBytes returns the estimated bytes of the last exchange with all
// zones, including the answers sent since the previous one.
func (p *Pool) ExchangeBytes() int {
	return p.exchangeBytes
}

// rowLimit returns how many rows of each kind one message carries.
func (p *Pool) rowLimit() int {
	return min(max(minRows, offerRows/max(1, p.peerZones)), maxRows)
}

// urgency returns the weight with which a workspace's charges compete for the
// rows of an exchange. Only workspaces that wait are compared with others; the
// rest are lifted when they become active again.
func (p *Pool) urgency(name string) float64 {
	if w := p.workspaces[name]; w != nil && len(w.active) > 0 {
		return backlogUrgency
	}
	return 1
}

// offerBytes estimates the bytes of an exchange with all zones, answers
// included.
func (p *Pool) offerBytes(rows []Total, demand []Demand, loans int) int {
	size := bytesEnvelope + len(p.options.Zone) + len(p.options.Service)
	named := make(map[string]bool)
	addName := func(text string) {
		if !named[text] {
			named[text] = true
			size += 2 + len(text)
		}
	}
	for _, row := range rows {
		size += bytesRow + varintBytes(row.Charged) + varintBytes(row.Lifted) + varintBytes(row.Forgiven)
		addName(row.Workspace)
	}
	for _, row := range demand {
		size += bytesRow + 3
		addName(row.Workspace)
		addName(row.Model)
	}
	total := p.peerZones*size + min(loans, p.peerZones)*bytesFirstLoanID + loans*bytesNextLoanID + p.answerBytes
	p.answerBytes = 0
	return total
}

const varintBits = 7

// varintBytes returns the length of n encoded as a varint.
func varintBytes(n uint64) int {
	return bits.Len64(n)/varintBits + 1
}

// countAnswerBytes adds the estimated bytes of the loans in an answer.
func (p *Pool) countAnswerBytes(loans []Loan) {
	for _, l := range loans {
		if l.Endpoint == "" {
			p.answerBytes += bytesExtension
		} else {
			p.answerBytes += bytesLoan
		}
	}
}

// unmetDemand lists the waiting work that may run in other zones, smallest
// price first.
func (p *Pool) unmetDemand() []Demand {
	var rows []Demand
	var prices []float64
	for _, w := range p.workspaceList {
		if w.waiting == 0 {
			continue
		}
		from := len(rows)
		for _, l := range w.active {
			if p.mayRunRemotely(l) {
				rows = addDemand(rows, from, l)
			}
		}
		for range rows[from:] {
			prices = append(prices, w.price())
		}
	}
	order := make([]int, len(rows))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(prices[a], prices[b]) })
	sorted := make([]Demand, 0, min(len(order), p.rowLimit()))
	for _, i := range order[:min(len(order), p.rowLimit())] {
		sorted = append(sorted, rows[i])
	}
	return sorted
}

// addDemand adds a lane's tickets to the row for its model among the rows of its
// workspace, which begin at index from.
func addDemand(rows []Demand, from int, l *lane) []Demand {
	for i := from; i < len(rows); i++ {
		if rows[i].Model == l.key.model {
			rows[i].Waiting = min(rows[i].Waiting+l.count, maxDemandPerRow)
			return rows
		}
	}
	return append(rows, Demand{Workspace: l.workspace.name, Model: l.key.model, Waiting: min(l.count, maxDemandPerRow)})
}
