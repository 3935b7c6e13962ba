package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// load is the load that some routers have put on one endpoint.
type load struct {
	unread    int // prompt tokens that were sent and are not prefilled yet
	running   int // requests that run or wait there
	remaining int // output tokens that these requests will probably still generate
}

// Load is the load on one engine, as routers report it.
type Load struct {
	Unread, Running, Remaining int
}

// Key identifies one lifetime of an endpoint in the load reports of routers. It has 8 bytes, where
// the id and the start time need some 25.
func Key(listing lister.Listing) uint64 {
	return mix(hashText(listing.ID), lister.ToMillis(listing.Started))
}

// maxLoadAge is how long the reported loads of other routers are used: twice the longest interval
// between two reports. Older loads would keep requests away from endpoints that have since become
// idle.
const maxLoadAge = time.Second

// Loads returns the load, by endpoint key, that this router has on each engine. Running requests are
// reported for services with known engine capacity. Plain calls are not reported: they end before a
// report arrives.
func (b *Balancer) Loads() map[uint64]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	loads := make(map[uint64]Load)
	for _, e := range b.byID {
		own := Load{Unread: e.own.unread}
		if e.hasEngine {
			own.Running, own.Remaining = e.own.running, e.own.remaining
		}
		if own != (Load{}) {
			loads[e.key] = own
		}
	}
	return loads
}

// SetOtherLoads sets the loads of all other routers on the engines. Each router sees only a part of
// the requests: with only its own load a few engines would fill up unnoticed, and cause most of the
// late answers. Running requests are sent less often than unread tokens: loads of which none has any
// leave the former ones in force.
func (b *Balancer) SetOtherLoads(now time.Time, loads map[uint64]Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.otherLoadsAt = now
	withWork := false
	for _, other := range loads {
		withWork = withWork || other.Running > 0
	}
	if withWork {
		b.otherWorkAt = now
	}
	for _, e := range b.byID {
		other := loads[e.key]
		e.other.unread = other.Unread
		if withWork {
			e.other.running, e.other.remaining = other.Running, other.Remaining
		}
	}
}

// SetRouterCount sets the number of routers that share the endpoints.
func (b *Balancer) SetRouterCount(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.routers = count
}

// unreadTokens returns the number of prompt tokens that an engine has not prefilled yet. If the
// loads of other routers are stale, each of them is assumed to have as many tokens there as this
// router.
func (b *Balancer) unreadTokens(now time.Time, e *endpoint) int {
	if now.Sub(b.otherLoadsAt) <= maxLoadAge {
		return e.own.unread + e.other.unread
	}
	return max(b.routers, 1) * e.own.unread
}

// Backlog returns the mean time that the engines of a service need to prefill the prompts that they
// have been sent, over the engines that accept requests and have no penalty. It is 0 if there are
// none.
func (b *Balancer) Backlog(now time.Time, service string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fit := b.fit(service)
	total, count := time.Duration(0), 0
	for _, e := range b.all(service) {
		if !b.isWilling(now, e) || b.healthPenalty(now, e) != penaltyNone {
			continue
		}
		total += time.Duration(float64(fit.PrefillTime(b.unreadTokens(now, e))) * e.waitFactor * e.factor.Get(now))
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}
