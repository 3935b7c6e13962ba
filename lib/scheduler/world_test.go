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

// world is several zones, each with the pool of one service, its routers and
// its endpoints. Between a router and its scheduler it keeps the contract of
// package enlister: news and grants arrive in order and once until a session
// ends, and then a full report starts the next. Between zones messages are lost,
// repeated, late and out of order, and cuts may go one way only.
type world struct {
	t        *rapid.T
	now      time.Time
	origins  uint64
	sites    []*site
	routers  []*station
	mail     []parcel
	attempts map[scheduler.RequestID]*attempt
	loans    map[uint64]*lentSlot
	waiting  int // requests that no router has ended
}

// site is one zone.
type site struct {
	name      string
	pool      *scheduler.Pool
	origin    uint64
	joining   bool
	endpoints []*worker
	deaf      map[string]bool // zones whose messages do not get here
}

// worker is one endpoint.
type worker struct {
	site        *site
	id          string
	incarnation uint64
	slots       int
}

// station is one router.
type station struct {
	site *site
	id   scheduler.RouterID
	seq  uint64
	pool *scheduler.Pool // its session's scheduler
	news []scheduler.Report
	// grants are on their way to it.
	grants []scheduler.Grant
}

// attempt is one request and where it stands.
type attempt struct {
	router  *station
	ticket  scheduler.Ticket
	holder  *scheduler.Pool // whose grant it has, on its way or used; nil while it waits
	at      *worker         // of that grant
	life    uint64          // of at
	running bool
	// inherited says that a former scheduler of its zone gave the grant.
	inherited bool
	charged   uint32
}

// lentSlot is what the lender of a loan has to keep to.
type lentSlot struct {
	lender   *scheduler.Pool
	borrower string
	worker   *worker
	life     uint64
	lease    time.Duration
	expires  time.Time
	arrived  bool // at its borrower, in time
	over     bool
	returned bool
}

// parcel is one message between zones.
type parcel struct {
	from, to *site
	event    scheduler.Event
	// life is the pool that alone may take it, nil if any life of the zone's may.
	life  *scheduler.Pool
	asker *scheduler.Pool
	asked time.Time
}

func newWorld(t *rapid.T, zones int) *world {
	w := &world{t: t, now: zero, attempts: make(map[scheduler.RequestID]*attempt), loans: make(map[uint64]*lentSlot)}
	for i := range zones {
		s := &site{name: fmt.Sprintf("zone-%d", i), deaf: make(map[string]bool)}
		w.sites = append(w.sites, s)
		for n := range 2 {
			s.endpoints = append(s.endpoints, &worker{
				site: s, id: fmt.Sprintf("worker-%d-%d", i, n), incarnation: 1, slots: 1 + n,
			})
			w.routers = append(w.routers, &station{
				site: s, id: scheduler.RouterID{Name: fmt.Sprintf("router-%d-%d", i, n), Incarnation: 1},
			})
		}
		w.elect(s)
	}
	return w
}

// elect gives a zone a scheduler that knows nothing.
func (w *world) elect(s *site) {
	w.origins++
	s.origin, s.joining = w.origins, true
	s.pool = scheduler.New(scheduler.Options{Zone: s.name, Service: "modelli", Origin: s.origin})
	for _, a := range w.attempts {
		if a.router.site == s && !a.running {
			a.holder = nil // its grant will not be taken any more
		}
	}
	w.apply(s, scheduler.Configured{Rules: rules{}})
}

// apply gives an event to a zone's pool and takes its actions in.
func (w *world) apply(s *site, event scheduler.Event) {
	w.carry(s, parcel{}, s.pool.Apply(w.now, event))
}

