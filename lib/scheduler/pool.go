package scheduler

import (
	"time"

	"shallotkeel.example/lib/accountant"
	"shallotkeel.example/lib/estimator"
)

// Options say which pool this is. The zero value of every field but Zone,
// Service and Origin stands for its default.
type Options struct {
	Zone    string
	Service string
	// Origin is this scheduler's incarnation: unique in the fleet, for it names
	// the rows of totals that only this scheduler raises.
	Origin uint64
	// Plain says that units are milliseconds of busy time, not tokens.
	Plain bool
	// Debt bounds what a workspace that is ahead has to wait for the others,
	// in units by weight. By default it is some requests of the mean cost.
	Debt float64
	// Lease is how long a loan lasts without being renewed.
	Lease time.Duration
	// HungAfter is how long an endpoint with work may show no progress.
	HungAfter time.Duration
	// NoEndpointAfter is how long a ticket waits where no endpoint can serve it.
	NoEndpointAfter time.Duration
	// CompareBudget is the bytes a second that this node's exchanges may cost, the
	// constant of that name by default.
	CompareBudget int
	// MaxWaiting bounds the tickets that the pool holds.
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
		o.CompareBudget = CompareBudget
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

	workspaces map[string]*workspace
	order      []*workspace // by creation
	routers    map[string]*router
	endpoints  map[string]*endpoint
	seats      []*endpoint // by index, nil where free
	unplaced   map[string][]*request
	groups     map[groupKey]*group
	groupList  []*group // by creation
	zones      map[string]*zone
	zoneList   []*zone // by creation
	loans      map[uint64]*loan
	loanList   []*loan // by creation
	borrowings map[uint64]*borrowing
	idle       []*borrowing // those that no request uses now
	over       []*borrowing // ended, still told to their lenders

	alive     bitset // endpoints that may get work, now or once recovered
	open      bitset // endpoints with room
	openAlone bitset // endpoints with room and no suspect
	regroup   bool   // lanes have to be put into groups again

	started      time.Time
	last         time.Time
	due          time.Time // no deadline is earlier; zero if there is none
	aged         time.Time
	arrivals     uint64
	lanes        uint64
	reports      uint64
	loanNumber   uint64
	waiting      int
	running      int
	held         int
	busy         int
	usable       int
	busyTime     time.Duration
	usableTime   time.Duration
	peakInFlight float64 // most estimated and uncharged of one workspace, by weight
	peakRunning  float64 // most requests of one workspace at once, by weight
	peakJump     float64 // most that one merge brought, by weight
	largest      float64 // cost of one request, units
	margin       float64
	level        float64 // standing at endpoints that have served nobody yet
	abroad       float64 // smallest counter that waits in other zones, 0 if none
	answering    *zone   // whose exchange is being answered
	lending      []Loan
	generation   uint64        // of the groups
	interval     time.Duration // between own exchanges, as last asked for
	peers        int           // other zones, as last told
	spent        int           // bytes of the last exchange with all zones
	answered     int           // bytes of answers since
	actions      []Action
}

// New returns an empty pool. It grants nothing before the first Configured
// event, because without rules it cannot know what is allowed.
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

// Apply takes one event and returns what the host has to do, in order.
func (p *Pool) Apply(now time.Time, event Event) []Action {
	p.actions = nil
	p.pass(now)
	switch e := event.(type) {
	case Report:
		p.report(now, e)
	case RouterGone:
		p.routerGone(now, e.Router)
	case Announced:
		p.announced(now, e)
	case Compared:
		p.compared(now, e)
	case Lent:
		p.lent(now, e)
	case History:
		p.join(e)
	case Declinations:
		p.declined(now, e)
	case Configured:
		p.configured(now, e.Rules)
	case Tick:
	}
	p.dispatch(now)
	return p.actions
}

func (p *Pool) act(action Action) {
	p.actions = append(p.actions, action)
}

// pass lets time go on to now.
func (p *Pool) pass(now time.Time) {
	if p.started.IsZero() {
		p.started, p.last, p.aged = now, now, now
	}
	if passed := now.Sub(p.last); passed > 0 {
		p.busyTime += passed * time.Duration(p.busy)
		p.usableTime += passed * time.Duration(p.usable)
		p.last = now
	}
	if !p.due.IsZero() && !now.Before(p.due) {
		p.expire(now)
	}
}

// wake makes sure that time passes at the deadline.
func (p *Pool) wake(at time.Time) {
	if p.due.IsZero() || at.Before(p.due) {
		p.due = at
	}
}

// Next returns when the next Tick is needed, the zero time if none is. It may
// be in the past: then a Tick is due now.
func (p *Pool) Next(_ time.Time) time.Time {
	return p.due
}

// Knows tells whether this life of a router has sent a full report. A host
// asks a router that it does not know for everything it has.
func (p *Pool) Knows(id RouterID) bool {
	known := p.routers[id.Name]
	return known != nil && known.id == id && known.known && !known.gone
}

func (p *Pool) configured(now time.Time, rules Rules) {
	p.rules = rules
	for _, w := range p.order {
		p.bind(w)
		p.reprice(w)
	}
	for _, e := range p.seats {
		if e != nil {
			e.draining = rules != nil && rules.Draining(e.id, e.labels)
			p.count(now, e)
		}
	}
	p.regroup = true
}
