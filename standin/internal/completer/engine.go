// Package completer serves chat completions as a model engine does, with
// answers that are a pure function of the request.
//
// Invariants: an answer's tokens carry the request's id and their index; a
// request that the engine refuses was not started, and the answer says so;
// tokens that a caller has not read yet take one integer, not a buffer, because
// tokens are computed when they are written.
package completer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/standin/internal/batcher"
)

// Engine drives a batcher by the clock. The goroutine of Run executes the steps;
// handlers submit and cancel requests under the lock.
type Engine struct {
	Clock clockwork.Clock

	lock       sync.Mutex
	batch      *batcher.Batcher
	jobs       map[uint64]*job
	lastHandle uint64
	wake       chan struct{}
}

// job is the progress of one request, which its handler reads.
type job struct {
	handle uint64
	id     string
	// The fields below are guarded by the engine's lock.
	tokens    int
	started   bool
	finished  bool
	cancelled bool
	// changed has a buffer of one and signals that the fields above have changed.
	changed chan struct{}
}

// jobState is a copy of a job's guarded fields.
type jobState struct {
	tokens                       int
	started, finished, cancelled bool
}

// NewEngine returns an engine with these settings. It makes progress only while
// Run runs.
func NewEngine(clock clockwork.Clock, settings batcher.Settings) *Engine {
	return &Engine{
		Clock: clock,
		batch: &batcher.Batcher{Settings: settings},
		jobs:  make(map[uint64]*job),
		wake:  make(chan struct{}, 1),
	}
}

// Run executes the engine's steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.nextStep():
			e.advance()
		}
	}
}

// nextStep returns a channel that fires when the next step ends, or nil, which
// never fires, while no request runs.
func (e *Engine) nextStep() <-chan time.Time {
	e.lock.Lock()
	defer e.lock.Unlock()
	at, busy := e.batch.NextStep()
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

// submit queues a request and returns its job, which the handler must release.
func (e *Engine) submit(id string, request batcher.Request) *job {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.lastHandle++
	request.Handle = e.lastHandle
	j := &job{handle: e.lastHandle, id: id, tokens: request.From, changed: make(chan struct{}, 1)}
	e.jobs[j.handle] = j
	e.apply(e.batch.Submit(e.Clock.Now(), request))
	e.reschedule()
	return j
}

// release removes a job whose handler returns, and frees its slot.
func (e *Engine) release(j *job) {
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.jobs, j.handle)
	e.apply(e.batch.Cancel(e.Clock.Now(), j.handle))
	e.reschedule()
}

// CancelByID cancels the unfinished requests with this id and returns their number.
func (e *Engine) CancelByID(id string) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	cancelled := 0
	for _, j := range e.jobs {
		if j.id != id || j.finished {
			continue
		}
		j.cancelled = true
		j.notify()
		e.apply(e.batch.Cancel(e.Clock.Now(), j.handle))
		cancelled++
	}
	e.reschedule()
	return cancelled
}

// Adjust sets the factor on the engine's step time (0 means 1) and whether the
// engine hangs.
func (e *Engine) Adjust(slow float64, hung bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.batch.Slow, e.batch.Hung = slow, hung
	e.reschedule()
}

// Load returns the number of requests that run or wait.
func (e *Engine) Load() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.batch.Running() + e.batch.Waiting()
}

// CacheEvents returns the cache events since the previous call.
func (e *Engine) CacheEvents() []batcher.CacheEvent {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.batch.CacheEvents()
}

func (e *Engine) stateOf(j *job) jobState {
	e.lock.Lock()
	defer e.lock.Unlock()
	return jobState{tokens: j.tokens, started: j.started, finished: j.finished, cancelled: j.cancelled}
}

// apply copies the progress of a step to the jobs and notifies their handlers.
func (e *Engine) apply(changes []batcher.Progress) {
	for _, progress := range changes {
		j, known := e.jobs[progress.Handle]
		if !known {
			continue
		}
		j.started = true
		j.tokens = progress.Tokens
		j.finished = progress.Finished
		j.notify()
	}
}

func (j *job) notify() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// reschedule makes Run compute anew when the next step ends.
func (e *Engine) reschedule() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
