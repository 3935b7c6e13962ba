package scheduler

import (
	"time"

	"shallotkeel.example/lib/accountant"
	"shallotkeel.example/lib/estimator"
)

// Options configures a pool. The zero value of every field except Zone, Service
// and Origin selects the default.
type Options struct {
	Zone    string
	Service string
	// Origin is this scheduler's incarnation. It identifies the rows of totals
	// that only this scheduler increases, so it must be unique in the fleet.
	Origin uint64
	// Plain says that units are milliseconds of busy time instead of tokens.
	Plain bool
	// MaxDebt bounds how far ahead of the others a workspace may be after a
	// partition, and so how long it waits for them, in units by weight. The
	// default is a multiple of the mean cost of a request.
	MaxDebt float64
	// Lease is how long a loan lasts without renewal.
	Lease time.Duration
	// HungAfter is how long an endpoint with work may show no progress.
	HungAfter time.Duration
	// NoEndpointAfter is how long a ticket waits while no endpoint can serve
	// it.
	NoEndpointAfter time.Duration
	// CompareBudget is the bytes per second that this node's exchanges may
	// cost, DefaultCompareBudget by default.
	CompareBudget int
	// MaxWaiting bounds the number of waiting tickets.
	MaxWaiting int
}

// Defaults of Options.
const (
	DefaultLease           = 3 * time.Second
	DefaultHungAfter       = 10 * time.Second
	DefaultNoEndpointAfter = 5 * time.Second
	DefaultMaxWaiting      = 1 << 17
)

