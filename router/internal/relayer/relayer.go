package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/prober"
	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/lib/tracker"
)

// Relayer serves the project's own HTTP interface for callers: chat completions, the list of models and plain services.
type Relayer struct {
	options       Options
	limits        Limits
	repeatable    *http.Transport // for repeatable requests
	nonRepeatable *http.Transport // for non-repeatable requests; it reuses no connection
	nameHash      uint32          // hash of the router's name, the first part of its request IDs
	queue         queue
	crashGuard    crashGuard
	bodyMemory    bodyMemory
	drain         drain
	backoffs      backoffs
	explainer     explainer
	metrics       *metrics
	prober        prober.Prober
}

// New returns a Relayer. Register adds its handlers to a mux.
func New(options Options) *Relayer {
	limits := options.Limits.withDefaults()
	r := &Relayer{
		options:       options,
		limits:        limits,
		repeatable:    newTransport(limits.DialTimeout, false),
		nonRepeatable: newTransport(limits.DialTimeout, true),
		nameHash:      uint32(xxhash.Sum64String(options.Name)),
		bodyMemory:    bodyMemory{limit: limits.TotalBodyBytes},
		explainer:     explainer{limit: limits.ExplainableRequests},
		prober:        prober.Prober{Observer: options.Crashes, Clock: options.Clock, Log: options.Log},
	}
	r.queue.limiter.Total = limits.WaitingRequests
	r.drain.init()
	r.metrics = newMetrics(options.Registry, r)
	return r
}

// Register adds the handlers of the callers' paths to a mux.
func (r *Relayer) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", r.handle(kindChat, r.serveChat))
	mux.HandleFunc("GET /v1/models", r.handle(kindModels, r.serveModels))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.handle(kindPlain, r.servePlain))
}

// handler serves an authenticated request and returns the action that ends it.
type handler func(ctx context.Context, q *request) tracker.Action

// handle does what all callers' paths have in common: it authenticates the request, applies the
// request timeout, starts the trace, and answers a request that no endpoint has answered.
func (r *Relayer) handle(kind string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		q := r.newRequest(kind, w, h)
		if !r.drain.enter() {
			q.caller.writer.Header().Set("Connection", "close")
			r.finish(q, refuse(tracker.CodeStopping, minRetryAfter))
			return
		}
		defer r.drain.leave()
		defer q.caller.clearWriteDeadline()
		ctx, cancel := r.requestContext(q)
		defer cancel(nil)
		ctx, q.span = r.options.Tracer.Start(tracer.Extract(ctx, h.Header), "request", "kind", kind, "id", q.id)
		q.trace = q.span.TraceID()
		tracer.Inject(ctx, w.Header())
		action, ok := r.authenticate(q)
		if ok {
			action = next(ctx, q)
		}
		r.finish(q, action)
	}
}

// finish records how a request ended. If the caller has not received an answer, finish sends the
// failure or aborts the connection, as the action says.
func (r *Relayer) finish(q *request, action tracker.Action) {
	r.metrics.observe(q, action, r.options.Clock.Since(q.received))
	r.explainer.end(q, action)
	if action.Outcome != tracker.OutcomeAnswered {
		q.span.End(string(action.Code))
	} else {
		q.span.End("")
	}
	switch action.Step {
	case tracker.RespondError:
		q.caller.sendFailure(action, q.reason, q.id)
	case tracker.Abort, tracker.EndSilently:
		// The connection is aborted, so that the caller cannot mistake a truncated answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// refuse returns the action that ends a request of which no endpoint has received a byte.
func refuse(code tracker.Code, retry time.Duration) tracker.Action {
	return tracker.Action{Step: tracker.RespondError, Outcome: tracker.OutcomeNotRun, Code: code, Retry: retry}
}
