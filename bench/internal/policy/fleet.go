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
	progressInterval       = 250 * time.Millisecond
	initialCompareInterval = 200 * time.Millisecond // before the first exchange, and while there is no scheduler
	detectionDelay         = time.Second            // until a lost scheduler or router is noticed
	sampleInterval         = 100 * time.Millisecond
	schedulerOverlap       = 3 * time.Second // for which two schedulers of a pool run
	freezeDuration         = 5 * time.Second
)

// model is the only model of the simulated engines.
const model = "draft"

// plan describes a fleet and its load.
type plan struct {
	standalone bool // whether each router schedules alone, as the baseline does
	zones      int
	routers    int // in all zones
	engines    int // in all zones
	slots      int
	pools      int // scheduled by one node
	weights    []float64
	// place returns the index of the router at which a workspace's n-th request arrives.
	place func(workspace, n, routers int) int
	depth int // waiting requests of each workspace
	work
	// lightWorkspaces is the number of workspaces that are not backlogged, which are the
	// first ones. Each has one request at a time, and waits before the next.
	lightWorkspaces  int
	thinkTime        time.Duration // mean wait of a light workspace
	lowHintWorkspace int           // workspace whose hints are ten times too low, -1 for none
}

// fleet is a set of zones with routers, engines and schedulers, simulated in virtual
// time.
type fleet struct {
	timeline
	plan
	random             *rand.Rand
	names              []string
	zones              []*zone
	routers            []*router
	engines            map[string]*engine
	served             []uint64 // units of finished jobs, by workspace
	requests           []int    // submitted so far, by workspace
	messages           int      // between routers and schedulers, and between schedulers
	origins            uint64
	partitioned        bool
	lastServed         []time.Time // when each workspace last received service
	longestStarvation  time.Duration
	samples            []sample
	inFlight           inFlight
	traffic            traffic
	maxCompareInterval time.Duration // longest interval between two exchanges of a pool
}

// sample is the service up to a time.
type sample struct {
	at     time.Time
	busy   int       // slots in use
	served []float64 // units divided by weight, by workspace
	units  float64   // of all workspaces
}

// inFlight holds the largest observed values of the terms of the bound, in units by
// weight.
type inFlight struct {
	reserved  float64
	remaining float64
}

// zone is one availability zone.
type zone struct {
	fleet      *fleet
	name       string
	pool       *scheduler.Pool
	formerPool *scheduler.Pool // replaced, but still in use by some routers
	origin     uint64
	engines    []*engine
	routers    []*router
	nextTick   time.Time
}

// Weight returns the weight of a workspace, 1 for an unknown one.
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

// Draining reports false, since no endpoint drains.
func (f *fleet) Draining(_ string, _ labeler.Labels) bool { return false }

// newFleet returns a fleet at virtual time zero, with the first requests of all
// workspaces submitted.
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
		z.start()
	}
	for workspace := range p.weights {
		if workspace < p.lightWorkspaces {
			f.submitNext(workspace)
			continue
		}
		for range p.depth {
			f.submitNext(workspace)
		}
	}
	f.lastServed = make([]time.Time, len(p.weights))
	f.every(sampleInterval, f.sample)
	return f
}

// newZone returns a zone with its engines.
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

// addRouter adds a router to one of the zones, which take routers in rotation.
func (f *fleet) addRouter(index int) {
	z := f.zones[index%len(f.zones)]
	r := &router{
		zone: z, name: fmt.Sprintf("router-%03d", index), incarnation: 1,
		waiting: make(map[uint64]*job), running: make(map[uint64]*job),
	}
	if f.standalone {
		r.baseline = newRoundRobin(r, f.plan.routers/f.plan.zones, len(f.weights))
	}
	z.routers = append(z.routers, r)
	f.routers = append(f.routers, r)
	// Stagger the reports of the routers.
	f.after(progressInterval*time.Duration(index)/time.Duration(f.plan.routers), func() {
		f.every(progressInterval, func() bool { r.progress(); return true })
	})
}

