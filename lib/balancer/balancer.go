// Package balancer chooses the endpoint of each request from what this router
// has sent and seen.
//
// A Balancer knows the endpoints of all services, what this router has running
// on each, which parts of prompts each engine probably still holds, and which
// endpoints have failed of late. It is driven by calls with the time and reads
// no clock. Routers choose by themselves; they agree where it matters, because
// the parts of prompts that requests share are ranked over the engines by
// rendezvous hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998).
//
// Invariants: an endpoint that leaves or is gone, or whose zone is evacuated, is never
// chosen; a cold one only under a lease of a part of what it bears; one that has
// failed is chosen only after its pause, or where no other is left; one that has asked
// for backoff is not chosen before that is over; every slot that was taken is given back
// once, to the life of the endpoint that it was taken from.
package balancer

import (
	"context"
	"sync"
	"time"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/rationer"
	"shallotkeel.example/lib/resolver"
)

// Part is a piece of a prompt. Engines keep parts that requests share.
type Part struct {
	ID     uint64
	Tokens int
}

// Work is what is known of a request before it runs. Plain calls have no parts.
type Work struct {
	Model  string
	Parts  []Part
	Prompt int // tokens in
	Output int // tokens out, at most
	// Version is the only one of the endpoints' software that may take it, empty if any may.
	Version string
	// Target is within which time the first token should come, 0 if none is set.
	Target time.Duration
	// Objective is what was to be kept from the request's first attempt on: the whole of the time of
	// which Target is what is left. It is 0 if none is set.
	Objective time.Duration
	// Late tells that it came so long ago for the first time that it can hardly be answered within that.
	Late bool
}

// suits tells whether an endpoint has the software that may take the request.
func (w *Work) suits(e *endpoint) bool {
	return w.Version == "" || w.Version == e.Version
}

// shared returns the parts that other requests have too: all but the last.
func (w *Work) shared() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

const (
	// firstPause is how long an endpoint that failed once gets no new work; it
	// doubles with each further failure up to longestPause. An endpoint restarts
	// in some seconds, and one request in longestPause finds out.
	firstPause   = 150 * time.Millisecond
	longestPause = 4 * time.Second
	// failShare is by how much the share of failures among an endpoint's latest answers
	// exceeds that of its service when it pauses. Some services fail a tenth of their
	// requests when well.
	failShare = 0.3
	// memory is the weight of the latest answer in an endpoint's share of failures.
	memory = 0.12
)

// Balancer chooses endpoints. Its zero value with Weights unset uses
// DefaultWeights. It is safe for concurrent use.
type Balancer struct {
	Weights Weights

	// Zone is the router's own, and Seed differs between routers: without it endpoints that cost
	// the same come in the order of their ids. Both are set before the first use.
	Zone string
	Seed uint64

	mutex    sync.Mutex
	byID     map[string]*endpoint
	services map[string]*pool
	caps     map[string]int // tokens of an engine's memory, by service
	zones    map[string]zone
	fits     map[string]*predictor.Fit // of the engines, by service
	told     time.Time                 // when others' loads were told last
	routers  int
	turns    uint64 // choices so far
	draws    uint64 // numbers drawn so far
	recent   recent

	evacuated map[string]bool          // zones
	colds     map[string]resolver.Cold // by service
}

type endpoint struct {
	lister.Listing
	seed    uint64
	order   uint64  // among those that were never chosen, different at each router
	turn    uint64  // when it was chosen last, counted over all choices
	key     uint64  // its name in loads
	own     load    // what this router has there
	others  int     // unread tokens that the other routers have there, as told
	unread  []*Slot // whose first token is awaited, the oldest first
	factor  predictor.Factor
	held    parts
	failed  float64         // share of failures, weighted to the latest
	pauses  int             // failures in a row
	until   time.Time       // when its pause ends
	backoff time.Time       // when the backoff ends that it has asked this router for
	probing bool            // one request tries it after its pause
	closed  bool            // no connection could be made when it was tried last
	leases  rationer.Holder // for the time that it is cold
	// pressure is of the calls of a plain service.
	pressure backpressure
	heard    time.Time       // when it last sent anything, or had nothing to do before
	life     context.Context // done once the endpoint has started again
	end      context.CancelFunc
}

// Update takes news of an endpoint, and tells whether it has started again.
func (b *Balancer) Update(listing lister.Listing) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]*endpoint)
		b.services = make(map[string]*pool)
	}
	known, found := b.byID[listing.ID]
	restarted := found && !known.Started.Equal(listing.Started)
	if found && !restarted {
		listing.State = max(listing.State, known.State) // it may have said itself that it leaves
	}
	if restarted {
		// It holds and runs nothing of before, so that what is believed of its former
		// life goes with that life's entry. Memory of prompts that is not there would
		// be paid for by whoever is sent to it, and a count of requests that nobody
		// ends would keep work away for good.
		known.end()
	}
	if found && (restarted || listing.State == lister.Gone) {
		b.unlist(known)
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
	return restarted
}

