package server

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// fewReaders are told of each change by itself.
	fewReaders = 20
	// mostAnswers bounds the answers a second that urgent changes lead to, and calmAnswers those
	// that the others do.
	mostAnswers = 600
	calmAnswers = 150
	// mostPause bounds the pause before news that speaks against an endpoint, and calmPause
	// before other news: an endpoint that leaves has told so, and is to get no more work, while
	// a new one is only not used yet.
	mostPause = 400 * time.Millisecond
	calmPause = 2 * time.Second
)

// bulletin wakes the followers when there is news of endpoints or of the plan.
//
// News that comes alone is told at once. News that follows shortly after is gathered:
// when thousands of endpoints announce themselves, each change told by itself to hundreds
// of followers would take a keeper all of its processor time, and who waits then for an
// answer about the configuration gets none.
type bulletin struct {
	watch
	clock clockwork.Clock
	// readers returns how many followers there are.
	readers func() int

	mutex     sync.Mutex
	last      time.Time
	gathering time.Time // when the news that is gathered is told, zero if there is none
}

// wake wakes the followers, at once or after a pause. News that is urgent speaks against an
// endpoint, or is a plan.
func (b *bulletin) wake(urgent bool) {
	pause := pauseOf(b.readers(), urgent)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now, due := b.clock.Now(), b.last.Add(pause)
	if !b.gathering.IsZero() && !due.Before(b.gathering) {
		return
	}
	if b.last.IsZero() || !due.After(now) {
		b.gathering, b.last = time.Time{}, now
		b.watch.wake()
		return
	}
	b.gathering = due
	b.clock.AfterFunc(due.Sub(now), b.tell)
}

// pauseOf returns the pause between two wake-ups of so many readers.
func pauseOf(readers int, urgent bool) time.Duration {
	many := time.Duration(max(readers-fewReaders, 0)) * time.Second
	if urgent {
		return min(many/mostAnswers, mostPause)
	}
	return min(many/calmAnswers, calmPause)
}

// tell ends a gathering that is due.
func (b *bulletin) tell() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	if b.gathering.IsZero() || now.Before(b.gathering) {
		return // what it was set for has been told before
	}
	b.gathering, b.last = time.Time{}, now
	b.watch.wake()
}