// submitNext submits a workspace's next request. Each start of a job calls it, so that
// a backlogged workspace stays backlogged. A light workspace waits first.
func (f *fleet) submitNext(workspace int) {
	n := f.requests[workspace]
	f.requests[workspace]++
	cost := uint32(float64(f.cost[workspace]) * (0.25 + 1.5*f.random.Float64()))
	hint := uint32(float64(cost) * (0.5 + 1.5*f.random.Float64()))
	if workspace == f.lowHintWorkspace {
		hint /= 10
	}
	r := f.routers[f.place(workspace, n, len(f.routers))]
	wait := f.hop
	if workspace < f.lightWorkspaces {
		wait += time.Duration(2 * f.random.Float64() * float64(f.thinkTime))
	}
	f.after(wait, func() { r.receive(workspace, max(cost, 1), max(hint, 1)) })
}

// start starts the zone's scheduler, the announcements of its engines and its exchanges
// with other zones. The baseline has none of them.
func (z *zone) start() {
	if z.fleet.standalone {
		return
	}
	z.startScheduler()
	z.fleet.every(leaseTTL/3, func() bool { z.announce(); return true })
	z.scheduleCompare(initialCompareInterval)
}

// startScheduler starts a scheduler for the zone. Its only state is the history that
// it gets from the first reachable zone that has a scheduler.
func (z *zone) startScheduler() {
	z.fleet.origins++
	z.origin = z.fleet.origins
	z.pool = scheduler.New(scheduler.Options{Zone: z.name, Service: "modelli", Origin: z.origin, Plain: z.fleet.plain})
	z.nextTick = time.Time{}
	z.apply(z.pool, scheduler.Configured{Rules: z.fleet})
	for _, other := range z.fleet.zones {
		if other != z && other.pool != nil && !z.fleet.partitionedBetween(z, other) {
			z.apply(z.pool, scheduler.History{Totals: other.pool.History()})
			break
		}
	}
	z.announce()
}

// failover stops the zone's scheduler and starts another one after detectionDelay.
func (z *zone) failover() {
	z.pool = nil
	z.fleet.after(detectionDelay, func() {
		z.startScheduler()
		for _, r := range z.routers {
			r.sendFullReport()
		}
	})
}

// startSecondScheduler starts a second scheduler while every other router still uses
// the first one. Endpoints announce themselves to both. After schedulerOverlap all
// routers use the second one.
func (z *zone) startSecondScheduler() {
	z.formerPool = z.pool
	z.startScheduler()
	for i, r := range z.routers {
		r.usesFormerPool = i%2 == 0
		if !r.usesFormerPool {
			r.sendFullReport()
		}
	}
	z.fleet.after(schedulerOverlap, func() {
		z.formerPool = nil
		for _, r := range z.routers {
			if r.usesFormerPool {
				r.usesFormerPool = false
				r.sendFullReport()
			}
		}
	})
}

// announce announces the zone's engines to its schedulers.
func (z *zone) announce() {
	for _, e := range z.engines {
		z.apply(z.pool, e.announcement())
		z.apply(z.formerPool, e.announcement())
	}
}

// apply applies an event to a scheduler and performs its actions, unless the scheduler
// has been lost in the meantime.
func (z *zone) apply(pool *scheduler.Pool, event scheduler.Event) {
	if pool == nil || (pool != z.pool && pool != z.formerPool) {
		return
	}
	z.fleet.messages++
	for _, action := range pool.Apply(z.fleet.now, event) {
		z.perform(action)
	}
	if pool == z.pool {
		z.tickAt(pool.NextDeadline(z.fleet.now))
	}
}

// tickAt schedules a tick of the scheduler at its next deadline, unless an earlier tick
// is already scheduled.
func (z *zone) tickAt(next time.Time) {
	if next.IsZero() || (!z.nextTick.IsZero() && !z.nextTick.After(next)) {
		return
	}
	pool := z.pool
	z.nextTick = next
	z.fleet.at(next, func() {
		if z.nextTick.Equal(next) {
			z.nextTick = time.Time{}
		}
		z.apply(pool, scheduler.Tick{})
	})
}

