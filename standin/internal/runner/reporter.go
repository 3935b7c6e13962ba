package runner

import (
	"math/rand/v2"
	"time"

	"shallotkeel.example/standin/internal/batcher"
)

// MaxLate bounds the cache events that wait for their delay to pass.
const MaxLate = 4096

// reporter makes what an engine tells of itself late and gappy. It is pure:
// samples and a time in, what is told at that time out.
type reporter struct {
	eventDelay time.Duration
	eventLoss  float64
	loadLag    time.Duration
	random     *rand.Rand

	events []lateEvent
	loads  []sample
}

type lateEvent struct {
	batcher.CacheEvent
	due time.Time
}

type sample struct {
	load int
	at   time.Time
}

// event takes a cache event, or loses it.
func (r *reporter) event(now time.Time, event batcher.CacheEvent) {
	if r.random.Float64() < r.eventLoss || len(r.events) >= MaxLate {
		return
	}
	r.events = append(r.events, lateEvent{CacheEvent: event, due: now.Add(r.eventDelay)})
}

// due returns the prefixes whose events are now told.
func (r *reporter) due(now time.Time) (cached, evicted []uint64) {
	for len(r.events) > 0 && !r.events[0].due.After(now) {
		event := r.events[0]
		r.events = r.events[1:]
		if event.Evicted {
			evicted = append(evicted, event.Prefix)
			continue
		}
		cached = append(cached, event.Prefix)
	}
	return cached, evicted
}

// load takes the present load and returns the newest one that is at least
// the lag old, or 0 while there is none.
func (r *reporter) load(now time.Time, load int) int {
	r.loads = append(r.loads, sample{load: load, at: now})
	told := 0
	keep := 0
	for i, s := range r.loads {
		if now.Sub(s.at) >= r.loadLag {
			told, keep = s.load, i
		}
	}
	r.loads = r.loads[keep:]
	return told
}
