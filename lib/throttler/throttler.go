// Package throttler determines how many requests an endpoint may have in flight.
//
// Engines admit requests in arrival order and have no priorities, so that a request that is sent
// too early waits in the engine, where it can no longer be reordered, and one that is sent too late
// leaves the batch short. The window starts at the announced slots. It follows the wait before the
// first unit, less the shortest wait observed for prompts of that size, relative to the time that
// the remaining units take: a wait that is a large part of the service time indicates a queue in
// the engine.
//
// Invariants: the window lies between a quarter of the announced slots, at least one, and all of
// them, and is 0 for no slots; it changes at most once per window's worth of finished requests, up
// by one and down by an eighth. Refusals of the endpoint lower it at once.
package throttler

import (
	"math/bits"
	"time"
)

// Thresholds of the mean wait, relative to the mean service time. Between them the window is kept,
// so that it does not oscillate.
const (
	shrinkAbove = 0.5
	growBelow   = 0.2
	gain        = 1.0 / 8 // EWMA weight of one request
	// minShrinkWait is the wait up to which the window never shrinks, however short the service
	// time: the waits of prompts that miss the cache differ by that much without any queue.
	minShrinkWait = 500 * time.Millisecond
	// minWindowDivisor gives the minimum window: one in minWindowDivisor of the announced slots is
	// always used, so that a wrong conclusion about queues cannot idle an engine.
	minWindowDivisor = 4
	shrinkDivisor    = 8
	// sizeClasses is the number of prompt size classes, each of which has its own shortest wait.
	sizeClasses = 16
)

// Throttler adapts the window of one endpoint. The zero value has no slots. Throttler is not safe
// for concurrent use.
type Throttler struct {
	slots    int
	window   int
	finished int                  // requests since the window last changed
	wait     float64              // EWMA of the excess wait, in nanoseconds
	service  float64              // EWMA of the service time, in nanoseconds
	shortest [sizeClasses]float64 // shortest wait by size class, in nanoseconds
}

// Sample describes one request that ran to its end.
type Sample struct {
	First  time.Duration // time to the first unit
	Took   time.Duration // total time at the endpoint
	Prompt uint32        // prompt size in units
	Full   bool          // the window was full when the request was sent
}

// Resize sets the announced slots. A window that is at the old maximum moves to the new one.
func (t *Throttler) Resize(slots int) {
	slots = max(slots, 0)
	if t.window >= t.slots {
		t.window = slots
	}
	t.slots = slots
	t.window = max(min(t.window, slots), t.minWindow())
}

func (t *Throttler) minWindow() int {
	return (t.slots + minWindowDivisor - 1) / minWindowDivisor
}

// Window returns how many requests the endpoint may have in flight.
func (t *Throttler) Window() int {
	return t.window
}

// Slots returns the announced slots.
func (t *Throttler) Slots() int {
	return t.slots
}

// Service returns the mean service time, from the first unit to the last.
func (t *Throttler) Service() time.Duration {
	return time.Duration(t.service)
}

// Wait returns the mean wait before the first unit in excess of the shortest wait.
func (t *Throttler) Wait() time.Duration {
	return time.Duration(t.wait)
}

// Observe records a finished request and adapts the window.
func (t *Throttler) Observe(sample Sample) {
	if sample.Took <= 0 {
		return
	}
	first := min(max(sample.First, 0), sample.Took)
	t.wait += gain * (t.excess(sample.Prompt, float64(first)) - t.wait)
	t.service += gain * (float64(sample.Took-first) - t.service)
	t.finished++
	if t.finished < t.window {
		return
	}
	t.adapt(sample.Full)
}

// excess returns the wait in excess of the shortest wait for prompts of that size.
func (t *Throttler) excess(prompt uint32, first float64) float64 {
	class := min(bits.Len32(prompt)/2, sizeClasses-1)
	shortest := &t.shortest[class]
	if *shortest == 0 || first < *shortest {
		*shortest = first
		return 0
	}
	return first - *shortest
}

// adapt changes the window by the mean wait. It grows only if it was full.
func (t *Throttler) adapt(full bool) {
	switch {
	case t.wait > shrinkAbove*t.service && t.wait > float64(minShrinkWait):
		t.setWindow(t.window - max(1, t.window/shrinkDivisor))
	case t.wait < growBelow*t.service && full:
		t.setWindow(t.window + 1)
	}
}

// Refused records that the endpoint refused a request: it is full with fewer requests than it
// announced.
func (t *Throttler) Refused() {
	t.setWindow(t.window - 1)
}

// setWindow sets the window within its bounds and starts a new count of finished requests.
func (t *Throttler) setWindow(window int) {
	t.window = max(min(window, t.slots), t.minWindow())
	t.finished = 0
}
