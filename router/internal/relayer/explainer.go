package relayer

import (
	"sync"
	"time"

	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/tracker"
)

// maxSteps bounds what is remembered of one request; a request that is retried
// four times takes some twenty steps.
const maxSteps = 32

// explainer remembers what happened to requests: to all in progress, whose
// number is bounded by the waiting room and the slots, and to the most recent
// of those that have ended. At about 60 bytes a step and ten steps a request,
// the default of 1024 takes 700 KiB.
type explainer struct {
	limit  int
	lock   sync.Mutex
	known  map[string]*history
	recent []string // ids of ended requests, a ring
	next   int
}

// history is what happened to one request. It is guarded by the explainer's lock.
type history struct {
	id        string
	received  time.Time
	workspace string
	service   string
	model     string
	trace     string
	outcome   tracker.Outcome
	code      tracker.Code
	why       string
	steps     []reporter.Step
}

// begin makes a request known.
func (e *explainer) begin(q *request) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := q.history
	h.workspace, h.service, h.trace = q.workspace.Name, q.service.Name, q.trace
	if q.chat != nil {
		h.model = q.chat.Model
	}
	if e.known == nil {
		e.known = make(map[string]*history)
	}
	e.known[h.id] = h
}

// note adds a step, and why the request is where it is now.
func (r *Relayer) note(q *request, step, detail, why string) {
	now := r.options.Clock.Now()
	e := &r.explainer
	e.lock.Lock()
	defer e.lock.Unlock()
	h := q.history
	if why != "" {
		h.why = why
	}
	if len(h.steps) < maxSteps {
		h.steps = append(h.steps, reporter.Step{AtMS: now.Sub(h.received).Milliseconds(), Step: step, Detail: detail})
	}
}

// end remembers how a request ended and forgets the oldest that has.
func (e *explainer) end(q *request, action tracker.Action) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := q.history
	if e.known[h.id] == nil {
		return // it was refused before it meant anything
	}
	h.outcome, h.code = action.Outcome, action.Code
	if len(e.recent) < e.limit {
		e.recent = append(e.recent, h.id)
		return
	}
	delete(e.known, e.recent[e.next])
	e.recent[e.next] = h.id
	e.next = (e.next + 1) % e.limit
}

// Explain tells what happened to a request that is in progress or recent.
func (r *Relayer) Explain(id string) (reporter.Explanation, bool) {
	e := &r.explainer
	e.lock.Lock()
	defer e.lock.Unlock()
	h, found := e.known[id]
	if !found {
		return reporter.Explanation{}, false
	}
	return reporter.Explanation{
		ID: h.id, Workspace: h.workspace, Service: h.service, Model: h.model,
		Outcome: string(h.outcome), Code: string(h.code), Trace: h.trace,
		Steps: append([]reporter.Step{}, h.steps...), Why: h.why,
	}, true
}
