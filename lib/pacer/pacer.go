// Package pacer detects that a process gets too little processor time for its work, so that
// goroutines run late. A sample of the lateness is how late a timer fires plus how long the
// goroutine that it wakes then waits behind all other runnable goroutines.
//
// An overloaded process is late at every sample. A process that is held up for a moment, by a
// garbage collection or by a burst of requests, is late at one or two samples and soon catches up.
// Both should refuse the requests that have queued up meanwhile, but only the overloaded process
// has to start fewer requests from then on. The rate of starts therefore follows the persistent
// lateness: the minimum within an interval (K. Nichols and V. Jacobson, "Controlling Queue Delay",
// 2012).
//
// Refusing takes processor time as well. A process that is late because of its refusals does not
// catch up by starting fewer requests: it refuses more instead, until it starts next to nothing.
// Starts are therefore lowered only to a reserved floor; then fewer new connections are read, and
// only last are starts lowered below the floor.
//
// Invariant: a process that keeps up is never reported as lagging. Both the beginning and the end
// of a lag are detected within a few samples.
package pacer

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// sampleInterval is the pause between two samples.
	sampleInterval = 25 * time.Millisecond
	// interval is how long a process has to be late before its starts are lowered. It is longer
	// than the pause that a single event causes.
	interval = 100 * time.Millisecond
	// minSamples and maxSamples bound the number of samples in an interval: each sample covers
	// sampleInterval plus its own lateness. A single sample never shows more than a moment.
	minSamples = 2
	maxSamples = int(interval / sampleInterval)
	// LagThreshold is the mean lateness from which a process lags: a tenth of the time within which
	// the shortest answers are due. A process that keeps up is a millisecond late.
	LagThreshold = 25 * time.Millisecond
	// ewmaWeight is the weight of the latest sample in the mean lateness: a persistent lag is
	// detected within four samples, a single late sample of 80 ms is not.
	ewmaWeight = 0.3
)

// Pacer measures the lateness of its process and adapts two rates to it. Its zero value does not
// lag.
type Pacer struct {
	// Starts bounds the requests that are served, and Entries the connections that are read while
	// the process refuses others. Both are adapted at each sample; they may be nil.
	Starts, Entries *Rate

	yield        func()                    // yields the processor; runtime.Gosched if nil
	samples      [maxSamples]time.Duration // lateness, the latest first; used by Observe only
	meanLateness atomic.Int64              // nanoseconds
}

// Run samples the lateness until the context ends.
func (p *Pacer) Run(ctx context.Context, clock clockwork.Clock) {
	yield := p.yield
	if yield == nil {
		yield = runtime.Gosched
	}
	for {
		due := clock.Now().Add(sampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-clock.After(sampleInterval):
		}
		// The runtime schedules a goroutine that a timer wakes ahead of all other runnable ones, so
		// that timers alone are on time however many goroutines wait. Yielding adds their delay.
		yield()
		p.Observe(clock.Now().Sub(due))
	}
}

// Observe adds a sample: how late a goroutine ran after the time at which its timer was due. Run
// calls it.
func (p *Pacer) Observe(late time.Duration) {
	copy(p.samples[1:], p.samples[:])
	p.samples[0] = max(late, 0)
	mean := p.Lateness()
	p.meanLateness.Store(int64(mean + time.Duration(ewmaWeight*float64(p.samples[0]-mean))))
	p.adapt(p.minLateness())
}

// adapt lowers the rates of a process that is late, or raises them if it keeps up.
func (p *Pacer) adapt(late time.Duration) {
	switch {
	case p.recovering():
	case late < cutThreshold:
		p.Starts.Adapt(late)
		p.Entries.scale(entryGrowth)
	case p.Starts.lower(p.Starts.floor()):
	case late < LagThreshold && p.Entries.aboveMinimum():
		// A client whose connection is closed unread gets no answer, so a process that is only a
		// little late keeps reading connections and tolerates the lateness.
	case p.Entries.lower(p.Entries.minimum()):
	default:
		p.Starts.lower(p.Starts.minimum())
	}
}

// recovering reports whether lateness is falling: the process already starts and reads less than
// its capacity allows, and the remaining lateness comes from earlier work.
func (p *Pacer) recovering() bool {
	return p.samples[maxSamples-1]-p.samples[0] >= cutThreshold
}

// minLateness returns the minimum lateness within the interval that has just passed.
func (p *Pacer) minLateness() time.Duration {
	lowest, covered := p.samples[0], time.Duration(0)
	for i, late := range p.samples {
		if i >= minSamples && covered >= interval {
			break
		}
		lowest = min(lowest, late)
		covered += sampleInterval + late
	}
	return lowest
}

// Lateness returns the mean lateness.
func (p *Pacer) Lateness() time.Duration {
	return time.Duration(p.meanLateness.Load())
}

// Lags reports whether the process does not keep up with its work.
func (p *Pacer) Lags() bool {
	return p.Lateness() >= LagThreshold
}
