package scheduler_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

// simulation is several zones, each with the pool of one service, its routers and
// its endpoints. Between a router and its scheduler it keeps the guarantees of
// package enlister: reports and grants arrive in order and once until the session
// ends, and a full report starts the next session. Between zones messages are lost,
// repeated, late and out of order, and partitions may be one-way.
type simulation struct {
	t          *rapid.T
	now        time.Time
	lastOrigin uint64
	zones      []*simZone
	routers    []*simRouter
	messages   []zoneMessage
	requests   map[scheduler.RequestID]*simRequest
	loans      map[uint64]*simLoan
	unfinished int // requests that are not finished
}

// simZone is one zone with its current scheduler.
type simZone struct {
	name        string
	pool        *scheduler.Pool
	origin      uint64
	joining     bool // the scheduler has no history yet
	endpoints   []*simEndpoint
	blockedFrom map[string]bool // zones whose messages do not arrive here
}

// simEndpoint is one endpoint in its current incarnation.
type simEndpoint struct {
	zone        *simZone
	id          string
	incarnation uint64
	slots       int
}

// simRouter is one router with its session at its zone's scheduler.
type simRouter struct {
	zone    *simZone
	id      scheduler.RouterID
	seq     uint64
	session *scheduler.Pool    // pool of the session, nil if none
	reports []scheduler.Report // in flight to the scheduler
	grants  []scheduler.Grant  // in flight to the router
}

// simRequest is the state of one unfinished request.
type simRequest struct {
	router      *simRouter
	ticket      scheduler.Ticket
	grantedBy   *scheduler.Pool // pool of its grant, in flight or accepted; nil while it waits
	endpoint    *simEndpoint    // of the grant
	incarnation uint64          // of the endpoint at the grant
	running     bool
	inherited   bool   // the grant came from a former scheduler of its zone
	charged     uint32 // units used so far
}

// simLoan is a loan with the obligations of its lender.
type simLoan struct {
	lender      *scheduler.Pool
	borrower    string
	endpoint    *simEndpoint
	incarnation uint64
	lease       time.Duration
	expires     time.Time
	arrived     bool // the borrower received it before it expired
	ended       bool // for the lender
	returned    bool // the lender's zone received the borrower's return
}

// zoneMessage is one message between zones.
type zoneMessage struct {
	from, to *simZone
	event    scheduler.Event
	// receiver is the only pool that accepts the message; nil means the zone's current
	// one.
	receiver *scheduler.Pool
	sender   *scheduler.Pool // of an offer
	sentAt   time.Time       // of the offer, also in its answer
}

func newSimulation(t *rapid.T, zones int) *simulation {
	w := &simulation{t: t, now: testStart, requests: make(map[scheduler.RequestID]*simRequest), loans: make(map[uint64]*simLoan)}
	for i := range zones {
		s := &simZone{name: fmt.Sprintf("zone-%d", i), blockedFrom: make(map[string]bool)}
		w.zones = append(w.zones, s)
		for n := range 2 {
			s.endpoints = append(s.endpoints, &simEndpoint{
				zone: s, id: fmt.Sprintf("worker-%d-%d", i, n), incarnation: 1, slots: 1 + n,
			})
			w.routers = append(w.routers, &simRouter{
				zone: s, id: scheduler.RouterID{Name: fmt.Sprintf("router-%d-%d", i, n), Incarnation: 1},
			})
		}
		w.replaceScheduler(s)
	}
	return w
}

// replaceScheduler gives a zone a new scheduler without state.
func (w *simulation) replaceScheduler(s *simZone) {
	w.lastOrigin++
	s.origin, s.joining = w.lastOrigin, true
	s.pool = scheduler.New(scheduler.Options{Zone: s.name, Service: "modelli", Origin: s.origin})
	for _, a := range w.requests {
		if a.router.zone == s && !a.running {
			a.grantedBy = nil // a grant of the former scheduler is not accepted any more
		}
	}
	w.apply(s, scheduler.Configured{Rules: rules{}})
}

