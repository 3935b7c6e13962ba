package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// load is this router's load at one endpoint.
type load struct {
	unread  int // prompt tokens that were sent and are not prefilled yet
	running int // requests that run or wait there
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

// UnreadTokens returns the number of prompt tokens, by endpoint key, that this router has sent to
// each engine and that the engine has not prefilled yet. No other load is reported: running requests do
// not change the choice of other routers, and plain calls end before a report arrives.
func (b *Balancer) UnreadTokens() map[uint64]int {
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

// SetOtherLoads sets the unread tokens of all other routers at the engines. Each router sees only a
// part of the requests: with only its own load a few engines would fill up unnoticed, and cause
// most of the late answers.
func (b *Balancer) SetOtherLoads(now time.Time, unread map[uint64]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.otherLoadsAt = now
	for _, e := range b.byID {
		e.otherUnread = unread[e.key]
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
		return e.own.unread + e.otherUnread
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
		total += time.Duration(float64(fit.PrefillTime(b.unreadTokens(now, e))) * e.factor.Get(now))
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}
