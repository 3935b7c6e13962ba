package scheduler

import (
	"slices"
	"time"
)

// Limits of lending slots to other zones.
const (
	// At most 1/heldDivisor of the usable slots, but at least one slot, may be held
	// at a time.
	heldDivisor = 8
	// minHoldIntervals is how many exchange intervals a loan must be expected
	// to last before a slot is held for it, because the slot idles for up to
	// one interval before the loan and one after it.
	minHoldIntervals = 10
	// maxHoldInterval is the longest exchange interval at which slots are held.
	maxHoldInterval = time.Second
	// termIntervals is the term of a loan in exchange intervals. Short terms
	// follow the counters closely, but every extension costs a message.
	termIntervals = 4
	// extendBeforeIntervals is how many intervals before the end of its term a
	// loan may be extended.
	extendBeforeIntervals = 2
	// expectedTerms is the assumed duration of a loan in terms, extensions
	// included.
	expectedTerms = 5
	// extendSlackTerms is by how many terms' worth of work a loan's workspace
	// may be ahead of the next in line when its loan is extended, so that slots
	// do not idle on being passed back and forth.
	extendSlackTerms = 2
)

// hold is a slot kept free for a zone until that zone's next exchange.
type hold struct {
	lane     *lane
	endpoint *endpoint
}

// loan is a slot that another zone's pool uses.
type loan struct {
	id       uint64
	zone     *zone
	lane     *lane
	endpoint *endpoint
	lease    time.Duration
	expires  time.Time // end of the lease
	termEnd  time.Time // end of the term, after which no request begins in the slot
	reserved uint64    // estimated units, so that one workspace does not win every slot before its charges arrive
}

// borrowing is a slot borrowed from another zone, used by one local request at
// a time.
type borrowing struct {
	Loan
	zone    string
	termEnd time.Time // no request begins in the slot after this
	endedAt time.Time
}

// lendSlot gives a slot to another zone's demand: at once if that zone's
// exchange is being answered, otherwise by holding the slot until its next
// exchange.
func (p *Pool) lendSlot(now time.Time, l *lane) {
	z := p.zones[l.key.zone]
	e := p.chooseEndpoint(l, 0)
	switch {
	case z == p.answeredZone:
		e.lent++
		p.makeLoan(now, z, l, e)
	case p.mayHold(z, e):
		e.held++
		p.heldSlots++
		z.holds = append(z.holds, hold{lane: l, endpoint: e})
	default:
		p.dropDemand(l)
		return
	}
	p.setVirtualTime(e, l.workspace)
	p.recount(now, e)
	l.count--
	p.reprice(l.workspace)
	p.deactivate(l)
}

// mayHold reports whether a slot of the endpoint may be held for the zone: there
// are few holds, and a loan is worth the idle time of a hold.
func (p *Pool) mayHold(z *zone, e *endpoint) bool {
	duration := max(e.throttle.Service(), expectedTerms*p.term(z))
	return p.heldSlots < max(1, p.usableSlots/heldDivisor) && z.interval > 0 && duration >= minHoldIntervals*z.interval && z.interval <= maxHoldInterval
}

// term returns for how long a slot is lent to a zone. Short requests use the
// slot one after the other; with one loan per request the slot would idle for
// longer than it is used.
func (p *Pool) term(z *zone) time.Duration {
	return min(termIntervals*z.interval, p.lease(z))
}

// lease returns how long a slot is reserved for a zone after its last renewal.
// Exchanges become less frequent with more zones, so the lease covers several
// intervals.
func (p *Pool) lease(z *zone) time.Duration {
	return max(p.options.Lease, termIntervals*z.interval)
}

// termUnits returns the units that the slot completes in a term, at least those
// of one request.
func (l *loan) termUnits(term time.Duration) uint64 {
	units := uint64(l.lane.record.Estimate(0))
	if pace := l.endpoint.pace; pace > 0 {
		units = max(units, uint64(float64(max(0, term))/pace))
	}
	return units
}

