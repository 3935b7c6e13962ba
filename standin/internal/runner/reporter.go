package runner

import (
	"math/rand/v2"
	"time"

	"shallotkeel.example/standin/internal/batcher"
)

// MaxDelayedEvents bounds the cache events that wait for their delay to pass;
// further events are dropped.
const MaxDelayedEvents = 4096

// reporter delays and drops what an engine reports about itself, as real engines
// do. It does no I/O and reads no clock: callers pass the time with each event and
// sample, and get what is to be reported at that time.
type reporter struct {
	eventDelay time.Duration
	eventLoss  float64
	loadLag    time.Duration
	random     *rand.Rand

	events []delayedEvent
	loads  []loadSample
}

type delayedEvent struct {
	batcher.CacheEvent
	reportAt time.Time
}

type loadSample struct {
	load int
	at   time.Time
}

// addEvent queues a cache event, or drops it with the probability of eventLoss.
func (r *reporter) addEvent(now time.Time, event batcher.CacheEvent) {
	if r.random.Float64() < r.eventLoss || len(r.events) >= MaxDelayedEvents {
		return
	}
	r.events = append(r.events, delayedEvent{CacheEvent: event, reportAt: now.Add(r.eventDelay)})
}

// dueEvents removes and returns the prefixes whose events are to be reported by
// now.
func (r *reporter) dueEvents(now time.Time) (cached, evicted []uint64) {
	for len(r.events) > 0 && !r.events[0].reportAt.After(now) {
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

// laggedLoad records the current load and returns the newest recorded load that
// is at least as old as the lag, or 0 if there is none yet.
func (r *reporter) laggedLoad(now time.Time, load int) int {
	r.loads = append(r.loads, loadSample{load: load, at: now})
	reported := 0
	reportedAt := 0
	for i, s := range r.loads {
		if now.Sub(s.at) >= r.loadLag {
			reported, reportedAt = s.load, i
		}
	}
	r.loads = r.loads[reportedAt:]
	return reported
}