func (b *Balancer) add(listing lister.Listing) {
	added := &endpoint{Listing: listing, seed: hashText(listing.ID), key: Key(listing)}
	if b.Seed != 0 {
		added.order = mix(b.Seed, added.seed)
	}
	added.life, added.end = context.WithCancel(context.Background())
	b.byID[listing.ID] = added
	b.list(added)
}

func (b *Balancer) list(e *endpoint) {
	if b.services[e.Service] == nil {
		b.services[e.Service] = &pool{}
	}
	b.services[e.Service].add(e, e.Zone == b.Zone)
}

func (b *Balancer) unlist(e *endpoint) {
	if listed := b.services[e.Service]; listed != nil {
		listed.remove(e)
	}
}

// all returns the endpoints of a service.
func (b *Balancer) all(service string) []*endpoint {
	if listed := b.services[service]; listed != nil {
		return listed.all
	}
	return nil
}

// Remember sets how many tokens an engine of a service keeps.
func (b *Balancer) Remember(service string, tokens int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.caps == nil {
		b.caps = make(map[string]int)
	}
	b.caps[service] = tokens
}

// Pick takes a slot at the cheapest endpoint that is not excluded; of several, at
// the one that was chosen longest ago. It returns nil if there is none, or none of a plain
// service that has room.
func (b *Balancer) Pick(now time.Time, service string, work *Work, excluded func(id string) bool) *Slot {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.plain(service, work) {
		return b.pickPlain(now, service, work, excluded)
	}
	best := b.choose(now, service, work, excluded)
	if best.endpoint == nil {
		return nil
	}
	return b.enter(now, best, work)
}

// Expect returns what Pick would find: for how long that endpoint still reads what it
// has been sent, and when the first token would come. Nothing is noted of it. Both are
// 0 if there is no endpoint.
func (b *Balancer) Expect(now time.Time, service string, work *Work) (queue, wait time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	best := b.choose(now, service, work, nil)
	return best.queue, best.wait
}

// choose returns the cheapest candidate, one without an endpoint if there is none.
//
// Of many endpoints a few are priced: those that may hold parts of the prompt, and some by
// chance. Where nothing is to be said for any of them, all are. So are those of the only version
// that may take the request: they may be a few among many.
func (b *Balancer) choose(now time.Time, service string, work *Work, excluded func(id string) bool) offer {
	listed := b.services[service]
	if listed == nil {
		return offer{}
	}
	home := b.home(listed, work)
	if len(listed.all) > mostWalked && work.Version == "" {
		best := b.cheapest(now, service, b.shortlist(listed, home, work), home, work, excluded)
		if best.endpoint != nil && best.doubt == none {
			return best
		}
	}
	return b.cheapest(now, service, listed.all, home, work, excluded)
}

// cheapest returns the cheapest of some endpoints.
func (b *Balancer) cheapest(
	now time.Time, service string, candidates []*endpoint, home homes, work *Work, excluded func(id string) bool,
) offer {
	fit := b.fit(service)
	var best offer
	for _, e := range candidates {
		if !work.suits(e) || !b.takes(now, e) || excluded != nil && excluded(e.ID) {
			continue
		}
		o := b.price(now, e, fit, work, home.guess(e))
		if best.endpoint == nil || o.price < best.price || o.price == best.price && e.before(best.endpoint) {
			best = o
		}
	}
	return best
}

func (b *Balancer) enter(now time.Time, o offer, work *Work) *Slot {
	e := o.endpoint
	slot := &Slot{
		ID: e.ID, Address: e.Address, Version: e.Version, Reading: o.reading, Wait: o.wait, Queue: o.queue,
		Doubt: o.doubt.String(), Pause: max(e.until.Sub(now), 0),
		balancer: b, endpoint: e, sent: now, ahead: o.ahead, reading: true,
	}
	if !e.until.IsZero() && !now.Before(e.until) && !e.probing {
		slot.probe, e.probing = true, true
	}
	if e.own.running == 0 {
		e.heard = now
	}
	b.turns++
	e.turn = b.turns
	if b.rationed(now, e) {
		e.leases.Use(now)
	}
	e.own.running++
	e.own.unread += o.reading
	if len(work.Parts) > 0 {
		e.unread = append(e.unread, slot)
		e.held.note(work, b.caps[e.Service])
		if len(b.all(e.Service)) > mostWalked {
			b.recent.note(work, e)
		}
	}
	return slot
}

// before tells whether an endpoint comes before another one that is as cheap: it was chosen
// longer ago. If neither ever was, routers differ, or all of them would begin with the same one.
func (e *endpoint) before(other *endpoint) bool {
	return e.turn < other.turn || e.turn == other.turn && e.order < other.order
}

// fit returns what is known of a service's engines.
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

// overdue returns by how much the oldest awaited first token is later than expected.
// An engine that has stopped sends no answers to learn from.
func (e *endpoint) overdue(now time.Time) time.Duration {
	if len(e.unread) == 0 {
		return 0
	}
	oldest := e.unread[0]
	return max(now.Sub(oldest.sent)-oldest.Wait, 0)
}
