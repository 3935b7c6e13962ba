// Package batcher is a model engine's scheduling as a pure state machine:
// continuous batching with a bounded prefix cache.
//
// The engine takes requests in the order in which they arrive and knows no
// priorities. Up to Slots of them run at once; each step gives every running
// request that has been prefilled one token, and a step takes longer the more
// requests run.
//
// Invariants: a waiting request starts as soon as a slot is free; a request
// yields its tokens in order, without gap or repeat, from where it was told to
// start; nothing is yielded for a request after it was cancelled.
package batcher

import (
	"slices"
	"time"
)

// prefixUnits is how many prompt units a cached prefix spares.
const prefixUnits = 64

// Settings describe the engine.
type Settings struct {
	Slots int
	// TokenTime is how long a step takes with one request in the batch.
	TokenTime time.Duration
	// Slowdown is the part of TokenTime that each further request adds to a step.
	Slowdown float64
	// Prefill is the time for each prompt unit that is not cached.
	Prefill time.Duration
	// CacheEntries bounds the prefix cache.
	CacheEntries int
}

// Request is one completion.
type Request struct {
	Handle uint64 // unique in the engine's life
	Prompt int    // prompt size in units
	Prefix uint64 // hash of the prompt's prefix, 0 if none
	Length int    // tokens of the whole answer
	From   int    // first token to yield
	Warm   bool   // its KV cache was imported, so that no prefill is needed
}

// Yield is what a step gave to one request.
type Yield struct {
	Handle   uint64
	Started  bool // the request left the queue and now runs
	Tokens   int  // tokens of the answer that are ready, counted from 0
	Finished bool
}

// CacheEvent says that a prefix entered or left the cache.
type CacheEvent struct {
	Prefix  uint64
	Evicted bool
}

// Batcher is the engine. Its zero value with Settings set is ready to use.
type Batcher struct {
	Settings
	// Slow multiplies the length of steps, 1 if it is 0.
	Slow float64
	// Hung stops all steps while it is set.
	Hung bool

	waiting []Request
	running []*job
	step    time.Time // when the next step ends; zero while nothing runs
	cache   []uint64  // least recently used first
	events  []CacheEvent
}

type job struct {
	Request
	ready time.Time // end of prefill
	next  int       // tokens yielded so far, counted from 0
}

// Submit queues a request and starts it if a slot is free.
func (b *Batcher) Submit(now time.Time, request Request) []Yield {
	b.waiting = append(b.waiting, request)
	return b.admit(now)
}

// Cancel ends a request and gives its slot to the next one.
func (b *Batcher) Cancel(now time.Time, handle uint64) []Yield {
	b.waiting = slices.DeleteFunc(b.waiting, func(r Request) bool { return r.Handle == handle })
	b.running = slices.DeleteFunc(b.running, func(j *job) bool { return j.Handle == handle })
	return b.admit(now)
}

// Running returns how many requests hold a slot.
func (b *Batcher) Running() int { return len(b.running) }

// Waiting returns how many requests wait for a slot.
func (b *Batcher) Waiting() int { return len(b.waiting) }

// Wake returns when the next step ends, and false while there is none.
func (b *Batcher) Wake() (time.Time, bool) {
	return b.step, len(b.running) > 0 && !b.Hung
}

// Advance ends the steps that are due. A host that comes late gets one step
// and not all the missed ones at once: an engine that was frozen does not
// catch up either.
func (b *Batcher) Advance(now time.Time) []Yield {
	if b.Hung || len(b.running) == 0 || now.Before(b.step) {
		return nil
	}
	var yields []Yield
	for _, j := range b.running {
		if j.ready.After(now) {
			continue
		}
		j.next++
		yields = append(yields, Yield{Handle: j.Handle, Tokens: j.next, Finished: j.next >= j.Length})
	}
	b.running = slices.DeleteFunc(b.running, func(j *job) bool { return j.next >= j.Length })
	b.step = later(b.step.Add(b.length()), now)
	return append(yields, b.admit(now)...)
}

// later keeps the beat of steps while the host is in time.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (b *Batcher) length() time.Duration {
	slow := b.Slow
	if slow == 0 {
		slow = 1
	}
	beside := float64(max(len(b.running), 1) - 1)
	return time.Duration(float64(b.TokenTime) * slow * (1 + b.Slowdown*beside))
}

func (b *Batcher) admit(now time.Time) []Yield {
	var yields []Yield
	for len(b.waiting) > 0 && len(b.running) < b.Slots {
		request := b.waiting[0]
		b.waiting = b.waiting[1:]
		yields = append(yields, b.start(now, request))
	}
	return yields
}

func (b *Batcher) start(now time.Time, request Request) Yield {
	if request.From >= request.Length {
		return Yield{Handle: request.Handle, Started: true, Tokens: request.Length, Finished: true}
	}
	if len(b.running) == 0 {
		b.step = now.Add(b.length())
	}
	b.running = append(b.running, &job{Request: request, ready: now.Add(b.prefill(request)), next: request.From})
	return Yield{Handle: request.Handle, Started: true, Tokens: request.From}
}

func (b *Batcher) prefill(request Request) time.Duration {
	units := request.Prompt
	if b.touch(request.Prefix) {
		units = max(0, units-prefixUnits)
	}
	if request.Warm {
		units = 0
	}
	return time.Duration(units) * b.Prefill
}

// touch makes the prefix the most recently used one and tells whether it was
// cached before.
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

// CacheEvents returns the events since the last call.
func (b *Batcher) CacheEvents() []CacheEvent {
	events := b.events
	b.events = nil
	return events
}