// apply applies an event to a zone's pool and carries out the actions.
func (w *simulation) apply(s *simZone, event scheduler.Event) {
	w.carryOut(s, zoneMessage{}, s.pool.Apply(w.now, event))
}

// carryOut carries out a pool's actions; answer is the message that they answer.
func (w *simulation) carryOut(s *simZone, answer zoneMessage, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			w.grant(s, a)
		case scheduler.Lend:
			w.lend(s, answer, a)
		case scheduler.Refusal:
			w.refused(a)
		}
	}
}

func (w *simulation) endpoint(id string) *simEndpoint {
	for _, s := range w.zones {
		for _, e := range s.endpoints {
			if e.id == id {
				return e
			}
		}
	}
	return nil
}

// grant checks that the request waits and that its own zone's pool grants it.
func (w *simulation) grant(s *simZone, g scheduler.Grant) {
	a := w.requests[g.Request]
	if a == nil {
		// The router has finished the request, or is gone, and the pool has not been
		// notified yet.
		if r := w.router(g.Request.Router); r != nil && r.session == s.pool {
			r.grants = append(r.grants, g)
		}
		return
	}
	require.Equal(w.t, s, a.router.zone, "a grant from another zone's pool")
	require.Nil(w.t, a.grantedBy, "second grant for %v", g.Request)
	a.grantedBy, a.endpoint, a.incarnation, a.inherited = s.pool, w.endpoint(g.Endpoint), g.Incarnation, false
	a.router.grants = append(a.router.grants, g)
	if a.endpoint.zone == s {
		w.checkCommitted(a.endpoint, g.Incarnation)
		return
	}
	require.True(w.t, w.lenderKeepsSlot(a), "%v starts at %s under an expired loan", g.Request, g.Endpoint)
}

// lenderKeepsSlot reports whether a slot is still reserved for a borrowing request that
// starts now. A scheduler that replaced the lender has no record of the loan, and a
// request never starts at a former incarnation of an endpoint.
func (w *simulation) lenderKeepsSlot(a *simRequest) bool {
	if a.incarnation != a.endpoint.incarnation {
		return true
	}
	for _, l := range w.loans {
		same := l.endpoint == a.endpoint && l.incarnation == a.incarnation && l.borrower == a.router.zone.name && l.arrived && !l.returned
		if same && (!l.ended || (l.lender != a.endpoint.zone.pool && w.now.Before(l.expires))) {
			return true
		}
	}
	return false
}

// checkCommitted requires, after a grant or a loan, that the grants and loans of a pool
// at an endpoint's incarnation do not exceed its slots, as far as the pool has been
// notified.
func (w *simulation) checkCommitted(e *simEndpoint, incarnation uint64) {
	committed := 0
	for _, a := range w.requests {
		if a.endpoint == e && a.incarnation == incarnation && a.grantedBy == e.zone.pool {
			committed++
		}
	}
	for _, l := range w.loans {
		if l.endpoint == e && l.incarnation == incarnation && l.lender == e.zone.pool && !l.ended {
			committed++
		}
	}
	require.LessOrEqual(w.t, committed, e.slots, "more grants and loans than slots at %s", e.id)
}

// refused ends a refused request: no endpoint was able to serve it for some time after
// its zone's scheduler was replaced.
func (w *simulation) refused(r scheduler.Refusal) {
	if a := w.requests[r.Request]; a != nil {
		require.Nil(w.t, a.grantedBy, "%v is refused after it was granted", r.Request)
		delete(w.requests, r.Request)
		w.unfinished--
	}
}

