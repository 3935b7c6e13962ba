// Package balancer chooses the endpoint of each request from what this router has sent and
// observed.
//
// A Balancer tracks the endpoints of all services, the requests that this router runs on each, the
// prompt parts that each engine probably caches, and the recent failures of each endpoint. Its
// callers pass the time; it reads no clock. Routers choose independently. Their choices agree where
// it matters, because the engines are ranked for each shared prompt part by rendezvous hashing (D.
// Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998).
//
// Requests with a prompt go to engines, which run language models and cache prompt prefixes.
// Requests to services without engines are plain calls, and these services plain services.
//
// Invariants: an endpoint that is leaving or gone, or whose zone is evacuated, is never chosen; a
// cold endpoint is chosen only under a lease for a part of its rate; a failed endpoint is chosen
// only after its pause, or as a last resort; an endpoint in backoff is not chosen before the
// backoff ends; every slot is released exactly once, to the lifetime of the endpoint that it was
// taken from.
package balancer

import (
	"context"
	"sync"
	"time"

	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/rationer"
	"shallotkeel.example/lib/resolver"
)

// Part is a piece of a prompt. Engines cache the parts that requests share.
type Part struct {
	ID     uint64
	Tokens int
}

// Work describes a request before it runs. Plain calls have no parts.
type Work struct {
	Model  string
	Parts  []Part
	Prompt int // prompt tokens
	Output int // maximum number of generated tokens
	// Hint is the client's own estimate of the generated tokens, and Expected what is expected by it
	// and by earlier requests. Both are 0 if unknown.
	Hint, Expected int
	// Gap is the longest time between two events that is still in time, 0 if none is set.
	Gap time.Duration
	// Version is the software version that the endpoint must have, empty if any version may run the
	// request.
	Version string
	// Target is the time within which the first token should arrive, 0 if none is set.
	Target time.Duration
	// Objective is the target latency counted from the request's first attempt; Target is the time
	// that remains of it. It is 0 if none is set.
	Objective time.Duration
	// Late is set if the request first arrived so long ago that it can hardly meet its objective.
	Late bool
}

// matchesVersion reports whether the endpoint has the software version that the request needs.
func (w *Work) matchesVersion(e *endpoint) bool {
	return w.Version == "" || w.Version == e.Version
}

// SharedParts returns the parts that other requests may have in common: all but the last.
func (w *Work) SharedParts() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

const (
	// initialPause is how long an endpoint gets no new requests after its first failure. It doubles
	// with each further failure, up to maxPause. An endpoint restarts within some seconds, and one
	// probe per maxPause detects it.
	initialPause = 150 * time.Millisecond
	maxPause     = 4 * time.Second
	// excessFailureShare is the margin by which an endpoint's share of failed answers must exceed
	// the share that is usual in its service before it is paused. Some services fail a tenth of
	// their requests in normal operation.
	excessFailureShare = 0.3
	// failureWeight is the EWMA weight of the latest answer in an endpoint's failure share.
	failureWeight = 0.12
)

// Balancer chooses endpoints. With Weights unset it uses DefaultWeights. It is safe for concurrent
// use.
type Balancer struct {
	Weights Weights

	// Zone is the router's own availability zone. Seed differs between routers: without it they
	// would all choose endpoints of equal price in the order of their ids. Both are set before the
	// first use.
	Zone string
	Seed uint64

	// Prefixes is the directory of the prompt prefixes that engines cache, nil if there is none. It is
	// set before the first use.
	Prefixes *indexer.Exchange

	mutex           sync.Mutex
	byID            map[string]*endpoint
	services        map[string]*pool
	cacheCapacities map[string]int // cache size of an engine in tokens, by service
	zones           map[string]zoneState
	fits            map[string]*predictor.Fit   // prefill model of the engines, by service
	steps           map[string]*predictor.Steps // step times of the engines, by service
	engines         map[string]resolver.Engine  // capacity of an engine, by service; services without engines are missing
	otherLoadsAt    time.Time                   // time of the last update of the other routers' unread tokens
	otherWorkAt     time.Time                   // time of the last update of the other routers' running requests
	routers         int
	choices         uint64 // number of choices made
	draws           uint64 // number of random values drawn
	recent          recentUses
	byKey           map[uint64]*endpoint     // endpoints by the key of their lifetime
	transferTimes   map[string]time.Duration // time to transfer the cache of one token, by service
	lookups         uint64                   // number of lookups in the directory of prefixes

	evacuated  map[string]bool          // evacuated zones
	coldLimits map[string]resolver.Cold // by service
}

