package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Limits of what the exchange between zones may cost a node.
const (
	// CompareBudget is the bytes a second that a node may send and receive for all
	// of its pools' exchanges, as encoded, without framing, unless Options say more.
	CompareBudget = 6000
	// CompareLeast and CompareMost bound the time between two exchanges;
	// compareQuiet is the least while nothing waits or is lent.
	CompareLeast = 200 * time.Millisecond
	CompareMost  = 10 * time.Second
	compareQuiet = time.Second
	// offerRows is how many rows of totals, and how many of demand, the messages of
	// one exchange carry together. What is left out waits for the next.
	offerRows     = 128
	leastRows     = 8
	mostRows      = 64
	worthBacklog  = 100 // of the row of a workspace that waits somewhere
	bothWays      = 2   // other zones send as much as they get
	bytesEnvelope = 48  // zone, service, origin, round, idle, and the empty answer
	bytesRow      = 6   // a row without its numbers and its name
	bytesFirst    = 12  // the first of a list of loans
	bytesNext     = 2   // each other one, packed
	bytesLoan     = 60  // a loan in an answer with its share of names
	bytesExtended = 18
)

// Offer returns what the host sends to the same service's schedulers of the
// other zones: own totals that are due, what waits here, the loans that are over
// and those still in use, and the free slots. Totals are due once, so an offer is
// made once per round and sent to every zone. LoansOf tells which of the loans
// concern a zone; the others need not be sent there.
func (p *Pool) Offer(now time.Time) (rows []Total, demand []Demand, returned, renewed []uint64, idle int) {
	rows = totals(p.ledger.Urgent(now, p.rowLimit(), p.urgency))
	demand = p.unmet()
	p.giveBackIdle(now)
	p.forgetOver(now)
	returned, renewed = p.LoansOf("", now)
	for _, e := range p.seats {
		if e != nil {
			idle += max(0, e.room(now))
		}
	}
	p.spent = p.offerBytes(rows, demand, len(returned)+len(renewed))
	return rows, demand, returned, renewed, idle
}

// LoansOf returns the loans of a zone that are over and those still in use, in
// order, or those of all zones for an empty name. It belongs to the last Offer.
func (p *Pool) LoansOf(zone string, now time.Time) (returned, renewed []uint64) {
	for _, b := range p.over {
		if now.Sub(b.ended) <= p.repeatFor() && (zone == "" || b.zone == zone) {
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

// PackLoans makes a sorted list of loans short: each but the first stands as the
// difference from the one before, for the loans of one lender count up.
func PackLoans(ids []uint64) []uint64 {
	packed := slices.Clone(ids)
	for i := len(packed) - 1; i > 0; i-- {
		packed[i] -= packed[i-1]
	}
	return packed
}

// UnpackLoans undoes PackLoans.
func UnpackLoans(packed []uint64) []uint64 {
	ids := slices.Clone(packed)
	for i := 1; i < len(ids); i++ {
		ids[i] += ids[i-1]
	}
	return ids
}

// repeatFor is how long the end of a loan is told.
func (p *Pool) repeatFor() time.Duration {
	return max(returnRepeat, returnIntervals*p.interval)
}

// forgetOver forgets loans that are over. An answer may be repeated for as long as
// its loans' lease. Whoever forgets a loan sooner uses it a second time.
func (p *Pool) forgetOver(now time.Time) {
	p.over = slices.DeleteFunc(p.over, func(b *borrowing) bool {
		return now.Sub(b.ended) > max(p.repeatFor(), b.Lease)
	})
}

// CompareAfter returns how long after an exchange the next is due, for a host that
// compares with this many other zones and schedules this many pools. The node
// keeps to its budget: what the last exchange cost is paid off first, so that
// exchanges get rarer with more zones and with more to tell, and no figure of this
// package is exceeded whatever happens.
func (p *Pool) CompareAfter(_ time.Time, zones, pools int) time.Duration {
	p.peers = max(1, zones)
	least := CompareLeast
	if p.waiting == 0 && len(p.borrowings) == 0 && len(p.loans) == 0 {
		least = compareQuiet
	}
	spent := time.Duration(bothWays * p.spent * max(1, pools))
	p.interval = min(max(least, spent*time.Second/time.Duration(p.options.CompareBudget)), CompareMost)
	return p.interval
}

// Spent is the estimated bytes of the last exchange with all zones, with the answers
// since the one before.
func (p *Pool) Spent() int {
	return p.spent
}

// rowLimit is how many rows of a kind one message carries.
func (p *Pool) rowLimit() int {
	return min(max(leastRows, offerRows/max(1, p.peers)), mostRows)
}

// urgency is what it is worth to tell a workspace's charges. Only workspaces that
// wait are compared with others; the rest are lifted when they come back.
func (p *Pool) urgency(name string) float64 {
	if w := p.workspaces[name]; w != nil && len(w.active) > 0 {
		return worthBacklog
	}
	return 1
}

// offerBytes estimates what an exchange with all zones costs, answers included.
func (p *Pool) offerBytes(rows []Total, demand []Demand, loans int) int {
	size := bytesEnvelope + len(p.options.Zone) + len(p.options.Service)
	named := make(map[string]bool)
	name := func(text string) {
		if !named[text] {
			named[text] = true
			size += 2 + len(text)
		}
	}
	for _, row := range rows {
		size += bytesRow + varint(row.Charged) + varint(row.Lifted) + varint(row.Forgiven)
		name(row.Workspace)
	}
	for _, row := range demand {
		size += bytesRow + 3
		name(row.Workspace)
		name(row.Model)
	}
	total := p.peers*size + min(loans, p.peers)*bytesFirst + loans*bytesNext + p.answered
	p.answered = 0
	return total
}

const varintBits = 7

func varint(n uint64) int {
	return bits.Len64(n)/varintBits + 1
}

// answers counts the bytes of loans in an answer.
func (p *Pool) answers(loans []Loan) {
	for _, l := range loans {
		if l.Endpoint == "" {
			p.answered += bytesExtended
		} else {
			p.answered += bytesLoan
		}
	}
}

// unmet lists what waits here and may run elsewhere, smallest price first.
func (p *Pool) unmet() []Demand {
	var rows []Demand
	var prices []float64
	for _, w := range p.order {
		if w.waiting == 0 {
			continue
		}
		from := len(rows)
		for _, l := range w.active {
			if p.mayCross(l) {
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

func addDemand(rows []Demand, from int, l *lane) []Demand {
	for i := from; i < len(rows); i++ {
		if rows[i].Model == l.key.model {
			rows[i].Waiting = min(rows[i].Waiting+l.count, maxDemand)
			return rows
		}
	}
	return append(rows, Demand{Workspace: l.workspace.name, Model: l.key.model, Waiting: min(l.count, maxDemand)})
}