func (w *simulation) router(id scheduler.RouterID) *simRouter {
	for _, r := range w.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

// lend records the loans of a pool, checks their slots, and sends them to the borrower.
func (w *simulation) lend(s *simZone, answer zoneMessage, lend scheduler.Lend) {
	for _, l := range lend.Loans {
		if known := w.loans[l.ID]; known != nil && l.Endpoint == "" {
			require.True(w.t, known.lender == s.pool && !known.ended, "an ended loan is extended")
			known.lease, known.expires = l.Lease, w.now.Add(l.Lease)
			continue
		}
		require.NotContains(w.t, w.loans, l.ID, "a loan's id is used twice")
		w.loans[l.ID] = &simLoan{
			lender: s.pool, borrower: lend.Zone, endpoint: w.endpoint(l.Endpoint), incarnation: l.Incarnation, lease: l.Lease, expires: w.now.Add(l.Lease),
		}
	}
	for _, l := range lend.Loans {
		w.checkCommitted(w.loans[l.ID].endpoint, w.loans[l.ID].incarnation)
	}
	w.messages = append(w.messages, zoneMessage{
		from: s, to: answer.from, receiver: answer.sender, sentAt: answer.sentAt,
		event: scheduler.Lent{Zone: s.name, Loans: lend.Loans, RequestedAt: answer.sentAt},
	})
}

// sendOffers sends a pool's offer to the other zones, and the first time their history
// to this pool.
func (w *simulation) sendOffers(s *simZone) {
	totals, demand, returned, renewed, idle := s.pool.Offer(w.now)
	for _, other := range w.zones {
		if other != s {
			w.messages = append(w.messages, zoneMessage{from: s, to: other, sender: s.pool, sentAt: w.now, event: scheduler.Compared{
				Zone: s.name, Origin: s.origin, Totals: totals, Demand: demand, Returned: returned, Renewed: renewed, Idle: idle,
			}})
		}
	}
	if s.joining {
		for _, other := range w.zones {
			if other != s && !other.joining {
				w.messages = append(w.messages, zoneMessage{from: other, to: s, receiver: s.pool, event: scheduler.History{Totals: other.pool.History()}})
			}
		}
		s.joining = false
	}
}

// deliver delivers one message between zones; with keep, it is delivered again later.
func (w *simulation) deliver(at int, keep bool) {
	m := w.messages[at]
	if !keep {
		w.messages = slices.Delete(w.messages, at, at+1)
	}
	if m.to.blockedFrom[m.from.name] || (m.receiver != nil && m.receiver != m.to.pool) {
		return
	}
	switch e := m.event.(type) {
	case scheduler.Compared:
		w.trackLoans(m.to.pool, e)
	case scheduler.Lent:
		for _, l := range e.Loans {
			w.loans[l.ID].arrived = w.loans[l.ID].arrived || w.now.Before(w.loans[l.ID].expires)
		}
	}
	w.carryOut(m.to, m, m.to.pool.Apply(w.now, m.event))
}

// trackLoans records the returns and renewals in a Compared event.
func (w *simulation) trackLoans(lender *scheduler.Pool, c scheduler.Compared) {
	for _, id := range c.Returned {
		if l := w.loans[id]; l != nil && l.borrower == c.Zone {
			l.returned = true
			l.ended = l.ended || l.lender == lender
		}
	}
	for _, id := range c.Renewed {
		if l := w.loans[id]; l != nil && l.lender == lender && l.borrower == c.Zone && !l.ended {
			l.expires = w.now.Add(l.lease)
		}
	}
}

// expireLoans ends the loans whose lease has run out.
func (w *simulation) expireLoans() {
	for _, l := range w.loans {
		l.ended = l.ended || !w.now.Before(l.expires)
	}
}

// advance moves the clock and applies a Tick to every pool.
func (w *simulation) advance(by time.Duration) {
	w.now = w.now.Add(by)
	w.expireLoans()
	for _, s := range w.zones {
		w.apply(s, scheduler.Tick{})
	}
}

// enrol adds a waiting request at a router.
func (w *simulation) enrol(r *simRouter, workspace string) {
	r.seq++
	ticket := scheduler.Ticket{Seq: r.seq, Workspace: workspace, Model: "draft"}
	w.requests[scheduler.RequestID{Router: r.id, Seq: r.seq}] = &simRequest{router: r, ticket: ticket}
	r.reports = append(r.reports, scheduler.Report{Router: r.id, Tickets: []scheduler.Ticket{ticket}})
	w.unfinished++
}

// deliverReport delivers a router's oldest report. If its zone's scheduler was replaced,
// the router starts a session with the new one instead.
func (w *simulation) deliverReport(r *simRouter) {
	if r.session != r.zone.pool {
		w.startSession(r)
		return
	}
	if len(r.reports) == 0 {
		return
	}
	report := r.reports[0]
	r.reports = r.reports[1:]
	w.apply(r.zone, report)
}

// startSession starts a new session: messages in flight in both directions are
// dropped, and the router sends a full report.
func (w *simulation) startSession(r *simRouter) {
	r.reports, r.grants, r.session = nil, nil, r.zone.pool
	report := scheduler.Report{Router: r.id, Full: true}
	var seqs []uint64
	for seq := range r.seq {
		a := w.requests[scheduler.RequestID{Router: r.id, Seq: seq + 1}]
		switch {
		case a == nil:
		case !a.running:
			a.grantedBy = nil
			ticket := a.ticket
			ticket.Waited = time.Minute
			report.Tickets = append(report.Tickets, ticket)
			seqs = append(seqs, ticket.Seq)
		default:
			a.inherited = a.inherited || a.grantedBy != r.zone.pool
			a.grantedBy = r.zone.pool
			report.Running = append(report.Running, scheduler.Running{
				Seq: seq + 1, Workspace: a.ticket.Workspace, Model: "draft", Endpoint: a.endpoint.id, Charged: a.charged,
			})
		}
	}
	w.apply(r.zone, scheduler.Declinations{Router: r.id, Seqs: seqs})
	w.apply(r.zone, report)
}

// deliverGrant delivers a router's oldest grant. The router declines the grant of a
// finished request, and starts the others unless the endpoint is unreachable.
func (w *simulation) deliverGrant(r *simRouter) {
	if len(r.grants) == 0 {
		return
	}
	g := r.grants[0]
	r.grants = r.grants[1:]
	if r.session != r.zone.pool {
		return // a grant of a replaced scheduler is ignored
	}
	a := w.requests[g.Request]
	if a == nil {
		w.apply(r.zone, scheduler.Declinations{Router: r.id, Seqs: []uint64{g.Request.Seq}})
		return
	}
	e := w.endpoint(g.Endpoint)
	if e.incarnation != g.Incarnation || e.zone.blockedFrom[r.zone.name] {
		w.finish(a, scheduler.Unreachable)
		return
	}
	a.running = true
}

// reportProgress adds a report of the units that a request has used.
func (w *simulation) reportProgress(a *simRequest) {
	a.router.reports = append(a.router.reports, scheduler.Report{Router: a.router.id, Progress: []scheduler.Progress{{
		Seq: a.ticket.Seq, Charged: a.charged,
	}}})
}

// finish ends a request at its router and adds a report of the ending.
func (w *simulation) finish(a *simRequest, ending scheduler.Ending) {
	delete(w.requests, scheduler.RequestID{Router: a.router.id, Seq: a.ticket.Seq})
	w.unfinished--
	a.router.reports = append(a.router.reports, scheduler.Report{Router: a.router.id, Finished: []scheduler.Finish{{
		Seq: a.ticket.Seq, Charged: a.charged, Ending: ending, First: 10 * time.Millisecond, Took: time.Second,
	}}})
}

// restartRouter starts a new incarnation of a router: its state and its requests are
// lost.
func (w *simulation) restartRouter(r *simRouter) {
	for id, a := range w.requests {
		if a.router == r {
			delete(w.requests, id)
			w.unfinished--
		}
	}
	r.id.Incarnation++
	r.reports, r.grants, r.session, r.seq = nil, nil, nil, 0
}

// restartEndpoint starts a new incarnation of an endpoint; the requests running there
// fail.
func (w *simulation) restartEndpoint(e *simEndpoint) {
	for _, a := range w.running(e) {
		w.finish(a, scheduler.Failed)
	}
	e.incarnation++
}

// announce makes an endpoint announce itself, which ends the loans of its former
// incarnations.
func (w *simulation) announce(e *simEndpoint) {
	for _, l := range w.loans {
		l.ended = l.ended || (l.endpoint == e && l.incarnation != e.incarnation)
	}
	port := slices.IndexFunc(w.endpoints(), func(other *simEndpoint) bool { return other == e })
	w.apply(e.zone, scheduler.Announced{
		ID: e.id, Incarnation: e.incarnation, Models: []string{"draft"}, Slots: e.slots, TTL: time.Hour, Load: len(w.running(e)),
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+port)),
	})
}