// perform sends a grant to its router. Other actions have no effect here.
func (z *zone) perform(action scheduler.Action) {
	grant, isGrant := action.(scheduler.Grant)
	if !isGrant {
		return
	}
	for _, r := range z.routers {
		if r.name == grant.Request.Router.Name {
			to := z.fleet.engines[grant.Endpoint]
			z.fleet.after(z.fleet.hop, func() { r.receiveGrant(grant.Request.Router.Incarnation, grant.Request.Seq, to) })
		}
	}
}

// scheduleCompare schedules the next exchange of the zone's pool after a wait, and each
// following one at the interval that the pool returns.
func (z *zone) scheduleCompare(wait time.Duration) {
	z.fleet.after(wait, func() {
		next := initialCompareInterval
		if z.pool != nil {
			z.compare()
			z.fleet.traffic.estimatedBytes += z.pool.ExchangeBytes()
			next = z.pool.CompareInterval(z.fleet.now, len(z.fleet.zones)-1, z.fleet.pools)
			z.fleet.maxCompareInterval = max(z.fleet.maxCompareInterval, next)
		}
		z.scheduleCompare(next)
	})
}

// compare sends the pool's offer to the other zones.
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
		z.fleet.traffic.addOffer(z, offer)
		if !z.fleet.partitionedBetween(z, other) {
			sent := offer
			z.fleet.after(z.fleet.zoneHop, func() { other.answer(z, pool, sent) })
		}
	}
}

// answer applies an offer from another zone to this zone's pool and sends the loans of
// its answer back.
func (z *zone) answer(from *zone, borrower *scheduler.Pool, offer scheduler.Compared) {
	if z.pool == nil || z.fleet.partitionedBetween(z, from) {
		return
	}
	requested := z.fleet.now.Add(-z.fleet.zoneHop)
	z.fleet.messages++
	for _, action := range z.pool.Apply(z.fleet.now, offer) {
		lend, isLend := action.(scheduler.Lend)
		if !isLend {
			z.perform(action)
			continue
		}
		z.fleet.traffic.addAnswer(z, lend.Loans)
		answer := scheduler.Lent{Zone: z.name, Loans: lend.Loans, RequestedAt: requested}
		z.fleet.after(z.fleet.zoneHop, func() { from.apply(borrower, answer) })
	}
}

// partitionedBetween reports whether two zones cannot reach each other.
func (f *fleet) partitionedBetween(a, b *zone) bool {
	return f.partitioned && a != b
}

// partitionZones separates the zones from each other. Streams between them fail.
func (f *fleet) partitionZones() {
	f.partitioned = true
	for _, z := range f.zones {
		for _, e := range z.engines {
			for _, j := range append(append([]*job(nil), e.batch...), e.queue...) {
				if j.router.zone != z {
					e.finish(j, scheduler.Failed)
				}
			}
		}
	}
}

// sample records the service so far and the terms of the bound. It returns true, so
// that it is called again.
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
				// Units that are generated but not yet reported are not yet charged.
				unreported := min(units, float64(progressInterval/f.perUnit))
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
	f.recordStarvation(s)
	// The first requests are not in-flight work between two waiting workspaces: the
	// workspace that submits first takes every slot.
	if f.now.Sub(time.Unix(0, 0)) >= warmUp {
		f.recordRemaining(remaining)
		f.recordReserved()
	}
	f.samples = append(f.samples, s)
	return true
}

// recordRemaining records the largest unfinished work that any workspace has at engines.
func (f *fleet) recordRemaining(remaining []float64) {
	for i, weight := range f.weights {
		f.inFlight.remaining = max(f.inFlight.remaining, remaining[i]/weight)
	}
}

// recordStarvation records the longest time that any workspace has gone without service
// after the warm-up. It assumes that all workspaces are always backlogged.
func (f *fleet) recordStarvation(s sample) {
	last := s
	if len(f.samples) > 0 {
		last = f.samples[len(f.samples)-1]
	}
	for i := range s.served {
		if s.served[i] > last.served[i] || f.lastServed[i].IsZero() || f.now.Sub(time.Unix(0, 0)) < warmUp {
			f.lastServed[i] = f.now
		}
		f.longestStarvation = max(f.longestStarvation, f.now.Sub(f.lastServed[i]))
	}
}

// recordReserved records the largest reservation that any workspace has in all pools.
func (f *fleet) recordReserved() {
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
