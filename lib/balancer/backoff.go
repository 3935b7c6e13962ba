package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// BackOff keeps new requests of this router away from the endpoint for a time, as the endpoint
// asked. It tells whether that is news.
//
// Unlike a pause, which is this router's own guess, a backoff is the endpoint's word: nothing
// that happens meanwhile ends it, and the endpoint is no last choice either.
func (s *Slot) BackOff(now time.Time, length time.Duration) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	e := s.endpoint
	begins := !e.backsOff(now)
	if backoff := now.Add(length); backoff.After(e.backoff) {
		e.backoff = backoff
	}
	if e.until.Before(e.backoff) {
		e.until = e.backoff // one request finds out then whether it takes work again
	}
	return begins
}

// Leave keeps new requests away from the endpoint for the rest of its life, as it says that
// it leaves. It tells whether that is news. Its heartbeat may be late, or reach nobody that
// this router hears.
func (s *Slot) Leave() bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	begins := s.endpoint.State < lister.Leaving
	s.endpoint.State = max(s.endpoint.State, lister.Leaving)
	return begins
}

// Open tells whether the endpoint still takes the request: since it was chosen it may have
// asked for backoff, or said that it leaves.
func (s *Slot) Open(now time.Time) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	return s.balancer.willing(now, s.endpoint)
}

func (e *endpoint) backsOff(now time.Time) bool {
	return now.Before(e.backoff)
}

// BackedOff returns at how many endpoints this router backs off.
func (b *Balancer) BackedOff(now time.Time) int {
	return b.count(func(e *endpoint) bool { return e.backsOff(now) })
}

// BackoffLeft returns for how long this router backs off at all endpoints of a service that
// could take a request, 0 if one does take it.
func (b *Balancer) BackoffLeft(now time.Time, service string, work *Work) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	first := time.Duration(0)
	for _, e := range b.all(service) {
		switch {
		case !work.suits(e):
		case b.takes(now, e):
			return 0
		case b.open(e) && e.backsOff(now) && (first == 0 || e.backoff.Sub(now) < first):
			first = e.backoff.Sub(now)
		}
	}
	return first
}
