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
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/lib/tracker"
)

// Values of the metrics' label kind.
const (
	kindChat   = "chat"
	kindModels = "models"
	kindPlain  = "plain"
)

// request is the state of one caller's request. Only the goroutine of its handler accesses the
// fields, unless a field's comment says otherwise.
type request struct {
	id          string
	kind        string
	received    time.Time
	http        *http.Request
	caller      *caller
	rules       *matcher.Rules
	current     bool // the rules are known to be the newest ones
	workspace   *matcher.Workspace
	service     *matcher.Service
	tracker     *tracker.Tracker
	history     *history
	span        tracer.Span
	trace       string
	reason      string // message of its failure, empty for the message of the code
	fingerprint uint64
	profile     localizer.Profile // what it has in common with other requests

	chat     *chat   // nil for calls of plain services
	upload   *upload // nil for chats
	sequence sequence
	sink     sink
	recorder answerRecorder // collects the answer for the record of its idempotency key

	key   string // idempotency key of a non-repeatable request, otherwise empty
	claim *messenger.ClaimEntry

	slot    Slot
	run     *isolator.Run
	trial   bool     // it is the trial run of its suspect fingerprint
	avoid   []string // IDs of endpoints at which an earlier attempt failed
	attempt attempt  // the attempt in progress or the last one

	cancel         context.CancelCauseFunc
	outlivesCaller atomic.Bool // the request continues when its caller disconnects; any goroutine may access it
}

// attempt is the state of one attempt to serve a request at an endpoint.
type attempt struct {
	started     time.Time     // when the slot was granted
	timeToFirst time.Duration // from started to the first token or byte, 0 before it
	units       uint32        // tokens relayed
	backoff     time.Duration // requested by the endpoint, 0 if none

	leaving       bool // the endpoint announced that it is leaving
	connected     bool // a connection was made, so that the endpoint may have received bytes
	crashed       bool // its connection broke as it does when the endpoint's process dies
	passedThrough bool // the endpoint's answer is relayed byte for byte
	unframed      bool // that answer ends with its connection, so that its completeness is unknown
}

// Causes of the end of a request's context.
var (
	errTimedOut   = merry.Sentinel("the request's time is over")
	errStopping   = merry.Sentinel("the router stops")
	errCallerGone = merry.Sentinel("the caller has gone")
)

// newRequest returns the state of a request that has just arrived, and sets its ID as a header of the
// answer.
func (r *Relayer) newRequest(kind string, w http.ResponseWriter, h *http.Request) *request {
	q := &request{
		id: r.newID(), kind: kind, received: r.options.Clock.Now(),
		http: h, caller: newCaller(w, r.limits.StallTimeout),
	}
	q.history = &history{id: q.id, received: q.received}
	w.Header().Set(headerRequestID, q.id)
	return q
}

// newID returns the ID of a new request: the hash of the router's name, by which an operator finds
// the router that can explain the request, and a random number.
func (r *Relayer) newID() string {
	var raw [12]byte
	binary.BigEndian.PutUint32(raw[:4], r.nameHash)
	_, _ = rand.Read(raw[4:]) // crypto/rand documents that Read never returns an error
	return hex.EncodeToString(raw[:4]) + "-" + hex.EncodeToString(raw[4:])
}

// requestContext returns the context in which a request is served. It ends at the request timeout,
// when running requests are aborted, and when the caller disconnects, unless the request outlives
// its caller. The returned function releases the context's timer and callbacks.
func (r *Relayer) requestContext(q *request) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(q.http.Context()))
	q.cancel = cancel
	timer := r.options.Clock.AfterFunc(r.limits.RequestTimeout, func() { cancel(errTimedOut) })
	unstop := context.AfterFunc(r.drain.aborted, func() { cancel(errStopping) })
	unwatch := context.AfterFunc(q.http.Context(), q.callerGone)
	// A write that is blocked by a slow caller would delay the final answer.
	unblock := context.AfterFunc(ctx, q.caller.interruptIO)
	q.caller.ctx = ctx
	return ctx, func(cause error) {
		unblock()
		unwatch()
		unstop()
		timer.Stop()
		cancel(cause)
	}
}

// callerGone cancels a request whose caller has disconnected, unless the request outlives its caller.
func (q *request) callerGone() {
	if !q.outlivesCaller.Load() {
		q.cancel(errCallerGone)
	}
}

// setOutlivesCaller sets whether the request continues when its caller disconnects. Setting it to
// false cancels the request if its caller has disconnected already.
func (q *request) setOutlivesCaller(outlives bool) {
	q.outlivesCaller.Store(outlives)
	if !outlives && q.http.Context().Err() != nil {
		q.cancel(errCallerGone)
	}
}

// interruption returns the tracker's event for a request context that has ended.
func interruption(ctx context.Context) tracker.Event {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimedOut):
		return tracker.Event{Kind: tracker.TimedOut, Retry: minRetryAfter}
	case errors.Is(cause, errStopping):
		return tracker.Event{Kind: tracker.RouterStopping, Retry: minRetryAfter}
	default:
		return tracker.Event{Kind: tracker.CallerGone}
	}
}
