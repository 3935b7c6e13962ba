package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// Load is what some routers have at one endpoint.
type Load struct {
	// Unread is how many tokens of prompts were sent there and are not yet read.
	Unread int
	// Running is how many requests run there, those that wait included.
	Running int
}

func (l Load) plus(other Load) Load {
	return Load{Unread: l.Unread + other.Unread, Running: l.Running + other.Running}
}

// Key names one life of an endpoint in what routers tell each other of their loads.
// It is 8 bytes where the id and the start are some 25.
func Key(listing lister.Listing) uint64 {
	return mix(hashText(listing.ID), lister.ToMillis(listing.Started))
}

// loadMemory is for how long others' loads are believed, twice the longest pause between
// two reports. Later ones would keep work away from endpoints that have long been idle.
const loadMemory = time.Second

// Loads returns what this router has at the endpoints, as far as other routers decide by
// it: of engines only those that have a prompt of it to read. What merely runs at an
// engine for seconds is most of all and changes nobody's choice.
func (b *Balancer) Loads() map[uint64]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	loads := make(map[uint64]Load)
	for _, e := range b.byID {
		engine := b.caps[e.Service] > 0
		if e.own.Unread > 0 || e.own.Running > 0 && !engine {
			loads[e.key] = e.own
		}
	}
	return loads
}

// Others takes what all other routers have at the endpoints. Each router has a part
// of the requests only: with the own load alone a few engines fill up unseen, and most of
// the late answers come from them.
func (b *Balancer) Others(now time.Time, loads map[uint64]Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.told = now
	for _, e := range b.byID {
		e.others = loads[e.key]
	}
}

// Routers sets how many routers share the endpoints.
func (b *Balancer) Routers(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.routers = count
}

// load returns what is at an endpoint. A router that has not been told for long takes
// the others to have there what it has itself.
func (b *Balancer) load(now time.Time, e *endpoint) Load {
	if now.Sub(b.told) <= loadMemory {
		return e.own.plus(e.others)
	}
	count := max(b.routers, 1)
	return Load{Unread: count * e.own.Unread, Running: count * e.own.Running}
}

// Backlog returns how long a service's engines still read what they have been sent,
// as the mean over those that take work. It is 0 for a service without any.
func (b *Balancer) Backlog(now time.Time, service string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fit := b.fit(service)
	total, count := time.Duration(0), 0
	for _, e := range b.services[service] {
		if !b.open(e) || b.doubt(now, e) != none {
			continue
		}
		total += time.Duration(float64(fit.Reading(b.load(now, e).Unread)) * e.factor.Get(now))
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}
