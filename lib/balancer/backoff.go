package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// BackOff stops new requests of this router to the endpoint for the given length, as the endpoint
// asked. It reports whether the endpoint was not in backoff before.
//
// Unlike a pause, which this router derives from failures, a backoff is an instruction of the
// endpoint: no other event shortens it, and the endpoint is not a last resort either.
func (s *Slot) BackOff(now time.Time, length time.Duration) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	e := s.endpoint
	starts := !e.inBackoff(now)
	if backoff := now.Add(length); backoff.After(e.backoffUntil) {
		e.backoffUntil = backoff
	}
	if e.pausedUntil.Before(e.backoffUntil) {
		e.pausedUntil = e.backoffUntil // the first request after the backoff is a probe
	}
	return starts
}

// MarkLeaving stops new requests to the endpoint for the rest of its lifetime, because the endpoint
// announced in an answer that it leaves. It reports whether this was not known before. The
// heartbeat with the same state may be late, or may not reach any keeper that this router follows.
func (s *Slot) MarkLeaving() bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	starts := s.endpoint.State < lister.Leaving
	s.endpoint.State = max(s.endpoint.State, lister.Leaving)
	s.endpoint.endAccepting()
	return starts
}

// StillAccepts reports whether the endpoint still accepts the request: after it was picked it may
// have asked for backoff or announced that it leaves.
func (s *Slot) StillAccepts(now time.Time) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	return s.balancer.isWilling(now, s.endpoint)
}

func (e *endpoint) inBackoff(now time.Time) bool {
	return now.Before(e.backoffUntil)
}

// CountBackedOff returns the number of endpoints that are in backoff for this router.
func (b *Balancer) CountBackedOff(now time.Time) int {
	return b.count(func(e *endpoint) bool { return e.inBackoff(now) })
}

// BackoffRemaining returns the time until the first backoff ends among the endpoints of a service
// that could run the request. It is 0 if one of them is available now, or if none of them is in
// backoff.
func (b *Balancer) BackoffRemaining(now time.Time, service string, work *Work) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shortest := time.Duration(0)
	for _, e := range b.all(service) {
		switch {
		case !work.matchesVersion(e):
		case b.isAvailable(now, e):
			return 0
		case b.isEligible(e) && e.inBackoff(now) && (shortest == 0 || e.backoffUntil.Sub(now) < shortest):
			shortest = e.backoffUntil.Sub(now)
		}
	}
	return shortest
}
