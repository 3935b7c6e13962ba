package proxier

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// cutCause is why a request ended without a complete answer: what ended its last attempt that may have
// run, or its client.
type cutCause uint8

const (
	notCut        cutCause = iota
	cutByClient            // the client closed its connection, or reads nothing
	cutByBody              // the client's body broke off
	cutByEndpoint          // the endpoint broke its connection off, or its answer is invalid
	cutByRestart           // the endpoint has restarted
	cutByDeadline          // the request's deadline passed
	cutByFraming           // the answer has no framing, and its connection cannot carry it
	cutByStop              // the grace time of a planned stop is over
)

// cutLabels are the values of cut causes in metrics and log lines.
var cutLabels = map[cutCause]string{
	notCut: "", cutByClient: "client", cutByBody: "body", cutByEndpoint: "endpoint", cutByRestart: "restart",
	cutByDeadline: "deadline", cutByFraming: "framing", cutByStop: "stop",
}

// ErrStopped is the cause with which the contexts of requests are to end when the grace time of a planned
// stop is over.
var ErrStopped = merry.Sentinel("the router stops")

const (
	// reasonStopped is the reason of requests that a planned stop refuses or ends.
	reasonStopped = "this router stops"
	// stopRetryAfter is the Retry-After of a router that stops. Another router can serve the request at once.
	stopRetryAfter = 100 * time.Millisecond
)

// stopped reports whether the request has been ended because the grace time of a planned stop is over.
func (q *request) stopped() bool {
	return errors.Is(context.Cause(q.http.Context()), ErrStopped)
}

// endAtStop ends a request when the grace time of a planned stop is over.
func (p *Proxier) endAtStop(q *request) {
	q.reason = reasonStopped
	switch {
	case q.answerStarted:
		p.cut(q, cutByStop)
	case q.mayHaveRun:
		p.fail(q, http.StatusBadGateway, reasonStopped)
	default:
		p.refuseAtStop(q)
	}
}

// refusedAtStop refuses a request that is read so late in a planned stop that it may not end within the
// grace time.
func (p *Proxier) refusedAtStop(q *request) bool {
	if !p.inFlight.refusing.Load() {
		return false
	}
	p.refuseAtStop(q)
	return true
}

// refuseAtStop refuses a request that another router can serve, and closes its connection: the request may have
// begun to arrive before the stop.
func (p *Proxier) refuseAtStop(q *request) {
	q.writer.Header().Set("Connection", "close")
	p.refuse(q, byStop, http.StatusServiceUnavailable, reasonStopped, stopRetryAfter)
}

// cut closes the client's connection without a complete answer.
func (p *Proxier) cut(q *request, cause cutCause) {
	q.cutBy = cause
	panic(http.ErrAbortHandler)
}

// endedBy returns what ended an attempt that failed with an error, by the context of the attempt.
func endedBy(ctx context.Context, err error) cutCause {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStopped):
		return cutByStop
	case errors.Is(cause, errRestarted):
		return cutByRestart
	case errors.Is(cause, context.DeadlineExceeded):
		return cutByDeadline
	case cause != nil:
		return cutByClient
	case errors.Is(err, framer.ErrNoReset):
		return cutByFraming
	case errors.Is(err, forwarder.ErrUnsent):
		return notCut
	}
	return cutByEndpoint
}