// endpoint is the state of one lifetime of an endpoint: its latest listing, and what this router has
// sent there and observed.
type endpoint struct {
	lister.Listing
	seed                uint64
	tieBreak            uint64          // order among endpoints that were never chosen; it differs between routers
	lastChosen          uint64          // value of Balancer.choices when it was last chosen
	key                 uint64          // identifies it in load reports
	own                 load            // load from this router
	other               load            // load from the other routers, as last reported
	speed               predictor.Speed // as observed by this router
	otherSpeed          predictor.Sums  // as observed by the other routers
	waitFactor          float64         // learned ratios of its waits and of its gaps to those of an engine of mean speed
	gapFactor           float64
	engine              resolver.Engine // capacity; the zero value if its service has no engines
	hasEngine           bool
	steps               *predictor.Steps // of its service
	rankStep            int              // speed in steps of the home ranking
	awaiting            []*Slot          // slots that await their first token, oldest first
	factor              predictor.Factor
	cache               prefixCache
	failureShare        float64         // EWMA of the share of failures
	consecutiveFailures int             // doubles the pause
	pausedUntil         time.Time       // end of its pause
	backoffUntil        time.Time       // end of the backoff that it asked this router for
	probing             bool            // a probe runs after its pause
	connectFailed       bool            // the last connection attempt failed
	leases              rationer.Holder // used while it is cold
	// pressure applies to the calls of a plain service.
	pressure     backpressure
	silence      silence
	lastActivity time.Time       // when it last sent data, or when its first running request was sent
	held         heldPrefix      // result of the last lookup that found it
	transfers    int             // fetches of this router from it that are under way
	lifetime     context.Context // done once the endpoint has restarted
	endLifetime  context.CancelFunc
	accepting    context.Context // done once the endpoint leaves or is gone
	endAccepting context.CancelFunc
}

// Version returns the software version of an instance as listed now, empty if it is unknown.
func (b *Balancer) Version(id string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known, found := b.byID[id]; found {
		return known.Version
	}
	return ""
}

// Update applies a listing of an endpoint. It reports whether the endpoint has restarted, which ends the
// requests that run there. A start that becomes known while the sequence goes on is no restart.
func (b *Balancer) Update(listing lister.Listing) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]*endpoint)
		b.services = make(map[string]*pool)
	}
	known, found := b.byID[listing.ID]
	learned := found && known.learnsStart(listing)
	restarted := found && !learned && !known.Started.Equal(listing.Started)
	if found && !restarted {
		listing.State = max(listing.State, known.State) // its answers may have announced that it leaves
	}
	if restarted {
		// The restarted endpoint has an empty cache and runs nothing, so the entry of the previous
		// lifetime is dropped with its state. A stale cache would attract requests that then wait
		// for a prefill, and a count of requests that never decreases would keep requests away
		// permanently.
		known.endLifetime()
	}
	if found && listing.State > lister.Ready {
		known.endAccepting()
	}
	if found && (restarted || listing.State == lister.Gone) {
		b.unlist(known)
		b.unindex(known)
		delete(b.byID, listing.ID)
		found = false
	}
	switch {
	case listing.State == lister.Gone:
	case !found:
		b.add(listing)
	case known.Service != listing.Service, known.Zone != listing.Zone:
		b.unlist(known)
		known.Listing = listing
		b.list(known)
	default:
		if known.ColdUntil.After(listing.ColdUntil) {
			listing.ColdUntil = known.ColdUntil
		}
		known.Listing = listing
	}
	if learned {
		b.unindex(known)
		known.key = Key(listing)
		if b.byID[listing.ID] == known {
			b.index(known)
		}
	}
	return restarted
}

// learnsStart reports whether a listing names the start of a lifetime that was listed without one: its
// sequence goes on, or it announces the end. A restart begins a new sequence.
func (e *endpoint) learnsStart(listing lister.Listing) bool {
	return e.Started.IsZero() && !listing.Started.IsZero() && (listing.Sequence > e.Sequence || listing.State == lister.Gone)
}

func (b *Balancer) add(listing lister.Listing) {
	added := &endpoint{Listing: listing, seed: hashText(listing.ID), key: Key(listing), waitFactor: 1, gapFactor: 1}
	if b.Seed != 0 {
		added.tieBreak = mix(b.Seed, added.seed)
	}
	added.lifetime, added.endLifetime = context.WithCancel(context.Background())
	added.accepting, added.endAccepting = context.WithCancel(context.Background())
	b.byID[listing.ID] = added
	b.index(added)
	b.list(added)
}

func (b *Balancer) list(e *endpoint) {
	if b.services[e.Service] == nil {
		b.services[e.Service] = &pool{}
	}
	b.services[e.Service].add(e, e.Zone == b.Zone)
	e.engine, e.hasEngine = b.engines[e.Service]
	e.steps = b.stepTimes(e.Service)
}

func (b *Balancer) unlist(e *endpoint) {
	if listed := b.services[e.Service]; listed != nil {
		listed.remove(e)
	}
}

// all returns the endpoints of a service, sorted by id.
func (b *Balancer) all(service string) []*endpoint {
	if listed := b.services[service]; listed != nil {
		return listed.all
	}
	return nil
}

// SetCacheCapacity sets how many tokens an engine of a service caches.
func (b *Balancer) SetCacheCapacity(service string, tokens int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.cacheCapacities == nil {
		b.cacheCapacities = make(map[string]int)
	}
	b.cacheCapacities[service] = tokens
}

