package proxier

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/router/internal/screener"
)

// ErrStopped is the cause with which the contexts of requests are to end when the grace time of a planned
// stop is over.
var ErrStopped = merry.Sentinel("the router stops")

// stopped reports whether the request has been ended because the grace time of a planned stop is over.
func (q *request) stopped() bool {
	return errors.Is(context.Cause(q.http.Context()), ErrStopped)
}

// endAtStop ends a request when the grace time of a planned stop is over.
func (p *Proxier) endAtStop(q *request) {
	q.reason = screener.StopRefusal.Reason
	switch {
	case q.answerStarted:
		p.cut(q, cutByStop)
	case q.mayHaveRun:
		p.fail(q, http.StatusBadGateway, screener.StopRefusal.Reason)
	default:
		p.refuseAtStop(q)
	}
}

// refusedAtStop refuses a request that is read so late in a planned stop that it may not end within the
// grace time.
func (p *Proxier) refusedAtStop(q *request) bool {
	if p.inFlight.refusing.Load() == nil {
		return false
	}
	p.refuseAtStop(q)
	return true
}

// outlastsStop reports whether a request that has not run yet might be ended with the grace time of a planned stop
// if it were sent to an endpoint now. While it can be refused as not run, another router can serve it.
func (p *Proxier) outlastsStop(q *request) bool {
	end := p.inFlight.refusing.Load()
	return end != nil && !q.mayHaveRun && !q.answerStarted && q.deadline.After(*end)
}

// refuseAtStop refuses a request that another router can serve, and closes its connection: the request may have
// begun to arrive before the stop.
func (p *Proxier) refuseAtStop(q *request) {
	q.writer.Header().Set("Connection", "close")
	p.refuse(q, byStop, screener.StopRefusal.Status, screener.StopRefusal.Reason, screener.StopRefusal.Retry)
}
