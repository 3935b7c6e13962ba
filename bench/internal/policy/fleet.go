package policy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/scheduler"
)

// Times of the simulated fleet.
const (
	progressEvery = 250 * time.Millisecond
	compareFirst  = 200 * time.Millisecond
	detection     = time.Second // until a lost scheduler is replaced
	sampleEvery   = 100 * time.Millisecond
	overlap       = 3 * time.Second // of two schedulers
	frozenFor     = 5 * time.Second
)

const model = "draft"

// plan is what a fleet looks like.
type plan struct {
	alone   bool // the baseline
	zones   int
	routers int // in all
	engines int // in all
	slots   int
	pools   int // that one node schedules
	weights []float64
	// place says at which router a workspace's n-th request arrives.
	place func(workspace, n, routers int) int
	depth int // waiting requests of each workspace
	work
	// light is how many of the workspaces, the first ones, are not backlogged: each
	// has one request at a time, and thinks before the next.
	light int
	think time.Duration
	liar  int // workspace whose hints are ten times too low, -1 for none
}

// fleet is zones of routers, engines and schedulers under simulated time.
type fleet struct {
	timeline
	plan
	random   *rand.Rand
	names    []string
	zones    []*zone
	routers  []*router
	engines  map[string]*engine
	served   []uint64 // units of finished jobs
	requests []int    // made so far
	messages int      // between routers and schedulers, and between schedulers
	origins  uint64
	cut      bool
	spans    []time.Time // when each workspace last got a unit
	longest  time.Duration
	samples  []sample
	inFlight inFlight
	traffic  traffic
	slowest  time.Duration // longest time between two exchanges
}

// sample is what had been served at a time.
type sample struct {
	at     time.Time
	busy   int       // slots in use
	served []float64 // units by weight
	units  float64
}

// inFlight is the largest values seen of the terms of the bound, units by weight.
type inFlight struct {
	reserved  float64
	remaining float64
}

// zone is one availability zone.
type zone struct {
	fleet   *fleet
	name    string
	pool    *scheduler.Pool
	former  *scheduler.Pool // still believed in by some routers
	origin  uint64
	engines []*engine
	routers []*router
	ticking time.Time
}

func (f *fleet) Weight(workspace string) float64 {
	for i, name := range f.names {
		if name == workspace {
			return f.weights[i]
		}
	}
	return 1
}

// Allowed lets every workspace use every endpoint.
func (f *fleet) Allowed(_, _ string, _ labeler.Labels) bool { return true }

// Draining drains none.
func (f *fleet) Draining(_ string, _ labeler.Labels) bool { return false }

func newFleet(p plan, seed uint64) *fleet {
	f := &fleet{
		plan: p, random: rand.New(rand.NewPCG(seed, 0)), engines: make(map[string]*engine),
		served: make([]uint64, len(p.weights)), requests: make([]int, len(p.weights)),
	}
	f.now = time.Unix(0, 0).UTC()
	for i := range p.weights {
		f.names = append(f.names, fmt.Sprintf("workspace-%02d", i))
	}
	for i := range p.zones {
		f.zones = append(f.zones, f.newZone(i))
	}
	for i := range p.routers {
		f.addRouter(i)
	}
	for _, z := range f.zones {
		z.begin()
	}
	for workspace := range p.weights {
		if workspace < p.light {
			f.replace(workspace)
			continue
		}
		for range p.depth {
			f.replace(workspace)
		}
	}
	f.spans = make([]time.Time, len(p.weights))
	f.every(sampleEvery, f.sample)
	return f
}

func (f *fleet) newZone(index int) *zone {
	z := &zone{fleet: f, name: fmt.Sprintf("zone-%d", index)}
	for i := range f.plan.engines / f.plan.zones {
		e := &engine{fleet: f, zone: z, id: fmt.Sprintf("engine-%d-%02d", index, i), slots: f.slots}
		e.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), uint16(9000+i))
		z.engines = append(z.engines, e)
		f.engines[e.id] = e
	}
	return z
}

func (f *fleet) addRouter(index int) {
	z := f.zones[index%len(f.zones)]
	r := &router{
		zone: z, name: fmt.Sprintf("router-%03d", index), life: 1,
		waiting: make(map[uint64]*job), running: make(map[uint64]*job),
	}
	if f.alone {
		r.alone = newRoundRobin(r, f.plan.routers/f.plan.zones, len(f.weights))
	}
	z.routers = append(z.routers, r)
	f.routers = append(f.routers, r)
	// Routers do not report in step.
	f.after(progressEvery*time.Duration(index)/time.Duration(f.plan.routers), func() {
		f.every(progressEvery, func() bool { r.progress(); return true })
	})
}

