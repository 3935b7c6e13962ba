// Package throttler decides how many requests an endpoint may have at once.
//
// Engines admit in arrival order and know no priorities, so what is sent too
// early waits in the engine, where it can no longer be reordered, and what is
// sent too late leaves the batch short. The window starts at the announced
// slots and follows the wait before the first unit, less the shortest wait
// seen for prompts of that size, compared with the time that the units then
// took: a wait that is a large part of the service is a queue in the engine.
//
// Invariants: the window lies between a quarter of the announced slots, at least
// one, and all of them, and is 0 for no slots; it changes once per window's worth
// of finished requests, up by one and down by an eighth.
package throttler

import (
	"math/bits"
	"time"
)

// Limits of the waits, relative to the time of service. Between the two the
// window stays, so that it does not swing.
const (
	shrinkAbove = 0.5
	growBelow   = 0.2
	gain        = 1.0 / 8
	// leastWait never shrinks the window, however short the service: prompts that
	// miss the cache differ by that much without any queue.
	leastWait = 500 * time.Millisecond
	// leastShare of the announced slots is always used, so that a wrong guess
	// about queues cannot idle an engine.
	leastShare  = 4
	shrinkShare = 8
	// sizes is how many classes of prompt size have a shortest wait of their own.
	sizes = 16
)

// Throttler holds the window of one endpoint. The zero value has no slots.
type Throttler struct {
	slots    int
	window   int
	finished int // since the window last changed
	wait     float64
	service  float64
	shortest [sizes]float64
}

// Sample is one request that ran to its end.
type Sample struct {
	First  time.Duration // time to the first unit
	Took   time.Duration // whole time at the endpoint
	Prompt uint32        // prompt size in units
	Full   bool          // the window was full when the request was sent
}

// Resize sets the announced slots. A window at the old bound follows the new.
func (t *Throttler) Resize(slots int) {
	slots = max(slots, 0)
	if t.window >= t.slots {
		t.window = slots
	}
	t.slots = slots
	t.window = max(min(t.window, slots), t.least())
}

func (t *Throttler) least() int {
	return (t.slots + leastShare - 1) / leastShare
}

// Window returns how many requests the endpoint may have at once.
func (t *Throttler) Window() int {
	return t.window
}

// Slots returns the announced slots.
func (t *Throttler) Slots() int {
	return t.slots
}

// Service returns the mean time from the first unit to the last.
func (t *Throttler) Service() time.Duration {
	return time.Duration(t.service)
}

// Wait returns the mean wait before the first unit beyond the shortest.
func (t *Throttler) Wait() time.Duration {
	return time.Duration(t.wait)
}

// Observe takes a finished request in and adapts the window.
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

// excess returns the wait beyond the shortest for prompts of that size.
func (t *Throttler) excess(prompt uint32, first float64) float64 {
	class := min(bits.Len32(prompt)/2, sizes-1)
	shortest := &t.shortest[class]
	if *shortest == 0 || first < *shortest {
		*shortest = first
		return 0
	}
	return first - *shortest
}

func (t *Throttler) adapt(full bool) {
	switch {
	case t.wait > shrinkAbove*t.service && t.wait > float64(leastWait):
		t.set(t.window - max(1, t.window/shrinkShare))
	case t.wait < growBelow*t.service && full:
		t.set(t.window + 1)
	}
}

// Refused takes in that the endpoint would not start a request: it is full
// sooner than it announced.
func (t *Throttler) Refused() {
	t.set(t.window - 1)
}

func (t *Throttler) set(window int) {
	t.window = max(min(window, t.slots), t.least())
	t.finished = 0
}