// carry takes a pool's actions in; answer is the exchange that they answer.
func (w *world) carry(s *site, answer parcel, actions []scheduler.Action) {
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

func (w *world) worker(id string) *worker {
	for _, s := range w.sites {
		for _, e := range s.endpoints {
			if e.id == id {
				return e
			}
		}
	}
	return nil
}

// grant checks that the request waits and that its own zone's pool grants it.
func (w *world) grant(s *site, g scheduler.Grant) {
	a := w.attempts[g.Request]
	if a == nil {
		// Its router has ended it, or is gone, and the pool does not know yet.
		if r := w.station(g.Request.Router); r != nil && r.pool == s.pool {
			r.grants = append(r.grants, g)
		}
		return
	}
	require.Equal(w.t, s, a.router.site, "a grant from another zone's pool")
	require.Nil(w.t, a.holder, "second grant for %v", g.Request)
	a.holder, a.at, a.life, a.inherited = s.pool, w.worker(g.Endpoint), g.Incarnation, false
	a.router.grants = append(a.router.grants, g)
	if a.at.site == s {
		w.checkRoom(a.at, g.Incarnation)
		return
	}
	require.True(w.t, w.keeps(a), "%v begins at %s under a loan that has lapsed", g.Request, g.Endpoint)
}

// keeps tells whether the lender keeps a slot for a request that begins there. A
// scheduler that replaced the lender knows of no loan, and nothing begins at a
// former life of an endpoint.
func (w *world) keeps(a *attempt) bool {
	if a.life != a.at.incarnation {
		return true
	}
	for _, l := range w.loans {
		same := l.worker == a.at && l.life == a.life && l.borrower == a.router.site.name && l.arrived && !l.returned
		if same && (!l.over || (l.lender != a.at.site.pool && w.now.Before(l.expires))) {
			return true
		}
	}
	return false
}

// checkRoom requires, after a grant or a loan, that the pool has given no more
// slots of an endpoint's life than there are, with what it has been told of.
func (w *world) checkRoom(e *worker, life uint64) {
	given := 0
	for _, a := range w.attempts {
		if a.at == e && a.life == life && a.holder == e.site.pool {
			given++
		}
	}
	for _, l := range w.loans {
		if l.worker == e && l.life == life && l.lender == e.site.pool && !l.over {
			given++
		}
	}
	require.LessOrEqual(w.t, given, e.slots, "more grants and loans than slots at %s", e.id)
}

// refused ends a request that no endpoint could serve for a while, after its
// zone's scheduler was replaced.
func (w *world) refused(r scheduler.Refusal) {
	if a := w.attempts[r.Request]; a != nil {
		require.Nil(w.t, a.holder, "%v is refused after it was granted", r.Request)
		delete(w.attempts, r.Request)
		w.waiting--
	}
}

func (w *world) station(id scheduler.RouterID) *station {
	for _, r := range w.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (w *world) lend(s *site, answer parcel, lend scheduler.Lend) {
	for _, l := range lend.Loans {
		if known := w.loans[l.ID]; known != nil && l.Endpoint == "" {
			require.True(w.t, known.lender == s.pool && !known.over, "a loan that is over is extended")
			known.lease, known.expires = l.Lease, w.now.Add(l.Lease)
			continue
		}
		require.NotContains(w.t, w.loans, l.ID, "a loan's id is used twice")
		w.loans[l.ID] = &lentSlot{
			lender: s.pool, borrower: lend.Zone, worker: w.worker(l.Endpoint), life: l.Incarnation, lease: l.Lease, expires: w.now.Add(l.Lease),
		}
	}
	for _, l := range lend.Loans {
		w.checkRoom(w.loans[l.ID].worker, w.loans[l.ID].life)
	}
	w.mail = append(w.mail, parcel{
		from: s, to: answer.from, life: answer.asker, asked: answer.asked,
		event: scheduler.Lent{Zone: s.name, Origin: s.origin, Loans: lend.Loans, RequestedAt: answer.asked},
	})
}

// compare sends a pool's offer to the other zones.
func (w *world) compare(s *site) {
	totals, demand, returned, renewed, idle := s.pool.Offer(w.now)
	for _, other := range w.sites {
		if other != s {
			w.mail = append(w.mail, parcel{from: s, to: other, asker: s.pool, asked: w.now, event: scheduler.Compared{
				Zone: s.name, Origin: s.origin, Totals: totals, Demand: demand, Returned: returned, Renewed: renewed, Idle: idle,
			}})
		}
	}
	if s.joining {
		for _, other := range w.sites {
			if other != s && !other.joining {
				w.mail = append(w.mail, parcel{from: other, to: s, life: s.pool, event: scheduler.History{Totals: other.pool.History()}})
			}
		}
		s.joining = false
	}
}

// deliver takes one message out of the mail, or a copy of it.
func (w *world) deliver(at int, keep bool) {
	p := w.mail[at]
	if !keep {
		w.mail = slices.Delete(w.mail, at, at+1)
	}
	if p.to.deaf[p.from.name] || (p.life != nil && p.life != p.to.pool) {
		return
	}
	switch e := p.event.(type) {
	case scheduler.Compared:
		w.noteLoans(p.to.pool, e)
	case scheduler.Lent:
		for _, l := range e.Loans {
			w.loans[l.ID].arrived = w.loans[l.ID].arrived || w.now.Before(w.loans[l.ID].expires)
		}
	}
	w.carry(p.to, p, p.to.pool.Apply(w.now, p.event))
}

// noteLoans does what a Compared event tells of loans.
func (w *world) noteLoans(lender *scheduler.Pool, c scheduler.Compared) {
	for _, id := range c.Returned {
		if l := w.loans[id]; l != nil && l.borrower == c.Zone {
			l.returned = true
			l.over = l.over || l.lender == lender
		}
	}
	for _, id := range c.Renewed {
		if l := w.loans[id]; l != nil && l.lender == lender && l.borrower == c.Zone && !l.over {
			l.expires = w.now.Add(l.lease)
		}
	}
}

func (w *world) expire() {
	for _, l := range w.loans {
		l.over = l.over || !w.now.Before(l.expires)
	}
}

// pass lets time go on.
func (w *world) pass(by time.Duration) {
	w.now = w.now.Add(by)
	w.expire()
	for _, s := range w.sites {
		w.apply(s, scheduler.Tick{})
	}
}

// enrol gives a router a request.
func (w *world) enrol(r *station, workspace string) {
	r.seq++
	ticket := scheduler.Ticket{Seq: r.seq, Workspace: workspace, Model: "draft"}
	w.attempts[scheduler.RequestID{Router: r.id, Seq: r.seq}] = &attempt{router: r, ticket: ticket}
	r.news = append(r.news, scheduler.Report{Router: r.id, Tickets: []scheduler.Ticket{ticket}})
	w.waiting++
}

// tell delivers a router's oldest news.
func (w *world) tell(r *station) {
	if r.pool != r.site.pool {
		w.enlist(r)
		return
	}
	if len(r.news) == 0 {
		return
	}
	news := r.news[0]
	r.news = r.news[1:]
	w.apply(r.site, news)
}

// enlist begins a new session: what is on its way in both directions is dropped,
// and the router tells everything.
func (w *world) enlist(r *station) {
	r.news, r.grants, r.pool = nil, nil, r.site.pool
	report := scheduler.Report{Router: r.id, Full: true}
	var seqs []uint64
	for seq := range r.seq {
		a := w.attempts[scheduler.RequestID{Router: r.id, Seq: seq + 1}]
		switch {
		case a == nil:
		case !a.running:
			a.holder = nil
			ticket := a.ticket
			ticket.Waited = time.Minute
			report.Tickets = append(report.Tickets, ticket)
			seqs = append(seqs, ticket.Seq)
		default:
			a.inherited = a.inherited || a.holder != r.site.pool
			a.holder = r.site.pool
			report.Running = append(report.Running, scheduler.Running{
				Seq: seq + 1, Workspace: a.ticket.Workspace, Model: "draft", Endpoint: a.at.id, Charged: a.charged,
			})
		}
	}
	w.apply(r.site, scheduler.Declinations{Router: r.id, Seqs: seqs})
	w.apply(r.site, report)
}

// take lets a router take its oldest grant.
func (w *world) take(r *station) {
	if len(r.grants) == 0 {
		return
	}
	g := r.grants[0]
	r.grants = r.grants[1:]
	if r.pool != r.site.pool {
		return // it comes from a scheduler that is gone
	}
	a := w.attempts[g.Request]
	if a == nil {
		w.apply(r.site, scheduler.Declinations{Router: r.id, Seqs: []uint64{g.Request.Seq}})
		return
	}
	e := w.worker(g.Endpoint)
	if e.incarnation != g.Incarnation || e.site.deaf[r.site.name] {
		w.end(a, scheduler.Unreachable)
		return
	}
	a.running = true
}

// progress makes a router tell the units that a request has used.
func (w *world) progress(a *attempt) {
	a.router.news = append(a.router.news, scheduler.Report{Router: a.router.id, Progress: []scheduler.Progress{{
		Seq: a.ticket.Seq, Charged: a.charged,
	}}})
}

// end ends a request at its router.
func (w *world) end(a *attempt, ending scheduler.Ending) {
	delete(w.attempts, scheduler.RequestID{Router: a.router.id, Seq: a.ticket.Seq})
	w.waiting--
	a.router.news = append(a.router.news, scheduler.Report{Router: a.router.id, Finished: []scheduler.Finish{{
		Seq: a.ticket.Seq, Charged: a.charged, Ending: ending, First: 10 * time.Millisecond, Took: time.Second,
	}}})
}

// restartRouter loses a router's memory; its connections break.
func (w *world) restartRouter(r *station) {
	for id, a := range w.attempts {
		if a.router == r {
			delete(w.attempts, id)
			w.waiting--
		}
	}
	r.id.Incarnation++
	r.news, r.grants, r.pool, r.seq = nil, nil, nil, 0
}

// restartWorker ends a life of an endpoint and of what runs there.
func (w *world) restartWorker(e *worker) {
	for _, a := range w.running(e) {
		w.end(a, scheduler.Failed)
	}
	e.incarnation++
}

func (w *world) announce(e *worker) {
	for _, l := range w.loans {
		l.over = l.over || (l.worker == e && l.life != e.incarnation)
	}
	port := slices.IndexFunc(w.workers(), func(other *worker) bool { return other == e })
	w.apply(e.site, scheduler.Announced{
		ID: e.id, Incarnation: e.incarnation, Models: []string{"draft"}, Slots: e.slots, TTL: time.Hour, Load: len(w.running(e)),
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+port)),
	})
}