// makeLoan records the loan of a slot that is already counted as lent.
func (p *Pool) makeLoan(now time.Time, z *zone, l *lane, e *endpoint) {
	p.loanNumber++
	term, lease := p.term(z), p.lease(z)
	made := &loan{
		id: loanID(p.options.Origin, p.loanNumber), zone: z, lane: l, endpoint: e,
		lease: lease, expires: now.Add(lease), termEnd: now.Add(term),
	}
	p.loans[made.id] = made
	p.loanList = append(p.loanList, made)
	p.reserve(made, made.termUnits(term))
	e.peak = max(e.peak, e.running+e.lent)
	p.addDeadline(made.expires)
	p.answerLoans = append(p.answerLoans, Loan{
		ID: made.id, Workspace: l.workspace.name, Model: l.key.model,
		Endpoint: e.id, Incarnation: e.incarnation, Address: e.address, Lease: lease, Term: term,
	})
}

// reserve sets the estimated cost of a loan that is counted against its
// workspace.
func (p *Pool) reserve(l *loan, units uint64) {
	w := l.lane.workspace
	w.reserved += units - l.reserved
	l.reserved = units
	p.reprice(w)
}

// loanNumberBits is the number of bits of a loan's ID that hold its serial
// number. The other bits identify the lender, because a borrower sends one list
// of ended loans to all zones.
const loanNumberBits = 24

// loanID combines the hashed origin of the lender with the loan's serial number.
func loanID(origin, number uint64) uint64 {
	hash := origin + 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	hash ^= hash >> 31
	return hash<<loanNumberBits | number&(1<<loanNumberBits-1)
}

// answerZone answers a zone's exchange with the slots held for it and the slots
// that its demand wins now.
func (p *Pool) answerZone(now time.Time, z *zone, renewed []uint64) {
	p.answeredZone, p.answerLoans = z, nil
	if p.regroup {
		p.rebuildGroups(now)
	}
	p.extendLoans(now, z, renewed)
	p.lendHeldSlots(now, z)
	p.dispatch(now)
	if len(p.answerLoans) > 0 {
		p.countAnswerBytes(p.answerLoans)
		p.emit(Lend{Zone: z.name, Loans: p.answerLoans})
	}
	p.answeredZone, p.answerLoans = nil, nil
}

// lendHeldSlots turns the slots held for a zone into loans where there is still
// demand, and frees the others.
func (p *Pool) lendHeldSlots(now time.Time, z *zone) {
	holds := z.holds
	z.holds = nil
	p.heldSlots -= len(holds)
	for _, h := range holds {
		h.endpoint.held--
		if h.lane.count > 0 && h.endpoint.freeSlots(now) > 0 {
			h.endpoint.lent++
			p.makeLoan(now, z, h.lane, h.endpoint)
			h.lane.count--
			h.lane.updateHeap()
			p.reprice(h.lane.workspace)
			p.deactivate(h.lane)
		}
		p.recountUnlessGone(now, h.endpoint)
	}
}

// releaseHolds frees the slots held for a zone.
func (p *Pool) releaseHolds(now time.Time, z *zone) {
	p.heldSlots -= len(z.holds)
	for _, h := range z.holds {
		h.endpoint.held--
		p.recountUnlessGone(now, h.endpoint)
	}
	z.holds = nil
}

// recountUnlessGone calls recount unless the endpoint has been removed.
func (p *Pool) recountUnlessGone(now time.Time, e *endpoint) {
	if !e.gone {
		p.recount(now, e)
	}
}

// endLoans ends the loans that a zone has returned.
func (p *Pool) endLoans(now time.Time, from *zone, ids []uint64) {
	for _, id := range ids {
		if ended := p.loans[id]; ended != nil && ended.zone == from {
			p.endLoan(now, ended)
		}
	}
}

// renewLoans renews the leases of the loans that a zone still uses.
func (p *Pool) renewLoans(now time.Time, from *zone, ids []uint64) {
	for _, id := range ids {
		if renewed := p.loans[id]; renewed != nil && renewed.zone == from {
			renewed.expires = now.Add(renewed.lease)
			// What the loan has used so far is in the borrower's charges.
			p.reserve(renewed, renewed.termUnits(renewed.termEnd.Sub(now)))
		}
	}
}

