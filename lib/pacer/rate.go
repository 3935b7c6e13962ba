package pacer

import (
	"sync"
	"time"
)

const (
	// Calm is the lateness up to which a process keeps up, and more may be started.
	Calm = 6 * time.Millisecond
	// strained is the standing lateness from which less is started: half of TooLate, at
	// which everybody is refused.
	strained = 12 * time.Millisecond
	// Growth and cut of a rate at each look, 40 a second: it doubles in 0.7 s while it
	// holds somebody up, and halves in 0.14 s.
	growth = 1.025
	cut    = 0.88
	// quickGrowth is that of what is read: who is closed unread is told nothing.
	quickGrowth = 1.08
	// startBurst is how much of a second's starts may follow one another at once.
	startBurst = 0.04
	// span is the time over which starts are counted by who asked for them: long enough
	// for a few requests of each, short enough to follow a flood.
	span = 500 * time.Millisecond
	// maxAsking bounds those that are told apart in a span, 50 bytes each.
	maxAsking = 256
)

// Rate bounds how many requests a process starts in a second by how late it is.
//
// A bound on what is under way does not see how much of it has yet to be worked on: streams
// that run take little, as many that begin at one moment keep a small instance busy for a
// second, and all of them are late. Most of a request's processor time goes into its begin, so
// that this is what has to be paced. Least and Begin are starts a second; the zero value bounds
// nothing.
//
// Who has started less than an even part of what is possible may start more also when
// nothing is left: otherwise one that floods a process would keep all others out.
type Rate struct {
	Least, Begin float64

	mutex   sync.Mutex
	rate    float64
	kept    float64 // starts a second, however much is refused; 0 if nobody has told
	tokens  float64
	filled  time.Time
	starved bool // somebody was held up since the last look

	begun         time.Time // of the younger span
	younger, aged map[string]int
}

func (r *Rate) unbounded() bool {
	return r == nil || r.Begin == 0
}

// Room tells whether one more request may be started now, whoever asks.
func (r *Rate) Room(now time.Time) bool {
	if r.unbounded() {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now)
	if r.tokens >= 0 {
		return true
	}
	r.starved = true
	return false
}

// Crowds tells whether somebody has started an even part of what is possible.
func (r *Rate) Crowds(now time.Time, who string) bool {
	if r.unbounded() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn(now)
	asking := len(r.aged)
	for other := range r.younger {
		if _, found := r.aged[other]; !found {
			asking++
		}
	}
	started := r.younger[who] + r.aged[who]
	if started == 0 {
		asking++
	}
	possible := r.current() * (now.Sub(r.begun) + span).Seconds()
	return asking > maxAsking || float64(started) >= max(possible/float64(asking), 1)
}

// turn begins a new span when one is over.
func (r *Rate) turn(now time.Time) {
	if r.younger != nil && now.Sub(r.begun) < span {
		return
	}
	r.aged = r.younger
	if now.Sub(r.begun) >= 2*span {
		r.aged = nil
	}
	r.begun, r.younger = now, make(map[string]int)
}

// Take counts a request that is started for somebody.
func (r *Rate) Take(now time.Time, who string) {
	if r.unbounded() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now)
	r.tokens--
	r.turn(now)
	if len(r.younger) <= maxAsking {
		r.younger[who]++
	}
}

// Look adapts the rate to the process's standing lateness.
func (r *Rate) Look(late time.Duration) {
	switch {
	case late >= strained:
		r.change(cut)
	case late <= Calm:
		r.change(growth)
	default:
		r.change(1)
	}
}

// change multiplies the rate, and raises it only if it has held somebody up since the last time.
func (r *Rate) change(by float64) {
	if r.unbounded() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if by < 1 || r.starved {
		r.rate = max(r.current()*by, r.Least)
	}
	r.starved = false
}

// Keep sets how many starts a second are kept in a process that is late because of what it refuses;
// until then that is Begin.
func (r *Rate) Keep(perSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kept = perSecond
}

// lower cuts the rate, down to a floor, and tells whether it was above that.
func (r *Rate) lower(floor float64) bool {
	if r.unbounded() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.starved = false
	if r.current() <= floor {
		return false
	}
	r.rate = max(r.current()*cut, floor)
	return true
}

// floor returns what is kept, not below the least nor above Begin.
func (r *Rate) floor() float64 {
	if r.unbounded() {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.kept == 0 {
		return r.Begin
	}
	return min(max(r.kept, r.Least), r.Begin)
}

func (r *Rate) least() float64 {
	if r.unbounded() {
		return 0
	}
	return r.Least
}

// reducible tells whether the rate is above its least.
func (r *Rate) reducible() bool {
	return r.Value() > r.least()
}

func (r *Rate) current() float64 {
	if r.rate == 0 {
		return r.Begin
	}
	return r.rate
}

func (r *Rate) fill(now time.Time) {
	rate := r.current()
	r.tokens = min(r.tokens+rate*now.Sub(r.filled).Seconds(), rate*startBurst)
	r.filled = now
}

// Value returns how many requests may be started in a second, 0 for any number.
func (r *Rate) Value() float64 {
	if r.unbounded() {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current()
}