func (w *world) workers() []*worker {
	var all []*worker
	for _, s := range w.sites {
		all = append(all, s.endpoints...)
	}
	return all
}

// running lists the requests that run at an endpoint, in a fixed order.
func (w *world) running(e *worker) []*attempt {
	var all []*attempt
	for _, id := range w.ids() {
		if a := w.attempts[id]; a.running && a.at == e && a.life == e.incarnation {
			all = append(all, a)
		}
	}
	return all
}

func (w *world) ids() []scheduler.RequestID {
	ids := make([]scheduler.RequestID, 0, len(w.attempts))
	for id := range w.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b scheduler.RequestID) int {
		return compareText(fmt.Sprintf("%s/%09d", a.Router.Name, a.Seq), fmt.Sprintf("%s/%09d", b.Router.Name, b.Seq))
	})
	return ids
}

// check asserts, for every endpoint, that what runs there is at most
//
//	slots + inherited + lapsed
//
// inherited are the requests there that a former scheduler of the zone granted.
// Lapsed are those under loans that their lender has ended without having been
// told that they are over: no renewal came for a lease, or its scheduler was
// replaced. A loan that arrives after it has lapsed starts nothing. Besides,
// whatever the pool gives away (checkRoom) never exceeds the slots, a loan lasts
// for exactly its lease from its last renewal, and no slot idles while a request
// waits in its zone.
func (w *world) check() {
	for _, s := range w.sites {
		stats := s.pool.Stats(w.now)
		live := 0
		for _, l := range w.loans {
			if l.lender == s.pool && !l.over {
				live++
			}
		}
		require.Equal(w.t, live, stats.Lent, "loans of %s", s.name)
		for _, e := range s.endpoints {
			w.checkWorker(e)
		}
		w.checkConserved(s, stats)
	}
}