// extendLoans extends loans whose term ends soon where the slot would be lent
// again to the same workspace. Without an extension the slot would idle until
// the borrower has returned it and it has been lent again.
func (p *Pool) extendLoans(now time.Time, from *zone, ids []uint64) {
	slack := p.remotePenalty + extendSlackTerms*p.unitsPerSlot(p.term(from))
	for _, id := range ids {
		if l := p.loans[id]; l != nil && l.zone == from && p.mayExtend(now, l) {
			p.extendLoan(now, l, slack)
		}
	}
}

// mayExtend reports whether a loan's term ends soon, there is demand left, and
// its endpoint is not over its limit.
func (p *Pool) mayExtend(now time.Time, l *loan) bool {
	return l.lane.count > 0 && l.termEnd.Sub(now) <= extendBeforeIntervals*l.zone.interval && l.endpoint.busy() <= l.endpoint.limit(now)
}

// extendLoan extends a loan, unless another lane is ahead of it by more than
// slack, in units by weight.
func (p *Pool) extendLoan(now time.Time, l *loan, slack float64) {
	p.reserve(l, 0)
	if best := p.bestLane(l.endpoint); best != l.lane && l.lane.counter-slack > best.counter {
		p.reserve(l, l.termUnits(l.termEnd.Sub(now)))
		return
	}
	term := p.term(l.zone)
	l.lease = p.lease(l.zone)
	l.expires = now.Add(l.lease)
	l.termEnd = now.Add(term)
	p.reserve(l, l.termUnits(term))
	p.answerLoans = append(p.answerLoans, Loan{ID: l.id, Lease: l.lease, Term: term})
}

// bestLane returns the lane with the smallest price that this endpoint may
// serve.
func (p *Pool) bestLane(e *endpoint) *lane {
	var best *lane
	for _, g := range p.groupList {
		if len(g.lanes) > 0 && g.endpoints.has(e.index) && (best == nil || g.lanes[0].before(best)) {
			best = g.lanes[0]
		}
	}
	return best
}

// endLoan ends a loan and frees its slot and its reservation.
func (p *Pool) endLoan(now time.Time, ended *loan) {
	delete(p.loans, ended.id)
	p.loanList = slices.DeleteFunc(p.loanList, func(other *loan) bool { return other == ended })
	w := ended.lane.workspace
	w.reserved -= ended.reserved
	ended.endpoint.lent--
	p.recountUnlessGone(now, ended.endpoint)
	p.reprice(w)
}

// expireLoans frees the slots of loans that their borrower has not renewed in
// time. The borrower's requests may still run there; the engine queues those
// that exceed its capacity.
func (p *Pool) expireLoans(now time.Time) {
	for _, l := range slices.Clone(p.loanList) {
		if now.Before(l.expires) {
			p.addDeadline(l.expires)
			continue
		}
		p.endLoan(now, l)
	}
}

// applyLent uses borrowed slots for waiting tickets and returns the slots that
// no ticket can use.
func (p *Pool) applyLent(now time.Time, l Lent) {
	for _, offered := range l.Loans {
		if l.mayHaveExpired(now, offered) {
			continue
		}
		requestedAt := l.RequestedAt
		if requestedAt.IsZero() {
			requestedAt = now
		}
		until := requestedAt.Add(min(offered.Term, offered.Lease))
		if known := p.borrowings[offered.ID]; known != nil && offered.Endpoint == "" {
			known.termEnd = until
		} else if offered.Endpoint != "" && !p.wasBorrowed(offered.ID) {
			p.borrow(now, offered, until, l.Zone)
		}
	}
}

// mayHaveExpired reports whether an offered loan may already have expired at
// its lender, where the lease starts when the loan is made. Accepting a delayed
// answer would put a second request into a slot that has been lent or granted
// again, so that an engine gets more requests than it has slots after a network
// pause.
func (l Lent) mayHaveExpired(now time.Time, offered Loan) bool {
	return !l.RequestedAt.IsZero() && now.Sub(l.RequestedAt) >= offered.Lease
}

