package relayer

import (
	"sync"
	"time"

	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/tracker"
)

// maxSteps is the maximum number of steps recorded for one request; a request that is retried four
// times takes about twenty steps.
const maxSteps = 32

// explainer records the histories of all requests in progress, whose number is limited by the waiting
// queue and the slots, and of the most recently ended ones. At about 60 bytes a step and ten steps a
// request, the default of 1024 ended requests takes 700 KiB.
type explainer struct {
	limit  int // of ended requests
	lock   sync.Mutex
	known  map[string]*history // by request ID
	recent []string            // ring of the IDs of ended requests
	next   int                 // index in recent of the oldest ID
}

// history is the sequence of steps of one request. It is guarded by the explainer's lock.
type history struct {
	id        string
	received  time.Time
	workspace string
	service   string
	model     string
	trace     string
	outcome   tracker.Outcome
	code      tracker.Code
	why       string // reason of the request's present state
	steps     []reporter.Step
}

// begin starts to record a request that has been admitted.
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

// note adds a step to the request's history. A non-empty why replaces the reason of the request's
// present state.
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

// end records how a request ended and removes the oldest ended request beyond the limit.
func (e *explainer) end(q *request, action tracker.Action) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := q.history
	if e.known[h.id] == nil {
		return // it was refused before begin
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

// Explain returns the history of a request that is in progress or has ended recently.
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