func (o Options) withDefaults() Options {
	if o.Lease <= 0 {
		o.Lease = DefaultLease
	}
	if o.HungAfter <= 0 {
		o.HungAfter = DefaultHungAfter
	}
	if o.NoEndpointAfter <= 0 {
		o.NoEndpointAfter = DefaultNoEndpointAfter
	}
	if o.CompareBudget <= 0 {
		o.CompareBudget = DefaultCompareBudget
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	return o
}

// Pool schedules one service in one availability zone. It is not safe for
// concurrent use: the host applies events from one goroutine.
type Pool struct {
	options   Options
	rules     Rules
	ledger    accountant.Ledger
	estimator estimator.Estimator

	workspaces       map[string]*workspace
	workspaceList    []*workspace // in order of creation
	routers          map[string]*router
	endpoints        map[string]*endpoint
	endpointsByIndex []*endpoint           // nil where the index is free
	unplaced         map[string][]*request // running requests at endpoints not announced yet, by endpoint ID
	groups           map[groupKey]*group
	groupList        []*group // in order of creation
	zones            map[string]*zone
	zoneList         []*zone // in order of creation
	loans            map[uint64]*loan
	loanList         []*loan // in order of creation
	borrowings       map[uint64]*borrowing
	idleBorrowings   []*borrowing // borrowings that no request uses now
	endedBorrowings  []*borrowing // ended borrowings that are still reported to their lenders

	eligible       bitset // endpoints that may receive work, now or after recovery
	available      bitset // endpoints with a free slot
	availableAlone bitset // endpoints with a free slot and no suspect
	regroup        bool   // lanes have to be assigned to groups again

	startedAt        time.Time     // time of the first event
	lastAdvance      time.Time     // time of the last event
	nextDeadline     time.Time     // earliest deadline, zero if none
	peaksAgedAt      time.Time     // last decay of the peaks
	arrivalNumber    uint64        // of the last ticket
	laneNumber       uint64        // of the last lane
	reportNumber     uint64        // of the last report
	loanNumber       uint64        // of the last loan made
	waiting          int           // number of tickets
	running          int           // number of running requests
	heldSlots        int           // slots kept for another zone's next exchange
	busySlots        int           // slots in use, as counted by recount
	usableSlots      int           // slots that may be used, as counted by recount
	busyTime         time.Duration // integral of busySlots over time
	usableTime       time.Duration // integral of usableSlots over time
	peakInFlight     float64       // maximum estimated and uncharged units of one workspace, by weight
	peakRunning      float64       // maximum number of running requests of one workspace, by weight
	peakJump         float64       // maximum change of a counter by one merge, units by weight
	maxRequestCost   float64       // maximum cost of one request, in units
	remotePenalty    float64       // added to the price of another zone's demand, in units by weight
	virtualTime      float64       // initial virtual time of new endpoints: the counter last served
	minRemoteCounter float64       // smallest counter with demand from other zones, 0 if none
	answeredZone     *zone         // zone whose exchange is being answered, nil if none
	answerLoans      []Loan        // loans of that answer
	groupGeneration  uint64        // incremented when all groups are rebuilt
	interval         time.Duration // between own exchanges, as last computed by CompareInterval
	peerZones        int           // number of other zones, as last passed to CompareInterval
	exchangeBytes    int           // estimated bytes of the last exchange with all zones
	answerBytes      int           // estimated bytes of answers since that exchange
	actions          []Action      // result of the current Apply
}

// New returns an empty pool. It grants nothing before the first Configured
// event, because without rules it cannot know which endpoints a workspace may
// use.
func New(options Options) *Pool {
	return &Pool{
		options:    options.withDefaults(),
		workspaces: make(map[string]*workspace),
		routers:    make(map[string]*router),
		endpoints:  make(map[string]*endpoint),
		unplaced:   make(map[string][]*request),
		groups:     make(map[groupKey]*group),
		zones:      make(map[string]*zone),
		loans:      make(map[uint64]*loan),
		borrowings: make(map[uint64]*borrowing),
	}
}

// Apply processes one event and returns the actions that the host has to carry
// out, in order.
func (p *Pool) Apply(now time.Time, event Event) []Action {
	p.actions = nil
	p.advance(now)
	switch e := event.(type) {
	case Report:
		p.applyReport(now, e)
	case RouterGone:
		p.routerGone(now, e.Router)
	case Announced:
		p.applyAnnouncement(now, e)
	case Compared:
		p.applyCompared(now, e)
	case Lent:
		p.applyLent(now, e)
	case History:
		p.joinHistory(e)
	case Declinations:
		p.applyDeclinations(now, e)
	case Configured:
		p.applyRules(now, e.Rules)
	case Tick:
	}
	p.dispatch(now)
	return p.actions
}

// emit appends an action to the result of Apply.
func (p *Pool) emit(action Action) {
	p.actions = append(p.actions, action)
}

// advance moves the pool's time forward to now and handles expired deadlines.
func (p *Pool) advance(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt, p.lastAdvance, p.peaksAgedAt = now, now, now
	}
	if elapsed := now.Sub(p.lastAdvance); elapsed > 0 {
		p.busyTime += elapsed * time.Duration(p.busySlots)
		p.usableTime += elapsed * time.Duration(p.usableSlots)
		p.lastAdvance = now
	}
	if !p.nextDeadline.IsZero() && !now.Before(p.nextDeadline) {
		p.expire(now)
	}
}

// addDeadline requests a Tick no later than this time.
func (p *Pool) addDeadline(at time.Time) {
	if p.nextDeadline.IsZero() || at.Before(p.nextDeadline) {
		p.nextDeadline = at
	}
}

// NextDeadline returns when the next Tick is needed, or the zero time if none
// is. If the time is in the past, a Tick is due now.
func (p *Pool) NextDeadline(_ time.Time) time.Time {
	return p.nextDeadline
}

// HasFullReport reports whether this incarnation of a router has sent a full
// report. If it has not, the host requests one from the router.
func (p *Pool) HasFullReport(id RouterID) bool {
	known := p.routers[id.Name]
	return known != nil && known.id == id && known.reportedFull && !known.gone
}

// applyRules puts new rules into force for all workspaces and endpoints.
func (p *Pool) applyRules(now time.Time, rules Rules) {
	p.rules = rules
	for _, w := range p.workspaceList {
		p.bindRules(w)
		p.reprice(w)
	}
	for _, e := range p.endpointsByIndex {
		if e != nil {
			e.draining = rules != nil && rules.Draining(e.id, e.labels)
			p.recount(now, e)
		}
	}
	p.regroup = true
}