// wasBorrowed reports whether a loan has already been accepted, because answers
// may be repeated.
func (p *Pool) wasBorrowed(id uint64) bool {
	if _, used := p.borrowings[id]; used {
		return true
	}
	return slices.ContainsFunc(p.endedBorrowings, func(b *borrowing) bool { return b.ID == id })
}

// borrow accepts an offered loan and uses or returns its slot.
func (p *Pool) borrow(now time.Time, offered Loan, until time.Time, zone string) {
	accepted := &borrowing{Loan: offered, zone: zone, termEnd: until}
	p.borrowings[accepted.ID] = accepted
	if !p.useBorrowing(now, accepted) {
		p.endBorrowing(now, accepted)
	}
}

// useBorrowing begins the next suitable request in a borrowed slot and reports
// whether there was one.
func (p *Pool) useBorrowing(now time.Time, b *borrowing) bool {
	l := p.borrowingLane(b.Loan)
	if l == nil {
		return false
	}
	r := l.first
	p.unqueue(l, r)
	r.target = b.Endpoint
	r.borrowing = b
	p.beginAttempt(now, r)
	p.reprice(l.workspace)
	p.deactivate(l)
	if !l.strandedSince.IsZero() {
		l.strandedSince = now
	}
	p.emit(Grant{Request: r.id(), Endpoint: b.Endpoint, Incarnation: b.Incarnation, Address: b.Address})
	return true
}

// vacateBorrowing records that a request has left a borrowed slot. The slot is
// reused within its term if the request ended normally, and returned otherwise.
func (p *Pool) vacateBorrowing(now time.Time, b *borrowing, reusable bool) {
	if !reusable {
		p.endBorrowing(now, b)
		return
	}
	p.idleBorrowings = append(p.idleBorrowings, b)
}

// reuseBorrowings begins requests in idle borrowed slots. A slot without a
// suitable request is kept until the next offer, because its lender cannot be
// notified earlier.
func (p *Pool) reuseBorrowings(now time.Time) {
	p.idleBorrowings = slices.DeleteFunc(p.idleBorrowings, func(b *borrowing) bool {
		if now.Before(b.termEnd) {
			return p.useBorrowing(now, b)
		}
		p.endBorrowing(now, b)
		return true
	})
}

// endIdleBorrowings ends the borrowings that no request uses.
func (p *Pool) endIdleBorrowings(now time.Time) {
	for _, b := range p.idleBorrowings {
		p.endBorrowing(now, b)
	}
	p.idleBorrowings = nil
}

// borrowingLane returns the lane with the oldest first ticket that the loan may
// serve, or nil.
func (p *Pool) borrowingLane(offered Loan) *lane {
	w := p.workspaces[offered.Workspace]
	if w == nil {
		return nil
	}
	var best *lane
	for _, l := range w.active {
		if l.key.model != offered.Model || !p.mayRunRemotely(l) || l.avoids(offered.Endpoint) {
			continue
		}
		if best == nil || l.first.arrivalNumber < best.first.arrivalNumber {
			best = l
		}
	}
	return best
}

// endBorrowing ends a borrowing. The next offers notify the lender.
func (p *Pool) endBorrowing(now time.Time, b *borrowing) {
	delete(p.borrowings, b.ID)
	b.endedAt = now
	p.endedBorrowings = append(p.endedBorrowings, b)
}

// dropLoans drops the loans and holds of an endpoint that has been removed.
func (p *Pool) dropLoans(e *endpoint) {
	for _, z := range p.zoneList {
		kept := slices.DeleteFunc(slices.Clone(z.holds), func(h hold) bool { return h.endpoint == e })
		p.heldSlots -= len(z.holds) - len(kept)
		z.holds = kept
	}
	for _, l := range slices.Clone(p.loanList) {
		if l.endpoint == e {
			p.endLoan(time.Time{}, l)
		}
	}
	e.lent, e.held = 0, 0
}
