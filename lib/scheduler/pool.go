package scheduler

import "time"

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
	// in units by weight. By default it follows the work in flight.
	Debt float64
	// Lease is how long a loan lasts without being renewed.
	Lease time.Duration
	// HungAfter is how long an endpoint with work may show no progress.
	HungAfter time.Duration
	// NoEndpointAfter is how long a ticket waits where no endpoint can serve it.
	NoEndpointAfter time.Duration
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

// Pool schedules one service in one availability zone. It is not safe for
// concurrent use: the host applies events from one goroutine.
type Pool struct {
	options Options
}

// New returns an empty pool. It grants nothing before the first Configured
// event, because without rules it cannot know what is allowed.
func New(options Options) *Pool {
	return &Pool{options: options}
}

// Apply takes one event and returns what the host has to do, in order.
func (p *Pool) Apply(now time.Time, event Event) []Action {
	_, _ = now, event
	return nil
}

// Next returns when the next Tick is needed, the zero time if none is.
func (p *Pool) Next(now time.Time) time.Time {
	return now.Add(time.Second)
}

// Knows tells whether this life of a router has sent a full report. A host
// asks a router that it does not know for everything it has.
func (p *Pool) Knows(router RouterID) bool {
	_ = router
	return false
}

// Offer returns what the host sends to the same service's schedulers of the
// other zones, the same to each: own totals that changed, what waits here, the
// loans that are over and those still in use, and the free slots.
func (p *Pool) Offer(now time.Time) (totals []Total, demand []Demand, returned, renewed []uint64, idle int) {
	_ = now
	return nil, nil, nil, nil, 0
}

// History returns the collapsed totals for another zone's scheduler that joins.
func (p *Pool) History() []Total {
	return nil
}

// Stats describes the pool.
func (p *Pool) Stats(now time.Time) Stats {
	_ = now
	return Stats{Zone: p.options.Zone, Service: p.options.Service, Origin: p.options.Origin}
}