func (w *simulation) endpoints() []*simEndpoint {
	var all []*simEndpoint
	for _, s := range w.zones {
		all = append(all, s.endpoints...)
	}
	return all
}

// running returns the requests running at an endpoint, in a fixed order.
func (w *simulation) running(e *simEndpoint) []*simRequest {
	var all []*simRequest
	for _, id := range w.ids() {
		if a := w.requests[id]; a.running && a.endpoint == e && a.incarnation == e.incarnation {
			all = append(all, a)
		}
	}
	return all
}

// ids returns the ids of the unfinished requests, in a fixed order.
func (w *simulation) ids() []scheduler.RequestID {
	ids := make([]scheduler.RequestID, 0, len(w.requests))
	for id := range w.requests {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b scheduler.RequestID) int {
		return compareText(fmt.Sprintf("%s/%09d", a.Router.Name, a.Seq), fmt.Sprintf("%s/%09d", b.Router.Name, b.Seq))
	})
	return ids
}

// check asserts, for every endpoint, that the number of requests running there is at
// most
//
//	slots + inherited + lapsed
//
// Inherited counts the requests that a former scheduler of the zone granted. Lapsed
// counts the loans that their lender ended without a return from the borrower: no
// renewal arrived within a lease, or the lender's scheduler was replaced. A loan that
// arrives after it has expired starts no request. Besides, the grants and loans of a
// pool never exceed the slots (checkCommitted), a loan lasts exactly one lease from its
// last renewal, and no slot is idle while a request waits in its zone.
func (w *simulation) check() {
	for _, s := range w.zones {
		stats := s.pool.Stats(w.now)
		live := 0
		for _, l := range w.loans {
			if l.lender == s.pool && !l.ended {
				live++
			}
		}
		require.Equal(w.t, live, stats.Lent, "loans of %s", s.name)
		for _, e := range s.endpoints {
			w.checkEndpoint(e)
		}
		w.checkWorkConserving(s, stats)
	}
}

