package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// Slot is a request's place at an endpoint.
type Slot struct {
	ID      string
	Address netip.AddrPort
	// Version is the software version of the endpoint, empty if it is not known.
	Version string
	// PrefillTokens is the number of tokens that the engine probably has to prefill.
	PrefillTokens int
	// ExpectedWait is the expected time to the first token, and ExpectedQueue the part of it in
	// which the engine prefills the requests sent earlier.
	ExpectedWait, ExpectedQueue time.Duration
	// HealthPenalty names the penalty of the endpoint when it was chosen, "none" if it had none,
	// and Pause is the time that remained of its pause.
	HealthPenalty string
	Pause         time.Duration

	transfer

	balancer     *Balancer
	endpoint     *endpoint
	key          uint64 // of the endpoint when it was chosen
	sentAt       time.Time
	queuedTokens int // unread tokens of other requests there, when this one was sent
	slotWait     time.Duration
	generation   generation
	// objective is the target latency of a plain call, 0 for other requests.
	objective        time.Duration
	awaitsFirstToken bool
	ended            bool
	probe            bool
}

// Outcome is the way a request ended at its endpoint.
type Outcome uint8

// The outcomes of a request.
const (
	// Served means that the endpoint sent a complete answer.
	Served Outcome = iota + 1
	// Faulty means that the endpoint answered with an error of its own.
	Faulty
	// ConnectionBroken means that the connection broke after it was made.
	ConnectionBroken
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// ConnectLate means that no connection was made in time, but that the router itself is
	// overloaded and may be the cause.
	ConnectLate
	// Full means that the endpoint refused the request for lack of capacity.
	Full
	// WrongInstance means that another instance answered at the address.
	WrongInstance
	// Cancelled means that the client left or the request's deadline passed. It says nothing about the
	// endpoint, unless that sent nothing to anybody in the meantime.
	Cancelled
)

// provesReachable reports whether the outcome proves that the endpoint accepts connections.
func (o Outcome) provesReachable() bool {
	return o == Served || o == Faulty || o == Full || o == WrongInstance
}

// NoteResponse records that the endpoint sent data of its answer, and so has prefilled the prompt.
func (s *Slot) NoteResponse(now time.Time) {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	s.endpoint.noteData(now, s)
	s.endpoint.connectFailed = false
	s.endProbe(now)
	s.balancer.noteReachable(s.endpoint)
	if s.awaitsFirstToken && len(s.endpoint.awaiting) > 0 {
		s.observeWait(now)
	}
	if s.awaitsFirstToken && s.objective > 0 {
		s.endpoint.pressure.observeAnswer(now.Sub(s.sentAt), s.objective)
	}
	s.endPrefill()
}

// endProbe allows other requests to an endpoint that has begun to answer its probe. Waiting for the
// end of the answer would leave it idle for seconds during a stream.
func (s *Slot) endProbe(now time.Time) {
	if !s.probe {
		return
	}
	s.probe, s.endpoint.probing = false, false
	if !now.Before(s.endpoint.pausedUntil) {
		s.endpoint.pausedUntil = time.Time{}
	}
}

// observeWait updates the prefill model with the wait for the first token. A wait with a fetch says
// little about prefills: the source may have evicted the prefix, or transfer others first.
func (s *Slot) observeWait(now time.Time) {
	if s.Source.IsValid() {
		return
	}
	fit, waited := s.balancer.fit(s.endpoint.Service), now.Sub(s.sentAt)
	predicted, e := fit.Wait(s.queuedTokens+s.PrefillTokens), s.endpoint
	e.factor.Observe(now, waited, scale(predicted, e.waitFactor)+s.slotWait)
	fit.ObserveDeviation(waited - s.ExpectedWait)
	if s.slotWait > predicted {
		return // the wait says more about the requests that ran than about the engine's prefill
	}
	prefilled := max(waited-s.slotWait, 0)
	// The fit takes waits as they are. If learned speeds were divided out of them, each would follow the
	// other: the mean of logarithms is below that of the waits, so that factors would fall and the fit rise.
	fit.Observe(s.queuedTokens+s.PrefillTokens, prefilled)
	if e.hasEngine {
		e.speed.ObserveWait(now, prefilled, predicted)
		e.updateSpeed(now)
	}
}

// EndpointLifetime returns a context that is done once the endpoint has restarted: the request of
// the slot has ended with the previous lifetime.
func (s *Slot) EndpointLifetime() context.Context {
	return s.endpoint.lifetime
}

// EndpointAccepting returns a context that is done once the endpoint leaves or is gone: nothing may reach it long after
// that.
func (s *Slot) EndpointAccepting() context.Context {
	return s.endpoint.accepting
}

// SlotWait returns the part of ExpectedQueue until the engine has a free slot.
func (s *Slot) SlotWait() time.Duration {
	return s.slotWait
}

// Key identifies the lifetime of the endpoint that the slot was taken from, as Key does.
func (s *Slot) Key() uint64 {
	return s.key
}

func (s *Slot) endPrefill() {
	if s.awaitsFirstToken {
		s.awaitsFirstToken = false
		s.endTransfer()
		s.endpoint.own.unread -= s.PrefillTokens
		s.endpoint.awaiting = slices.DeleteFunc(s.endpoint.awaiting, func(other *Slot) bool { return other == s })
	}
}

// End releases the slot. Later calls do nothing.
func (s *Slot) End(now time.Time, outcome Outcome) {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	e := s.endpoint
	heardNothing := s.heardNothing(now)
	s.endPrefill()
	s.endGeneration(now)
	e.own.running--
	if s.probe {
		e.probing = false
	}
	if outcome.provesReachable() {
		e.connectFailed = false
	}
	switch outcome {
	case Served:
		e.failureShare *= 1 - failureWeight
		e.consecutiveFailures, e.pausedUntil = 0, time.Time{}
		if e.inBackoff(now) {
			e.pausedUntil = e.backoffUntil
		}
	case Faulty, ConnectionBroken:
		e.failureShare = e.failureShare*(1-failureWeight) + failureWeight
		if outcome == ConnectionBroken {
			s.balancer.forgetHeld(e)
		}
		if outcome == ConnectionBroken || s.balancer.failsMoreThanUsual(e) {
			e.pauseAfter(now, s)
		}
	case ConnectFailed:
		e.connectFailed = true
		s.balancer.forgetHeld(e)
		e.pauseAfter(now, s)
		s.balancer.noteUnreachable(now, e)
	case Cancelled:
		if heardNothing {
			e.pauseAfter(now, s)
		}
	case Full, WrongInstance, ConnectLate:
		e.pause(now)
		if outcome == Full && s.objective > 0 {
			e.pressure.observeFull(s.objective)
		}
	}
}

// pause stops new requests to the endpoint, for longer with each consecutive failure.
func (e *endpoint) pause(now time.Time) {
	if now.Before(e.pausedUntil) {
		return // failures of requests sent before the pause began do not extend it
	}
	length := min(initialPause<<min(e.consecutiveFailures, 10), maxPause)
	e.consecutiveFailures++
	e.pausedUntil, e.silence.causedPause = now.Add(length), false
}
