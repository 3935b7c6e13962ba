package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// Slot is one request at an endpoint.
type Slot struct {
	ID      string
	Address netip.AddrPort
	// Version is that of the endpoint's software, empty if it is not known.
	Version string
	// Reading is how many tokens the engine probably has to read.
	Reading int
	// Wait is how long the first token probably takes, and Queue the part of it for
	// which the engine reads what was sent before.
	Wait, Queue time.Duration
	// Doubt is what spoke against the endpoint when it was chosen, "none" if nothing did, and
	// Pause how much of its pause was left.
	Doubt string
	Pause time.Duration

	balancer *Balancer
	endpoint *endpoint
	sent     time.Time
	ahead    int // tokens that were unread there
	// objective is that of a call of a plain service, 0 for others.
	objective time.Duration
	reading   bool
	ended     bool
	probe     bool
}

// Outcome says how a request left its endpoint.
type Outcome uint8

// The outcomes.
const (
	// Served is an answer of the endpoint that was whole.
	Served Outcome = iota + 1
	// Faulty is an answer that says that the endpoint failed.
	Faulty
	// Broken is a connection that broke.
	Broken
	// Unreached is a connection that could not be made.
	Unreached
	// Late is a connection that was not made in time by a router that is late itself.
	Late
	// Full is a refusal because the endpoint has no room.
	Full
	// Wrong is the answer of another instance at that address.
	Wrong
	// Withdrawn is a request whose client left; it says nothing of the endpoint.
	Withdrawn
)

// connected tells whether the outcome shows that the endpoint listens.
func (o Outcome) connected() bool {
	return o == Served || o == Faulty || o == Full || o == Wrong
}

// Heard notes that the endpoint sends its answer, and so has read the prompt.
func (s *Slot) Heard(now time.Time) {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	s.endpoint.heard, s.endpoint.closed = now, false
	s.endProbe(now)
	s.balancer.reached(s.endpoint)
	if s.reading && len(s.endpoint.unread) > 0 {
		s.learn(now)
	}
	if s.reading && s.objective > 0 {
		s.endpoint.pressure.answered(now.Sub(s.sent), s.objective)
	}
	s.began()
}

// endProbe lets others be sent to an endpoint that has begun to answer its probe. Until the
// end of a stream it would be idle for seconds.
func (s *Slot) endProbe(now time.Time) {
	if !s.probe {
		return
	}
	s.probe, s.endpoint.probing = false, false
	if !now.Before(s.endpoint.until) {
		s.endpoint.until = time.Time{}
	}
}

// learn takes the wait for the first token.
func (s *Slot) learn(now time.Time) {
	fit, waited := s.balancer.fit(s.endpoint.Service), now.Sub(s.sent)
	s.endpoint.factor.Observe(now, waited, fit.Wait(s.ahead+s.Reading))
	fit.Observe(s.ahead+s.Reading, waited)
	fit.Deviate(waited - s.Wait)
}

// Dark tells whether the endpoint has sent nothing at all for a time, on any of
// this router's connections. One that is only slow still sends to others.
func (s *Slot) Dark(now time.Time, limit time.Duration) bool {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	return now.Sub(s.endpoint.heard) >= limit
}

// Life is done once the endpoint has started again: what ran in the slot has ended.
func (s *Slot) Life() context.Context {
	return s.endpoint.life
}

func (s *Slot) began() {
	if s.reading {
		s.reading = false
		s.endpoint.own.unread -= s.Reading
		s.endpoint.unread = slices.DeleteFunc(s.endpoint.unread, func(other *Slot) bool { return other == s })
	}
}

// End gives the slot back. Later calls do nothing.
func (s *Slot) End(now time.Time, outcome Outcome) {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.began()
	e := s.endpoint
	e.own.running--
	if s.probe {
		e.probing = false
	}
	if outcome.connected() {
		e.closed = false
	}
	switch outcome {
	case Served:
		e.failed *= 1 - memory
		e.pauses, e.until = 0, time.Time{}
		if e.backsOff(now) {
			e.until = e.backoff
		}
	case Faulty, Broken:
		e.failed = e.failed*(1-memory) + memory
		if outcome == Broken || s.balancer.faulty(e) {
			e.pause(now)
		}
	case Unreached:
		e.closed = true
		e.pause(now)
		s.balancer.unreached(now, e)
	case Full, Wrong, Late:
		e.pause(now)
		if outcome == Full && s.objective > 0 {
			e.pressure.turnedAway(s.objective)
		}
	}
}

// pause keeps new work away for a while.
func (e *endpoint) pause(now time.Time) {
	if now.Before(e.until) {
		return // failures of requests that were sent before the pause began
	}
	length := min(firstPause<<min(e.pauses, 10), longestPause)
	e.pauses++
	e.until = now.Add(length)
}
