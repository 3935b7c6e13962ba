package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// load is what this router has at one endpoint.
type load struct {
	unread  int // tokens of prompts that were sent there and are not yet read
	running int // requests that run there, those that wait included
}

// Key names one life of an endpoint in what routers tell each other of their loads.
// It is 8 bytes where the id and the start are some 25.
func Key(listing lister.Listing) uint64 {
	return mix(hashText(listing.ID), lister.ToMillis(listing.Started))
}

// loadMemory is for how long others' loads are believed, twice the longest pause between
// two reports. Later ones would keep work away from endpoints that have long been idle.
const loadMemory = time.Second

// Unread returns how many tokens of prompts this router has sent to each engine that are
// not yet read there. Nothing else of what it has is told: what merely runs at an engine
// changes nobody's choice, and calls of plain services are over before others hear of them.
func (b *Balancer) Unread() map[uint64]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	unread := make(map[uint64]int)
	for _, e := range b.byID {
		if e.own.unread > 0 {
			unread[e.key] = e.own.unread
		}
	}
	return unread
}

// Others takes how many unread tokens all other routers have at the engines. Each router has
// a part of the requests only: with the own load alone a few engines fill up unseen, and most
// of the late answers come from them.
func (b *Balancer) Others(now time.Time, unread map[uint64]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.told = now
	for _, e := range b.byID {
		e.others = unread[e.key]
	}
}

// Routers sets how many routers share the endpoints.
func (b *Balancer) Routers(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.routers = count
}

// unread returns how many tokens an engine has to read. A router that has not been told for
// long takes the others to have there what it has itself.
func (b *Balancer) unread(now time.Time, e *endpoint) int {
	if now.Sub(b.told) <= loadMemory {
		return e.own.unread + e.others
	}
	return max(b.routers, 1) * e.own.unread
}

// Backlog returns how long a service's engines still read what they have been sent,
// as the mean over those that take work. It is 0 for a service without any.
func (b *Balancer) Backlog(now time.Time, service string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fit := b.fit(service)
	total, count := time.Duration(0), 0
	for _, e := range b.all(service) {
		if !b.willing(now, e) || b.doubt(now, e) != none {
			continue
		}
		total += time.Duration(float64(fit.Reading(b.unread(now, e))) * e.factor.Get(now))
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}