func (w *world) checkWorker(e *worker) {
	own, inherited, away := 0, 0, 0
	for _, a := range w.running(e) {
		switch {
		case a.router.site != e.site:
			away++
		case a.inherited || a.holder != e.site.pool:
			inherited++
		default:
			own++
		}
	}
	live, lapsed := 0, 0
	for _, l := range w.loans {
		switch {
		case l.worker != e || l.life != e.incarnation:
		case l.lender == e.site.pool && !l.over:
			live++
		case l.arrived && !l.returned:
			lapsed++
		}
	}
	require.LessOrEqual(w.t, own+live, e.slots, "more grants and loans than slots at %s", e.id)
	require.LessOrEqual(w.t, away, live+lapsed, "a request runs at %s without a loan", e.id)
	require.LessOrEqual(w.t, own+inherited+away, e.slots+inherited+lapsed, "more requests than slots at %s", e.id)
}

// checkConserved requires that nothing waits at a pool whose endpoints have room.
func (w *world) checkConserved(s *site, stats scheduler.Stats) {
	for _, e := range stats.Endpoints {
		room := e.Limit - e.Busy - e.Foreign
		require.False(w.t, stats.Waiting > 0 && room > 0, "%s has room for %d while %d wait in %s", e.Endpoint, room, stats.Waiting, s.name)
	}
}
