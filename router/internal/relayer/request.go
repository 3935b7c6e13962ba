package relayer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/isolator"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/lib/tracker"
)

// Kinds of request, for metrics.
const (
	kindChat   = "chat"
	kindModels = "models"
	kindPlain  = "plain"
)

// request is one request of a caller and all that the router holds for it. Its
// fields belong to its handler's goroutine, but for those that say otherwise.
type request struct {
	id          string
	kind        string
	received    time.Time
	http        *http.Request
	caller      *caller
	rules       *matcher.Rules
	workspace   *matcher.Workspace
	service     *matcher.Service
	tracker     *tracker.Tracker
	history     *history
	span        tracer.Span
	trace       string
	reason      string // what is wrong with an invalid request
	fingerprint uint64

	chat   *chat   // nil for plain calls
	upload *upload // nil for chats
	order  sequence
	sink   sink
	keep   keeper // what is recorded of the answer

	key   string // idempotency key of a request that may not repeat
	claim *messenger.ClaimEntry

	slot  Slot
	run   *isolator.Run
	trial bool // it holds its fingerprint's trial
	avoid []string
	spent attempt // the attempt in progress or the last one

	cancel  context.CancelCauseFunc
	persist atomic.Bool // any goroutine: the caller's going does not cancel it
}

// attempt is what one attempt used.
type attempt struct {
	began   time.Time
	first   time.Duration
	units   uint32        // tokens
	backoff time.Duration // that the endpoint has asked for

	leaving   bool // the endpoint said that it leaves
	connected bool // a connection was made
	crashed   bool // it broke as it does when a process dies
	passed    bool // the endpoint's answer was handed on as it was
	unframed  bool // and ends with its connection
}

// Causes for which a request's context ends.
var (
	errTimedOut = merry.Sentinel("the request's time is over")
	errStopping = merry.Sentinel("the router stops")
	errGone     = merry.Sentinel("the caller has gone")
)

func (r *Relayer) newRequest(kind string, w http.ResponseWriter, h *http.Request) *request {
	q := &request{
		id: r.newID(), kind: kind, received: r.options.Clock.Now(),
		http: h, caller: newCaller(w, r.limits.StallTimeout),
	}
	q.history = &history{id: q.id, received: q.received}
	w.Header().Set(headerRequestID, q.id)
	return q
}

// newID names a request: the router's hash, by which an operator finds the
// router that can explain it, and a random number.
func (r *Relayer) newID() string {
	var raw [12]byte
	binary.BigEndian.PutUint32(raw[:4], r.nameHash)
	_, _ = rand.Read(raw[4:]) // it never fails: see crypto/rand
	return hex.EncodeToString(raw[:4]) + "-" + hex.EncodeToString(raw[4:])
}

// lifetime returns the context in which a request is served. It ends with the
// request's time, with the router, and with the caller unless the request persists.
func (r *Relayer) lifetime(q *request) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(q.http.Context()))
	q.cancel = cancel
	timer := r.options.Clock.AfterFunc(r.limits.RequestTimeout, func() { cancel(errTimedOut) })
	unstop := context.AfterFunc(r.drain.aborted, func() { cancel(errStopping) })
	unwatch := context.AfterFunc(q.http.Context(), q.callerGone)
	// A write that waits for a slow caller would hold up a final answer.
	unblock := context.AfterFunc(ctx, q.caller.expire)
	q.caller.ended = ctx
	return ctx, func(cause error) {
		unblock()
		unwatch()
		unstop()
		timer.Stop()
		cancel(cause)
	}
}

// callerGone cancels the request, unless it may not repeat and has been sent.
func (q *request) callerGone() {
	if !q.persist.Load() {
		q.cancel(errGone)
	}
}

// detachable says whether the request goes on without its caller.
func (q *request) detachable(yes bool) {
	q.persist.Store(yes)
	if !yes && q.http.Context().Err() != nil {
		q.cancel(errGone)
	}
}

// interruption is the event for a context that has ended.
func interruption(ctx context.Context) tracker.Event {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimedOut):
		return tracker.Event{Kind: tracker.TimedOut, Retry: retrySoon}
	case errors.Is(cause, errStopping):
		return tracker.Event{Kind: tracker.RouterStopping, Retry: retrySoon}
	default:
		return tracker.Event{Kind: tracker.CallerGone}
	}
}