// replace lets a workspace make its next request, so that it stays backlogged.
func (f *fleet) replace(workspace int) {
	n := f.requests[workspace]
	f.requests[workspace]++
	cost := uint32(float64(f.cost[workspace]) * (0.25 + 1.5*f.random.Float64()))
	hint := uint32(float64(cost) * (0.5 + 1.5*f.random.Float64()))
	if workspace == f.liar {
		hint /= 10
	}
	r := f.routers[f.place(workspace, n, len(f.routers))]
	wait := f.hop
	if workspace < f.light {
		wait += time.Duration(2 * f.random.Float64() * float64(f.think))
	}
	f.after(wait, func() { r.receive(workspace, max(cost, 1), max(hint, 1)) })
}

func (z *zone) begin() {
	if z.fleet.alone {
		return
	}
	z.elect()
	z.fleet.every(leaseTTL/3, func() bool { z.announce(); return true })
	z.compareAfter(compareFirst)
}

// elect gives the zone a scheduler without memory.
func (z *zone) elect() {
	z.fleet.origins++
	z.origin = z.fleet.origins
	z.pool = scheduler.New(scheduler.Options{Zone: z.name, Service: "modelli", Origin: z.origin, Plain: z.fleet.plain})
	z.ticking = time.Time{}
	z.apply(z.pool, scheduler.Configured{Rules: z.fleet})
	for _, other := range z.fleet.zones {
		if other != z && other.pool != nil && !z.fleet.cutBetween(z, other) {
			z.apply(z.pool, scheduler.History{Totals: other.pool.History()})
			break
		}
	}
	z.announce()
}

// failover replaces a lost scheduler once its loss is noticed.
func (z *zone) failover() {
	z.pool = nil
	z.fleet.after(detection, func() {
		z.elect()
		for _, r := range z.routers {
			r.enrol()
		}
	})
}

// double lets a second scheduler begin while every other router still believes
// in the first one, and endpoints announce themselves to both.
func (z *zone) double() {
	z.former = z.pool
	z.elect()
	for i, r := range z.routers {
		r.former = i%2 == 0
		if !r.former {
			r.enrol()
		}
	}
	z.fleet.after(overlap, func() {
		z.former = nil
		for _, r := range z.routers {
			if r.former {
				r.former = false
				r.enrol()
			}
		}
	})
}

func (z *zone) announce() {
	for _, e := range z.engines {
		z.apply(z.pool, e.announced())
		z.apply(z.former, e.announced())
	}
}

// apply gives an event to a scheduler, unless it has been lost since.
func (z *zone) apply(pool *scheduler.Pool, event scheduler.Event) {
	if pool == nil || (pool != z.pool && pool != z.former) {
		return
	}
	z.fleet.messages++
	for _, action := range pool.Apply(z.fleet.now, event) {
		z.act(action)
	}
	if pool == z.pool {
		z.tickAt(pool.NextDeadline(z.fleet.now))
	}
}

// tickAt lets time pass at the scheduler when it asked for it.
func (z *zone) tickAt(next time.Time) {
	if next.IsZero() || (!z.ticking.IsZero() && !z.ticking.After(next)) {
		return
	}
	pool := z.pool
	z.ticking = next
	z.fleet.at(next, func() {
		if z.ticking.Equal(next) {
			z.ticking = time.Time{}
		}
		z.apply(pool, scheduler.Tick{})
	})
}

func (z *zone) act(action scheduler.Action) {
	grant, isGrant := action.(scheduler.Grant)
	if !isGrant {
		return
	}
	for _, r := range z.routers {
		if r.name == grant.Request.Router.Name {
			to := z.fleet.engines[grant.Endpoint]
			z.fleet.after(z.fleet.hop, func() { r.granted(grant.Request.Router.Incarnation, grant.Request.Seq, to) })
		}
	}
}

// compareAfter lets the zone's pool compare after a wait, and on and on.
func (z *zone) compareAfter(wait time.Duration) {
	z.fleet.after(wait, func() {
		next := compareFirst
		if z.pool != nil {
			z.compare()
			z.fleet.traffic.estimated += z.pool.ExchangeBytes()
			next = z.pool.CompareInterval(z.fleet.now, len(z.fleet.zones)-1, z.fleet.pools)
			z.fleet.slowest = max(z.fleet.slowest, next)
		}
		z.compareAfter(next)
	})
}

