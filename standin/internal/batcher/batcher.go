// Package batcher models the scheduling of a model engine as a pure state
// machine: continuous batching with a bounded prefix cache.
//
// The engine runs requests in order of arrival, without priorities, up to Slots
// at a time. Each step gives one token to every running request whose prefill has
// ended, and a step takes longer the more requests run.
//
// Invariants: a waiting request starts as soon as a slot is free; a request
// gets its tokens in order, without gap or repeat, from the token at which it
// starts; a cancelled request makes no further progress.
package batcher

import (
	"slices"
	"time"
)

// cachedPrefixUnits is the number of prompt units whose prefill a cached prefix
// saves.
const cachedPrefixUnits = 64

// Settings describe the engine.
type Settings struct {
	Slots int
	// TokenTime is the duration of a step with one request in the batch.
	TokenTime time.Duration
	// Slowdown is the fraction of TokenTime that each further request adds to a step.
	Slowdown float64
	// Prefill is the time for each prompt unit that is not cached.
	Prefill time.Duration
	// CacheEntries is the capacity of the prefix cache; 0 disables it.
	CacheEntries int
}

// Request is one completion.
type Request struct {
	Handle uint64 // unique among all requests of the engine
	Prompt int    // prompt size in units
	Prefix uint64 // hash of the prompt's prefix, 0 if none
	Length int    // tokens of the complete answer
	From   int    // index of the first token to give, above 0 for a resumed answer
	Warm   bool   // the KV cache was imported, so that no prefill is needed
}

// Progress is a change of one request: its start, or the token of a step.
type Progress struct {
	Handle   uint64
	Started  bool // the request has left the queue
	Tokens   int  // tokens of the answer that are ready, counted from 0
	Finished bool
}

// CacheEvent reports that a prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Prefix  uint64
	Evicted bool
}

// Batcher is the engine. Its zero value with Settings set is ready to use.
type Batcher struct {
	Settings
	// Slow is a factor on the duration of steps; 0 means 1.
	Slow float64
	// Hung stops all steps while it is set.
	Hung bool

	waiting []Request
	running []*job
	stepEnd time.Time // end of the next step; zero until a request runs
	cache   []uint64  // least recently used first
	events  []CacheEvent
}

type job struct {
	Request
	prefillEnd time.Time // end of prefill
	tokens     int       // tokens of the answer that are ready, counted from 0
}

// Submit queues a request and starts it if a slot is free.
func (b *Batcher) Submit(now time.Time, request Request) []Progress {
	b.waiting = append(b.waiting, request)
	return b.admit(now)
}

// Cancel removes a request and starts the next waiting request if a slot is free.
func (b *Batcher) Cancel(now time.Time, handle uint64) []Progress {
	b.waiting = slices.DeleteFunc(b.waiting, func(r Request) bool { return r.Handle == handle })
	b.running = slices.DeleteFunc(b.running, func(j *job) bool { return j.Handle == handle })
	return b.admit(now)
}

// Running returns the number of requests that hold a slot.
func (b *Batcher) Running() int { return len(b.running) }

// Waiting returns the number of requests that wait for a slot.
func (b *Batcher) Waiting() int { return len(b.waiting) }

// NextStep returns the end of the next step, and false while the engine is idle or
// hangs.
func (b *Batcher) NextStep() (time.Time, bool) {
	return b.stepEnd, len(b.running) > 0 && !b.Hung
}

// Advance ends the current step if its end has passed. A caller that is late gets
// one step, not all missed steps at once: a real engine that was frozen does not
// catch up either.
func (b *Batcher) Advance(now time.Time) []Progress {
	if b.Hung || len(b.running) == 0 || now.Before(b.stepEnd) {
		return nil
	}
	var changes []Progress
	for _, j := range b.running {
		if j.prefillEnd.After(now) {
			continue
		}
		j.tokens++
		changes = append(changes, Progress{Handle: j.Handle, Tokens: j.tokens, Finished: j.tokens >= j.Length})
	}
	b.running = slices.DeleteFunc(b.running, func(j *job) bool { return j.tokens >= j.Length })
	// Steps follow each other without drift while the caller is on time.
	b.stepEnd = latest(b.stepEnd.Add(b.stepDuration()), now)
	return append(changes, b.admit(now)...)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Batcher) stepDuration() time.Duration {
	slow := b.Slow
	if slow == 0 {
		slow = 1
	}
	further := float64(max(len(b.running), 1) - 1)
	return time.Duration(float64(b.TokenTime) * slow * (1 + b.Slowdown*further))
}

// admit starts waiting requests while slots are free.
func (b *Batcher) admit(now time.Time) []Progress {
	var changes []Progress
	for len(b.waiting) > 0 && len(b.running) < b.Slots {
		request := b.waiting[0]
		b.waiting = b.waiting[1:]
		changes = append(changes, b.start(now, request))
	}
	return changes
}

func (b *Batcher) start(now time.Time, request Request) Progress {
	if request.From >= request.Length {
		return Progress{Handle: request.Handle, Started: true, Tokens: request.Length, Finished: true}
	}
	if len(b.running) == 0 {
		b.stepEnd = now.Add(b.stepDuration())
	}
	b.running = append(b.running, &job{Request: request, prefillEnd: now.Add(b.prefill(request)), tokens: request.From})
	return Progress{Handle: request.Handle, Started: true, Tokens: request.From}
}

// prefill returns the duration of a request's prefill and updates the prefix cache.
func (b *Batcher) prefill(request Request) time.Duration {
	units := request.Prompt
	if b.touch(request.Prefix) {
		units = max(0, units-cachedPrefixUnits)
	}
	if request.Warm {
		units = 0
	}
	return time.Duration(units) * b.Prefill
}

// touch marks the prefix as the most recently used, adds it if it is missing, and
// reports whether it was cached before.
func (b *Batcher) touch(prefix uint64) bool {
	if prefix == 0 || b.CacheEntries == 0 {
		return false
	}
	at := slices.Index(b.cache, prefix)
	if at >= 0 {
		b.cache = append(slices.Delete(b.cache, at, at+1), prefix)
		return true
	}
	b.cache = append(b.cache, prefix)
	b.events = append(b.events, CacheEvent{Prefix: prefix})
	if len(b.cache) > b.CacheEntries {
		b.events = append(b.events, CacheEvent{Prefix: b.cache[0], Evicted: true})
		b.cache = slices.Delete(b.cache, 0, 1)
	}
	return false
}

// CacheEvents returns the cache events since the previous call.
func (b *Batcher) CacheEvents() []CacheEvent {
	events := b.events
	b.events = nil
	return events
}
