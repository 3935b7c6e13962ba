// Package budgeter bounds the retries of this router so that all routers together stay within a
// fleet-wide bound in every sliding window.
//
// The bound of a service is a fraction of its requests plus a constant. A router may spend the
// fraction of its own requests plus an even share of the constant. Routers need not communicate,
// and however the requests are distributed among them, the sum stays below the bound.
//
// Invariant: Spend allows a retry only if the retries of the last Window, this one included, are at
// most Ratio times the requests of the same time plus Slack divided by the number of routers. That
// includes what the router spent before one restart within that time; after a second one it may spend more.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets of a window. One more is kept, so that the oldest bucket
	// counts in full: the retries of a window may be overcounted slightly, but never undercounted.
	buckets = 10
	// safety is the fraction of the bound that is used. Requests on their way between two buckets
	// of a window would otherwise count in the wrong one.
	safety = 0.7
	// maxServices bounds the services for which counts are kept.
	maxServices = 1024
)

// Bound limits the retries of all routers together at one service within a window.
type Bound struct {
	Ratio  float64       // retries per request for the service
	Slack  float64       // retries in addition
	Window time.Duration // length of the sliding window
}

// Budgeter counts requests and retries by service. Bound must be set before use. Budgeter is safe
// for concurrent use.
type Budgeter struct {
	Bound Bound
	// Started is when this router has started, zero if that was long ago. Nobody knows what it spent before.
	Started time.Time

	mutex    sync.Mutex
	routers  int
	services map[string]*counts
}

// counts holds the requests and retries of one service in a ring of buckets.
type counts struct {
	bucket   int64 // number of the current bucket since 1970
	requests [buckets + 1]int
	spent    [buckets + 1]int
}

// SetRouters sets the number of routers among which the constant is divided.
func (b *Budgeter) SetRouters(routers int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.routers = routers
}

// Request counts a client's request for a service.
func (b *Budgeter) Request(now time.Time, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c := b.advance(now, service); c != nil {
		c.requests[c.bucket%(buckets+1)]++
	}
}

// Spend reports whether a request may be retried, and counts the retry if so.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.advance(now, service)
	if c == nil {
		return false
	}
	requests, spent := 0, 0
	for i := range c.requests {
		spent += c.spent[i]
		if int64(i) != (c.bucket+1)%(buckets+1) { // the oldest bucket may lie outside the window
			requests += c.requests[i]
		}
	}
	allowed := safety*b.Bound.Ratio*float64(requests) + b.slackShare(now)*b.Bound.Slack/float64(max(b.routers, 1))
	if float64(spent+1) > allowed {
		return false
	}
	c.spent[c.bucket%(buckets+1)]++
	return true
}

// slackShare returns the fraction of this router's share of the constant that may be spent. A router that has
// started within the window may have spent safety of it before, and gets the rest.
func (b *Budgeter) slackShare(now time.Time) float64 {
	if !b.Started.IsZero() && now.Sub(b.Started) <= b.Bound.Window+b.Bound.Window/buckets {
		return 1 - safety
	}
	return safety
}

// advance returns a service's counts, after clearing the buckets that have left the window. It
// returns nil for a service without counts if maxServices are counted already.
func (b *Budgeter) advance(now time.Time, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
	}
	step := int64(0)
	if b.Bound.Window > 0 {
		step = now.UnixNano() / int64(b.Bound.Window/buckets)
	}
	c, found := b.services[service]
	if !found {
		if len(b.services) >= maxServices {
			return nil
		}
		c = &counts{bucket: step}
		b.services[service] = c
	}
	for range min(step-c.bucket, buckets+1) {
		c.bucket++
		c.requests[c.bucket%(buckets+1)], c.spent[c.bucket%(buckets+1)] = 0, 0
	}
	c.bucket = max(c.bucket, step)
	return c
}
