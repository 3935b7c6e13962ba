// Package completer serves chat completions as a model engine does, with
// answers that are a pure function of the request.
//
// Invariants: an answer's tokens carry the request's id and their index; a
// request that the engine refuses was not started, and the answer says so;
// what a caller has not read yet costs one integer, not a buffer, because
// tokens are computed when they are written.
package completer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/standin/internal/batcher"
)

// Engine drives a batcher by the clock. One goroutine, Run, makes the steps;
// handlers submit and cancel under the lock.
type Engine struct {
	Clock clockwork.Clock

	lock    sync.Mutex
	batch   *batcher.Batcher
	jobs    map[uint64]*job
	handles uint64
	wake    chan struct{}
}

// job is one request as its handler follows it.
type job struct {
	handle uint64
	id     string
	// The fields below are guarded by the engine's lock.
	tokens    int
	started   bool
	finished  bool
	cancelled bool
	// changed has room for one token and is filled after every change.
	changed chan struct{}
}

// state is a job at one moment.
type state struct {
	tokens                       int
	started, finished, cancelled bool
}

// NewEngine returns an engine with these settings. Run must be called.
func NewEngine(clock clockwork.Clock, settings batcher.Settings) *Engine {
	return &Engine{
		Clock: clock,
		batch: &batcher.Batcher{Settings: settings},
		jobs:  make(map[uint64]*job),
		wake:  make(chan struct{}, 1),
	}
}

// Run makes the engine's steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.pause():
			e.advance()
		}
	}
}

// pause returns a channel that fires when the next step is due, and nil,
// which never fires, while nothing runs.
func (e *Engine) pause() <-chan time.Time {
	e.lock.Lock()
	defer e.lock.Unlock()
	at, busy := e.batch.Wake()
	if !busy {
		return nil
	}
	return e.Clock.After(at.Sub(e.Clock.Now()))
}

func (e *Engine) advance() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.apply(e.batch.Advance(e.Clock.Now()))
}

// submit queues a request.
func (e *Engine) submit(id string, request batcher.Request) *job {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.handles++
	request.Handle = e.handles
	j := &job{handle: e.handles, id: id, tokens: request.From, changed: make(chan struct{}, 1)}
	e.jobs[j.handle] = j
	e.apply(e.batch.Submit(e.Clock.Now(), request))
	e.nudge()
	return j
}

// end forgets a job whose handler returns and frees its slot.
func (e *Engine) end(j *job) {
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.jobs, j.handle)
	e.apply(e.batch.Cancel(e.Clock.Now(), j.handle))
	e.nudge()
}

// CancelByID cancels the requests with this id and tells how many there were.
func (e *Engine) CancelByID(id string) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	cancelled := 0
	for _, j := range e.jobs {
		if j.id != id || j.finished {
			continue
		}
		j.cancelled = true
		j.signal()
		e.apply(e.batch.Cancel(e.Clock.Now(), j.handle))
		cancelled++
	}
	e.nudge()
	return cancelled
}

// Adjust slows or hangs the engine.
func (e *Engine) Adjust(slow float64, hung bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.batch.Slow, e.batch.Hung = slow, hung
	e.nudge()
}

// Load returns how many requests run or wait.
func (e *Engine) Load() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.batch.Running() + e.batch.Waiting()
}

// CacheEvents returns the cache events since the last call.
func (e *Engine) CacheEvents() []batcher.CacheEvent {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.batch.CacheEvents()
}

func (e *Engine) look(j *job) state {
	e.lock.Lock()
	defer e.lock.Unlock()
	return state{tokens: j.tokens, started: j.started, finished: j.finished, cancelled: j.cancelled}
}

// apply hands a step's yields to their jobs.
func (e *Engine) apply(yields []batcher.Yield) {
	for _, yield := range yields {
		j, known := e.jobs[yield.Handle]
		if !known {
			continue
		}
		j.started = true
		j.tokens = yield.Tokens
		j.finished = yield.Finished
		j.signal()
	}
}

func (j *job) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// nudge makes Run look again at when the next step is due.
func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