// checkEndpoint asserts the bounds of check for one endpoint.
func (w *simulation) checkEndpoint(e *simEndpoint) {
	own, inherited, borrowed := 0, 0, 0
	for _, a := range w.running(e) {
		switch {
		case a.router.zone != e.zone:
			borrowed++
		case a.inherited || a.grantedBy != e.zone.pool:
			inherited++
		default:
			own++
		}
	}
	live, lapsed := 0, 0
	for _, l := range w.loans {
		switch {
		case l.endpoint != e || l.incarnation != e.incarnation:
		case l.lender == e.zone.pool && !l.ended:
			live++
		case l.arrived && !l.returned:
			lapsed++
		}
	}
	require.LessOrEqual(w.t, own+live, e.slots, "more grants and loans than slots at %s", e.id)
	require.LessOrEqual(w.t, borrowed, live+lapsed, "a request runs at %s without a loan", e.id)
	require.LessOrEqual(w.t, own+inherited+borrowed, e.slots+inherited+lapsed, "more requests than slots at %s", e.id)
}

// checkWorkConserving requires that no request waits at a pool whose endpoints have free
// slots.
func (w *simulation) checkWorkConserving(s *simZone, stats scheduler.Stats) {
	for _, e := range stats.Endpoints {
		free := e.Limit - e.Busy - e.Foreign
		require.False(w.t, stats.Waiting > 0 && free > 0, "%s has %d free slots while %d requests wait in %s", e.Endpoint, free, stats.Waiting, s.name)
	}
}
