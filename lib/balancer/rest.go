package balancer

import (
	"time"

	"shallotkeel.example/lib/lister"
)

// Rest keeps new requests of this router away from the endpoint for a time, as the endpoint
// asked. It tells whether that is news: the endpoint did not rest before.
//
// Unlike a pause, which is this router's own guess, a rest is the endpoint's word: nothing
// that happens meanwhile ends it, and the endpoint is no last choice either.
func (s *Slot) Rest(now time.Time, length time.Duration) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	e := s.endpoint
	begins := !e.resting(now)
	if rest := now.Add(length); rest.After(e.rest) {
		e.rest = rest
	}
	if e.until.Before(e.rest) {
		e.until = e.rest // one request finds out then whether it takes work again
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

// Open tells whether the endpoint still takes the request: it may have said that it rests or
// leaves since it was chosen.
func (s *Slot) Open(now time.Time) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	return s.balancer.open(s.endpoint) && !s.endpoint.resting(now)
}

func (e *endpoint) resting(now time.Time) bool {
	return now.Before(e.rest)
}

// Resting returns how many endpoints rest.
func (b *Balancer) Resting(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, e := range b.byID {
		if e.resting(now) {
			count++
		}
	}
	return count
}

// Rested returns for how long a service has no endpoint but those that rest, 0 if another
// one takes work or none rests.
func (b *Balancer) Rested(now time.Time, service string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	first := time.Duration(0)
	for _, e := range b.services[service] {
		switch {
		case b.takes(now, e):
			return 0
		case b.open(e) && e.resting(now) && (first == 0 || e.rest.Sub(now) < first):
			first = e.rest.Sub(now)
		}
	}
	return first
}