// compare sends the pool's offer to the other zones and takes their answers.
func (z *zone) compare() {
	pool, origin := z.pool, z.origin
	totals, demand, returned, renewed, idle := pool.Offer(z.fleet.now)
	offer := scheduler.Compared{
		Zone: z.name, Origin: origin, Totals: totals, Demand: demand, Returned: returned, Renewed: renewed, Idle: idle,
	}
	for _, other := range z.fleet.zones {
		if other == z {
			continue
		}
		offer.Returned, offer.Renewed = pool.LoansOf(other.name, z.fleet.now)
		z.fleet.traffic.ask(z, offer)
		if !z.fleet.cutBetween(z, other) {
			sent := offer
			z.fleet.after(z.fleet.zoneHop, func() { other.answer(z, pool, sent) })
		}
	}
}

// answer applies an offer here and carries the loans back.
func (z *zone) answer(from *zone, borrower *scheduler.Pool, offer scheduler.Compared) {
	if z.pool == nil || z.fleet.cutBetween(z, from) {
		return
	}
	asked := z.fleet.now.Add(-z.fleet.zoneHop)
	z.fleet.messages++
	for _, action := range z.pool.Apply(z.fleet.now, offer) {
		lend, isLend := action.(scheduler.Lend)
		if !isLend {
			z.act(action)
			continue
		}
		z.fleet.traffic.answer(z, lend.Loans)
		answer := scheduler.Lent{Zone: z.name, Origin: z.origin, Loans: lend.Loans, RequestedAt: asked}
		z.fleet.after(z.fleet.zoneHop, func() { from.apply(borrower, answer) })
	}
}

func (f *fleet) cutBetween(a, b *zone) bool {
	return f.cut && a != b
}

// part cuts the zones from each other; streams between them break.
func (f *fleet) part() {
	f.cut = true
	for _, z := range f.zones {
		for _, e := range z.engines {
			for _, j := range append(append([]*job(nil), e.batch...), e.queue...) {
				if j.router.zone != z {
					e.end(j, scheduler.Failed)
				}
			}
		}
	}
}

func (f *fleet) sample() bool {
	s := sample{at: f.now, served: make([]float64, len(f.weights))}
	remaining := make([]float64, len(f.weights))
	for i, units := range f.served {
		s.served[i] = float64(units)
	}
	for _, z := range f.zones {
		for _, e := range z.engines {
			s.busy += len(e.batch)
			for _, j := range e.batch {
				units := float64(j.units(f.now))
				s.served[j.workspace] += units
				// What has been generated and not yet reported is not charged either.
				unreported := min(units, float64(progressEvery/f.perUnit))
				remaining[j.workspace] += float64(j.cost) - units + unreported
			}
			for _, j := range e.queue {
				remaining[j.workspace] += float64(j.cost)
			}
		}
	}
	for i, weight := range f.weights {
		s.units += s.served[i]
		s.served[i] /= weight
	}
	f.noteStarving(s)
	// The first requests of all are not work in flight between two workspaces
	// that both wait: whoever comes first takes every slot.
	if f.now.Sub(time.Unix(0, 0)) >= warm {
		f.noteRemaining(remaining)
		f.noteReserved()
	}
	f.samples = append(f.samples, s)
	return true
}

func (f *fleet) noteRemaining(remaining []float64) {
	for i, weight := range f.weights {
		f.inFlight.remaining = max(f.inFlight.remaining, remaining[i]/weight)
	}
}

// noteStarving measures how long any workspace has gone without service. All
// are backlogged at all times.
func (f *fleet) noteStarving(s sample) {
	last := s
	if len(f.samples) > 0 {
		last = f.samples[len(f.samples)-1]
	}
	for i := range s.served {
		if s.served[i] > last.served[i] || f.spans[i].IsZero() || f.now.Sub(time.Unix(0, 0)) < warm {
			f.spans[i] = f.now
		}
		f.longest = max(f.longest, f.now.Sub(f.spans[i]))
	}
}

func (f *fleet) noteReserved() {
	reserved := make(map[string]float64)
	for _, z := range f.zones {
		if z.pool == nil {
			continue
		}
		for _, w := range z.pool.Stats(f.now).Workspaces {
			reserved[w.Workspace] += float64(w.Reserved) / w.Weight
		}
	}
	for _, units := range reserved {
		f.inFlight.reserved = max(f.inFlight.reserved, units)
	}
}