// Pick takes a slot at the cheapest endpoint that is not excluded; among equal prices, at the
// endpoint that was least recently chosen. It returns nil if there is none, or if no endpoint of a
// plain service has capacity.
func (b *Balancer) Pick(now time.Time, service string, work *Work, excluded func(id string) bool) *Slot {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.isPlainCall(service, work) {
		return b.pickPlain(now, service, work, excluded)
	}
	best := b.choose(now, service, work, excluded)
	if best.endpoint == nil {
		return nil
	}
	return b.takeSlot(now, best, work)
}

// Estimate returns the expected queueing time and the expected time to the first token at the
// endpoint that Pick would choose, without changing any state. Both are 0 if there is no endpoint.
func (b *Balancer) Estimate(now time.Time, service string, work *Work) (queue, wait time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	best := b.choose(now, service, work, nil)
	return best.queue, best.wait
}

// choose returns the cheapest candidate; its endpoint is nil if there is none.
//
// For a service of many endpoints only a shortlist is priced: the engines that may cache parts of
// the prompt, and some at random. If no endpoint of the shortlist is free of penalties, all
// endpoints are priced. All are priced as well for a request that needs one version, because few of
// many endpoints may have it.
func (b *Balancer) choose(now time.Time, service string, work *Work, excluded func(id string) bool) candidate {
	listed := b.services[service]
	if listed == nil {
		return candidate{}
	}
	home := b.home(listed, work)
	home.prefixes, home.transfers = b.lookUp(now, service, work), b.transferTimes[service] > 0
	if len(listed.all) > maxFullScan && work.Version == "" {
		best := b.cheapest(now, service, b.addHolders(b.shortlist(listed, home, work), home), home, work, excluded)
		if best.endpoint != nil && best.penalty == penaltyNone {
			return best
		}
	}
	return b.cheapest(now, service, listed.all, home, work, excluded)
}

// cheapest returns the cheapest of the given endpoints.
func (b *Balancer) cheapest(
	now time.Time, service string, candidates []*endpoint, home homes, work *Work, excluded func(id string) bool,
) candidate {
	fit := b.fit(service)
	var best candidate
	for _, e := range candidates {
		if !work.matchesVersion(e) || !b.isAvailable(now, e) || excluded != nil && excluded(e.ID) {
			continue
		}
		c := b.price(now, e, fit, work, home)
		if best.endpoint == nil || c.price < best.price || c.price == best.price && e.precedes(best.endpoint) {
			best = c
		}
	}
	return best
}

func (b *Balancer) takeSlot(now time.Time, c candidate, work *Work) *Slot {
	e := c.endpoint
	slot := &Slot{
		ID: e.ID, Address: e.Address, Version: e.Version, PrefillTokens: c.prefillTokens, ExpectedWait: c.wait, ExpectedQueue: c.queue,
		HealthPenalty: c.penalty.String(), Pause: max(e.pausedUntil.Sub(now), 0),
		balancer: b, endpoint: e, key: e.key, sentAt: now, queuedTokens: c.queuedTokens, slotWait: c.slotWait, awaitsFirstToken: true,
	}
	if !e.pausedUntil.IsZero() && !now.Before(e.pausedUntil) && !e.probing {
		slot.probe, e.probing = true, true
	}
	if e.own.running == 0 {
		e.lastActivity = now
	}
	b.choices++
	e.lastChosen = b.choices
	if b.isRationed(now, e) {
		e.leases.Use(now)
	}
	e.own.running++
	e.own.unread += c.prefillTokens
	slot.beginTransfer(c, work)
	if len(work.Parts) > 0 {
		slot.beginGeneration(work)
		e.awaiting = append(e.awaiting, slot)
		e.cache.add(work, b.cacheCapacities[e.Service])
		if len(b.all(e.Service)) > maxFullScan {
			b.recent.add(work, e)
		}
	}
	return slot
}

// precedes reports whether an endpoint is preferred to another one of the same price: it was chosen
// less recently. If neither was ever chosen, the order differs between routers, so that they do not
// all start with the same endpoint.
func (e *endpoint) precedes(other *endpoint) bool {
	return e.lastChosen < other.lastChosen || e.lastChosen == other.lastChosen && e.tieBreak < other.tieBreak
}

// fit returns the prefill model of a service's engines.
func (b *Balancer) fit(service string) *predictor.Fit {
	known, found := b.fits[service]
	if !found {
		if b.fits == nil {
			b.fits = make(map[string]*predictor.Fit)
		}
		known = &predictor.Fit{}
		b.fits[service] = known
	}
	return known
}

// overdue returns how much later than expected the oldest awaited first token is. An engine that
// has stopped sends no answers to learn from.
func (e *endpoint) overdue(now time.Time) time.Duration {
	if len(e.awaiting) == 0 {
		return 0
	}
	oldest := e.awaiting[0]
	return max(now.Sub(oldest.sentAt)-oldest.ExpectedWait, 0)
}
