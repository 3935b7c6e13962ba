package balancer

import (
	"time"

	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/resolver"
)

// gapWindow is the number of events whose mean gap is one observation of an engine's speed. Single
// gaps differ by the prefills that the engine does in between.
const gapWindow = 8

// generation follows the output of one request at an engine.
type generation struct {
	expected  int // tokens that it will probably generate in total
	generated int // tokens in the events that have arrived
	remaining int // its part of the endpoint's remaining tokens
	// window is the number of events since the event at windowStart, lastEvent the time of the last of
	// them, and running the number of requests that the engine ran at windowStart.
	window      int
	windowStart time.Time
	lastEvent   time.Time
	running     int
}

// SetEngine sets the capacity of each engine of a service. It enables slot waits, learned speeds and
// step times for the service.
func (b *Balancer) SetEngine(service string, engine resolver.Engine) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.engines == nil {
		b.engines = make(map[string]resolver.Engine)
	}
	b.engines[service] = engine
	for _, e := range b.all(service) {
		e.engine, e.hasEngine = engine, true
	}
}

// beginGeneration adds the output that a request will probably generate to the endpoint's remaining tokens.
func (s *Slot) beginGeneration(work *Work) {
	s.generation.expected = work.expectedOutput()
	s.setRemaining(s.generation.expected)
}

// expectedOutput returns the number of tokens that a request will probably generate.
func (w *Work) expectedOutput() int {
	if w.Expected <= 0 || w.Output > 0 && w.Expected > w.Output {
		return w.Output
	}
	return w.Expected
}

func (s *Slot) setRemaining(tokens int) {
	s.endpoint.own.remaining += tokens - s.generation.remaining
	s.generation.remaining = tokens
}

// NoteEvents records that events of the request's stream arrived together. It is called for each piece
// of a stream that is relayed.
func (s *Slot) NoteEvents(now time.Time, events int) {
	if events <= 0 {
		return
	}
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	if s.ended {
		return
	}
	g, stride := &s.generation, s.endpoint.stride()
	g.generated += events * stride
	// A request that has generated what was expected goes on for at least one event.
	s.setRemaining(max(g.expected-g.generated, stride))
	if g.windowStart.IsZero() {
		s.beginWindow(now)
		return
	}
	g.window += events
	g.lastEvent = now
	if g.window >= gapWindow {
		s.observeGaps(now)
		s.beginWindow(now)
	}
}

// OutputTokens returns the number of tokens in the events that have arrived.
func (s *Slot) OutputTokens() int {
	return s.generation.generated
}

func (s *Slot) beginWindow(now time.Time) {
	s.generation.window, s.generation.windowStart = 0, now
	s.generation.running = s.endpoint.batch(s.balancer.runningRequests(now, s.endpoint))
}

// observeGaps updates the step times and the engine's speed with the mean gap of the window's events.
func (s *Slot) observeGaps(now time.Time) {
	g, e := &s.generation, s.endpoint
	if g.window == 0 || !e.hasEngine {
		return
	}
	perToken := g.lastEvent.Sub(g.windowStart) / time.Duration(g.window*e.stride())
	steps := e.steps
	if steps.Known() {
		e.speed.ObserveGap(now, perToken, steps.Time(g.running))
		e.updateSpeed(now)
	}
	steps.Observe(g.running, perToken)
}

// endGeneration removes the request's remaining tokens from the endpoint's.
func (s *Slot) endGeneration(now time.Time) {
	s.observeGaps(now)
	s.setRemaining(0)
}

// stride returns the number of tokens in an event of an engine, 1 if it is not configured: remaining work
// is then counted in events.
func (e *endpoint) stride() int {
	return max(e.engine.Stride, 1)
}

// stepTimes returns the model of the step times of a service's engines.
func (b *Balancer) stepTimes(service string) *predictor.Steps {
	known, found := b.steps[service]
	if !found {
		if b.steps == nil {
			b.steps = make(map[string]*predictor.Steps)
		}
		known = &predictor.Steps{}
		b.steps[service] = known
	}
	return known
}

// runningRequests returns the number of requests at an endpoint, over all routers. Stale reports are
// not used, and are not extrapolated from the own load: a single request of this router would stand for
// one of each router, more than an engine runs.
func (b *Balancer) runningRequests(now time.Time, e *endpoint) int {
	if now.Sub(b.otherWorkAt) <= maxLoadAge {
		return e.own.running + e.other.running
	}
	return e.own.running
}

// slotWait returns the expected time until an engine has a free slot for one more request. Requests end
// evenly over the time that they take: of s running ones with r tokens remaining in the mean, one ends
// every 2r/(s+1) steps.
func (b *Balancer) slotWait(now time.Time, e *endpoint) time.Duration {
	slots := e.engine.Slots
	if slots <= 0 || !e.steps.Known() {
		return 0
	}
	running := b.runningRequests(now, e)
	if running < slots {
		return 0
	}
	remaining := e.own.remaining
	if now.Sub(b.otherWorkAt) <= maxLoadAge {
		remaining += e.other.remaining
	}
	mean := float64(remaining) / float64(running)
	stepsUntilFree := 2 * mean * float64(running-slots+1) / float64(slots+1)
	return scale(e.steps.Time(slots), e.gapFactor*stepsUntilFree)
}

// batch returns how many of the given requests an engine runs at once.
func (e *endpoint) batch(requests int) int {
	if e.engine.Slots <= 0 {
		return requests
	}
	return min(requests, e.engine.Slots)
}

// gapLateness returns by how much the expected gap between the events of a request's stream exceeds the
// longest gap that is in time.
func (b *Balancer) gapLateness(now time.Time, e *endpoint, work *Work) time.Duration {
	steps := e.steps
	if work.Gap <= 0 || !steps.Known() {
		return 0
	}
	gap := scale(steps.Time(e.batch(b.runningRequests(now, e)+1)), e.gapFactor*float64(e.stride()))
	return max(gap-work.Gap, 0)
}

// runningPrice returns the price of the requests that an engine runs: the time by which they lengthen the
// generation of this request, or a constant for each where step times are not known.
func (b *Balancer) runningPrice(now time.Time, e *endpoint, fit *predictor.Fit, work *Work, weights Weights) float64 {
	steps := e.steps
	if !e.hasEngine || !steps.Known() {
		return weights.Running * float64(e.own.running)
	}
	running := e.batch(b.runningRequests(now, e) + 1)
	// An engine that is slower than the mean lengthens the generation as well as one that runs more requests.
	longer := scale(steps.Time(running), e.gapFactor) - steps.Time(0)
	return min(weights.Slowdown*fit.PrefillTokens(longer*time.Duration(work.expectedOutput())), weights.MaxSlowdown)
}
