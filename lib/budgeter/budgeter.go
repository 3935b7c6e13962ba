// Package budgeter bounds how many requests this router sends once more, so that
// all routers together stay within a fleet's bound in every sliding window.
//
// The bound of a service is a share of its requests plus a constant. A router
// spends the share of its own requests and its even part of the constant; no
// router has to ask another, and whatever way requests are spread, the sum stays
// below the bound.
//
// Invariant: in no window of Window does Spend allow more than Ratio times the
// requests of the shortest whole window before, plus Slack divided by Routers.
package budgeter

import (
	"sync"
	"time"
)

const (
	// steps is into how many parts a window is cut. One more is kept, so that the
	// oldest part is counted whole: a little too much is counted as spent, never
	// too little.
	steps = 10
	// safety is the part of the bound that is used. Requests on their way between
	// two parts of a window would otherwise count in the wrong one.
	safety = 0.7
	// maxServices bounds the services that are counted.
	maxServices = 1024
)

// Bound is what all routers together may spend at one service in a window.
type Bound struct {
	Ratio  float64       // of the requests for the service
	Slack  float64       // besides
	Window time.Duration // sliding
}

// Budgeter counts. Set Bound before use. It is safe for concurrent use.
type Budgeter struct {
	Bound Bound

	mutex    sync.Mutex
	routers  int
	services map[string]*counts
}

type counts struct {
	step     int64
	requests [steps + 1]int
	spent    [steps + 1]int
}

// Share sets among how many routers the constant is divided.
func (b *Budgeter) Share(routers int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.routers = routers
}

// Request counts a client's request for a service.
func (b *Budgeter) Request(now time.Time, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c := b.at(now, service); c != nil {
		c.requests[c.step%(steps+1)]++
	}
}

// Spend tells whether a request may be sent once more, and counts it if so.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.at(now, service)
	if c == nil {
		return false
	}
	requests, spent := 0, 0
	for i := range c.requests {
		spent += c.spent[i]
		if int64(i) != (c.step+1)%(steps+1) { // the oldest part may be outside
			requests += c.requests[i]
		}
	}
	allowed := safety * (b.Bound.Ratio*float64(requests) + b.Bound.Slack/float64(max(b.routers, 1)))
	if float64(spent+1) > allowed {
		return false
	}
	c.spent[c.step%(steps+1)]++
	return true
}

// at returns a service's counts, with the parts that are over cleared.
func (b *Budgeter) at(now time.Time, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
	}
	step := int64(0)
	if b.Bound.Window > 0 {
		step = now.UnixNano() / int64(b.Bound.Window/steps)
	}
	c, found := b.services[service]
	if !found {
		if len(b.services) >= maxServices {
			return nil
		}
		c = &counts{step: step}
		b.services[service] = c
	}
	for range min(step-c.step, steps+1) {
		c.step++
		c.requests[c.step%(steps+1)], c.spent[c.step%(steps+1)] = 0, 0
	}
	c.step = max(c.step, step)
	return c
}
