// Package pacer notices that a process gets too little processor time for its
// work: whatever is due begins late. It measures how late a timer fires, and for how long
// a goroutine then waits for its turn behind all others that can run.
//
// A process that has more to do than it can is late at every look. One that was held up for
// a moment, by a collection of garbage or by requests that came all at once, is late at one
// or two and soon catches up. Both lag, and had better refuse what has gathered meanwhile; only
// the first has to start less from then on. So starts follow the lateness that stands: the
// least within an interval (K. Nichols and V. Jacobson, "Controlling Queue Delay", 2012).
//
// Refusing takes time as well. A process that is late because of what it refuses does not catch
// up by starting less: it refuses more instead, until it starts next to nothing. So starts are
// lowered to what is kept for them; then less is read of those who come, and starts only last.
//
// Invariant: a process that keeps up is never taken for one that lags; one that
// lags is noticed within some steps, and so is the end of it.
package pacer

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// step is the pause between two looks.
	step = 25 * time.Millisecond
	// interval is for how long a process has to be late before it starts less: longer than it
	// is held up for by single events.
	interval = 100 * time.Millisecond
	// leastLooks and mostLooks make up an interval: each look covers a step and what it is
	// late by. A single one never shows more than a moment.
	leastLooks = 2
	mostLooks  = int(interval / step)
	// TooLate is the mean lateness from which a process lags: a tenth of the time
	// within which the shortest answers are due. A process that keeps up is a
	// millisecond late.
	TooLate = 25 * time.Millisecond
	// weight of the latest look in the mean: a lag that lasts is noticed within
	// four looks, a single late one of 80 ms is not.
	weight = 0.3
)

// Pacer measures. Its zero value does not lag.
type Pacer struct {
	// Starts is how many requests are served, and Entries how many connections are read while
	// others are refused. Both are adapted at each look; they may be nil.
	Starts, Entries *Rate

	yield func()                   // waits for a turn; runtime.Gosched if nil
	looks [mostLooks]time.Duration // how late, the latest first; used by Look only
	late  atomic.Int64             // mean lateness
}

// Run measures until the context ends.
func (p *Pacer) Run(ctx context.Context, clock clockwork.Clock) {
	yield := p.yield
	if yield == nil {
		yield = runtime.Gosched
	}
	for {
		due := clock.Now().Add(step)
		select {
		case <-ctx.Done():
			return
		case <-clock.After(step):
		}
		// Whom a timer wakes goes before all others that can run, so that timers alone are
		// on time however many wait.
		yield()
		p.Look(clock.Now().Sub(due))
	}
}

// Look takes how late a goroutine that was due had its turn. Run calls it.
func (p *Pacer) Look(late time.Duration) {
	copy(p.looks[1:], p.looks[:])
	p.looks[0] = max(late, 0)
	mean := p.Late()
	p.late.Store(int64(mean + time.Duration(weight*float64(p.looks[0]-mean))))
	p.adapt(p.standing())
}

// adapt lowers the rates of a process that is late, or lets them grow if it keeps up.
func (p *Pacer) adapt(late time.Duration) {
	switch {
	case p.catchesUp():
	case late < strained:
		p.Starts.Look(late)
		p.Entries.change(quickGrowth)
	case p.Starts.lower(p.Starts.floor()):
	case late < TooLate && p.Entries.reducible():
		// Whose connection is closed unread learns nothing: a process that is a little late
		// bears it.
	case p.Entries.lower(p.Entries.least()):
	default:
		p.Starts.lower(p.Starts.least())
	}
}

// catchesUp tells whether lateness falls: what is started and read is less than is possible
// already, and what is late is what came before.
func (p *Pacer) catchesUp() bool {
	return p.looks[mostLooks-1]-p.looks[0] >= strained
}

// standing returns the least lateness within the interval that has just passed.
func (p *Pacer) standing() time.Duration {
	least, covered := p.looks[0], time.Duration(0)
	for i, late := range p.looks {
		if i >= leastLooks && covered >= interval {
			break
		}
		least = min(least, late)
		covered += step + late
	}
	return least
}

// Late returns the mean lateness.
func (p *Pacer) Late() time.Duration {
	return time.Duration(p.late.Load())
}

// Lags tells whether the process does not keep up.
func (p *Pacer) Lags() bool {
	return p.Late() >= TooLate
}
