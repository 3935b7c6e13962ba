package pacer

import (
	"sync"
	"time"
)

const (
	// OnTimeThreshold is the lateness up to which a process keeps up and its rates may grow.
	OnTimeThreshold = 6 * time.Millisecond
	// cutThreshold is the persistent lateness from which starts are lowered: half of LagThreshold,
	// at which all clients are refused.
	cutThreshold = 12 * time.Millisecond
	// growth and cut are the factors of a rate at each sample, of which there are 40 a second: the
	// rate doubles in 0.7 s while it holds requests back, and halves in 0.14 s.
	growth = 1.025
	cut    = 0.88
	// entryGrowth is the growth factor of Entries. It is larger because a client whose connection
	// is closed unread gets no answer.
	entryGrowth = 1.08
	// startBurst is the size of the token bucket, in seconds of the rate: so many starts may follow
	// one another at once.
	startBurst = 0.04
	// countSpan is the time over which starts are counted by client: long enough for a few requests
	// of each client, short enough to follow a flood.
	countSpan = 500 * time.Millisecond
	// maxClients bounds the clients that are counted separately in a span; each takes 50 bytes.
	maxClients = 256
	// maxStartDebt bounds what clients within their fair share start beyond the rate, in seconds of the rate:
	// after a burst of them, the others wait no longer than that.
	maxStartDebt = 500 * time.Millisecond
	// debtThreshold is the debt from which clients within their fair share alone exceed the rate: it is
	// twice startBurst.
	debtThreshold = 80 * time.Millisecond
)

// Rate bounds how many requests a process starts per second, depending on its lateness.
//
// A bound on the requests in flight does not see how much work they still need: running streams
// take little processor time, but as many streams that begin at one moment keep a small instance
// busy for a second, and all of them are late. Most of a request's processor time goes into its
// start, so that starts are paced. Min and Initial are starts per second; the zero value bounds
// nothing.
//
// A client that has started less than its max-min fair share of the capacity may start more even if no
// token is left: otherwise one client that floods a process would keep all others out.
type Rate struct {
	Min, Initial float64

	mutex    sync.Mutex
	rate     float64
	reserved float64 // floor in starts per second, however much is refused; 0 if SetFloor has not been called
	tokens   float64
	refilled time.Time
	limited  bool // a request was held back since the last adaptation

	spanStart        time.Time // start of the span that recent counts
	recent, previous map[string]int
	level            Level // starts of one client within a span that its fair share allows
}

// unbounded reports whether the rate bounds nothing.
func (r *Rate) unbounded() bool {
	return r == nil || r.Initial == 0
}

// Available reports whether one more request may be started now, whichever client sent it.
func (r *Rate) Available(now time.Time) bool {
	if r.unbounded() {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refill(now)
	if r.tokens >= 0 {
		return true
	}
	r.limited = true
	return false
}

// Exhausted reports whether clients within their fair share alone exceed the rate, so that not all of
// them can be served.
func (r *Rate) Exhausted(now time.Time) bool {
	if r.unbounded() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refill(now)
	return r.tokens < -r.current()*debtThreshold.Seconds()
}

// ExceedsShare reports whether a client has started its max-min fair share of the capacity or more.
func (r *Rate) ExceedsShare(now time.Time, client string) bool {
	return r.usesPart(now, client, 1)
}

// UsesHalfShare reports whether a client has started half of its max-min fair share or more. Less urgent
// requests are held to that, so that the client's others find room.
func (r *Rate) UsesHalfShare(now time.Time, client string) bool {
	return r.usesPart(now, client, 0.5)
}

// usesPart reports whether a client has started a part of its fair share or more.
func (r *Rate) usesPart(now time.Time, client string, part float64) bool {
	if r.unbounded() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	capacity := r.current() * (now.Sub(r.spanStart) + countSpan).Seconds()
	level := r.level.At(now, capacity, r.starts)
	started := r.recent[client] + r.previous[client]
	return len(r.recent) > maxClients || len(r.previous) > maxClients || float64(started) >= max(part*level, 1)
}

// starts yields the starts of each client in the current and the previous span.
func (r *Rate) starts(yield func(int) bool) {
	for client, count := range r.recent {
		if !yield(count + r.previous[client]) {
			return
		}
	}
	for client, count := range r.previous {
		if _, found := r.recent[client]; !found && !yield(count) {
			return
		}
	}
}

// rotate begins a new span when the current one is over.
func (r *Rate) rotate(now time.Time) {
	if r.recent != nil && now.Sub(r.spanStart) < countSpan {
		return
	}
	r.previous = r.recent
	if now.Sub(r.spanStart) >= 2*countSpan {
		r.previous = nil
	}
	r.spanStart, r.recent = now, make(map[string]int)
}

// Take counts a request that is started for a client.
func (r *Rate) Take(now time.Time, client string) {
	if r.unbounded() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refill(now)
	r.tokens = max(r.tokens-1, -r.current()*maxStartDebt.Seconds())
	r.rotate(now)
	if len(r.recent) <= maxClients {
		r.recent[client]++
	}
}

// Adapt adjusts the rate to the persistent lateness of the process.
func (r *Rate) Adapt(late time.Duration) {
	switch {
	case late >= cutThreshold:
		r.scale(cut)
	case late <= OnTimeThreshold:
		r.scale(growth)
	default:
		r.scale(1)
	}
}

// scale multiplies the rate by a factor. It raises the rate only if the rate has held a request
// back since the last call.
func (r *Rate) scale(factor float64) {
	if r.unbounded() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if factor < 1 || r.limited {
		r.rate = max(r.current()*factor, r.Min)
	}
	r.limited = false
}

// SetFloor sets how many starts per second are reserved in a process that is late because of its
// refusals. Until the first call the floor is Initial.
func (r *Rate) SetFloor(perSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reserved = perSecond
}

// lower cuts the rate, down to a floor, and reports whether the rate was above the floor.
func (r *Rate) lower(floor float64) bool {
	if r.unbounded() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limited = false
	if r.current() <= floor {
		return false
	}
	r.rate = max(r.current()*cut, floor)
	return true
}

// floor returns the reserved rate, at least Min and at most Initial.
func (r *Rate) floor() float64 {
	if r.unbounded() {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reserved == 0 {
		return r.Initial
	}
	return min(max(r.reserved, r.Min), r.Initial)
}

func (r *Rate) minimum() float64 {
	if r.unbounded() {
		return 0
	}
	return r.Min
}

// aboveMinimum reports whether the rate is above its minimum.
func (r *Rate) aboveMinimum() bool {
	return r.Value() > r.minimum()
}

func (r *Rate) current() float64 {
	if r.rate == 0 {
		return r.Initial
	}
	return r.rate
}

// refill adds the tokens of the time since the last call, up to startBurst.
func (r *Rate) refill(now time.Time) {
	rate := r.current()
	r.tokens = min(r.tokens+rate*now.Sub(r.refilled).Seconds(), rate*startBurst)
	r.refilled = now
}

// Value returns how many requests may be started per second; 0 means that the rate is unbounded.
func (r *Rate) Value() float64 {
	if r.unbounded() {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current()
}
