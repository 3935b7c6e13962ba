package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/lib/tracker"
)

// Relayer serves callers.
type Relayer struct {
	options    Options
	limits     Limits
	repeatable *http.Transport
	once       *http.Transport
	nameHash   uint32
	queue      queue
	guard      guard
	bodies     bodies
	drain      drain
	backoffs   backoffs
	explainer  explainer
	metrics    *metrics
}

// New returns a relayer; Register puts it on a mux.
func New(options Options) *Relayer {
	limits := options.Limits.withDefaults()
	r := &Relayer{
		options:    options,
		limits:     limits,
		repeatable: newTransport(limits.DialTimeout, false),
		once:       newTransport(limits.DialTimeout, true),
		nameHash:   uint32(xxhash.Sum64String(options.Name)),
		bodies:     bodies{limit: limits.HeldBytes},
		explainer:  explainer{limit: limits.Explained},
	}
	r.queue.limiter.Total = limits.Waiting
	r.drain.init()
	r.metrics = newMetrics(options.Registry, r)
	return r
}

// Register serves the callers' paths.
func (r *Relayer) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", r.entry(kindChat, r.serveChat))
	mux.HandleFunc("GET /v1/models", r.entry(kindModels, r.serveModels))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.entry(kindPlain, r.servePlain))
}

// handler serves an authenticated request. It returns how the request ended.
type handler func(ctx context.Context, q *request) tracker.Action

// entry does what all callers' paths have in common: identity, time limit,
// trace, and the final answer of a request that no endpoint answered.
func (r *Relayer) entry(kind string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		q := r.newRequest(kind, w, h)
		if !r.drain.enter() {
			q.caller.writer.Header().Set("Connection", "close")
			r.conclude(q, refuse(tracker.CodeStopping, retrySoon))
			return
		}
		defer r.drain.leave()
		defer q.caller.release()
		ctx, cancel := r.lifetime(q)
		defer cancel(nil)
		ctx, q.span = r.options.Tracer.Start(tracer.Extract(ctx, h.Header), "request", "kind", kind, "id", q.id)
		q.trace = q.span.TraceID()
		tracer.Inject(ctx, w.Header())
		action, ok := r.authenticate(q)
		if ok {
			action = next(ctx, q)
		}
		r.conclude(q, action)
	}
}

// conclude tells the caller its request's ending, where it has not heard the
// answer itself, and counts it.
func (r *Relayer) conclude(q *request, action tracker.Action) {
	r.metrics.ended(q, action, r.options.Clock.Since(q.received))
	r.explainer.end(q, action)
	if action.Outcome != tracker.OutcomeAnswered {
		q.span.End(string(action.Code))
	} else {
		q.span.End("")
	}
	switch action.Step {
	case tracker.RespondError:
		q.caller.tell(action, q.reason, q.id)
	case tracker.Abort, tracker.EndSilently:
		// The connection is cut, so that nobody takes a part for the whole.
		panic(http.ErrAbortHandler)
	}
}

// refuse is the ending of a request that no endpoint saw.
func refuse(code tracker.Code, retry time.Duration) tracker.Action {
	return tracker.Action{Step: tracker.RespondError, Outcome: tracker.OutcomeNotRun, Code: code, Retry: retry}
}
