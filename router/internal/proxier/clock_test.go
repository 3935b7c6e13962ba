package proxier

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// clockStep is how far a steppedClock moves at a time.
const clockStep = 100 * time.Millisecond

// steppedClock is a fake clock whose Advance runs the timers that are due, in their order, before it
// returns.
type steppedClock struct {
	*clockwork.FakeClock
	mutex  sync.Mutex
	timers map[*steppedTimer]time.Time
}

type steppedTimer struct {
	clock *steppedClock
	run   func()
}

func newSteppedClock() *steppedClock {
	return &steppedClock{FakeClock: clockwork.NewFakeClock(), timers: make(map[*steppedTimer]time.Time)}
}

// AfterFunc runs a function in Advance once the duration has passed.
func (c *steppedClock) AfterFunc(after time.Duration, run func()) clockwork.Timer {
	timer := &steppedTimer{clock: c, run: run}
	timer.Reset(after)
	return timer
}

// Advance moves the clock in steps of clockStep.
func (c *steppedClock) Advance(total time.Duration) {
	for total > 0 {
		step := min(total, clockStep)
		total -= step
		c.FakeClock.Advance(step)
		for _, timer := range c.takeDue() {
			timer.run()
		}
	}
}

// takeDue removes the timers that are due and returns them.
func (c *steppedClock) takeDue() []*steppedTimer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var due []*steppedTimer
	for timer, at := range c.timers {
		if !at.After(c.Now()) {
			due = append(due, timer)
		}
	}
	slices.SortFunc(due, func(a, b *steppedTimer) int { return c.timers[a].Compare(c.timers[b]) })
	for _, timer := range due {
		delete(c.timers, timer)
	}
	return due
}

func (t *steppedTimer) Chan() <-chan time.Time { return nil }

func (t *steppedTimer) Reset(after time.Duration) bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	_, active := t.clock.timers[t]
	t.clock.timers[t] = t.clock.Now().Add(after)
	return active
}

func (t *steppedTimer) Stop() bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	_, active := t.clock.timers[t]
	delete(t.clock.timers, t)
	return active
}
