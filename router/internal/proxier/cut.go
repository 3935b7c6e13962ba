package proxier

import (
	"context"
	"errors"
	"net/http"

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
	cutByMemory            // the answers of other requests hold the memory for answers
	cutByStop              // the grace time of a planned stop is over
)

// cutLabels are the values of cut causes in metrics and log lines.
var cutLabels = map[cutCause]string{
	notCut: "", cutByClient: "client", cutByBody: "body", cutByEndpoint: "endpoint", cutByRestart: "restart",
	cutByDeadline: "deadline", cutByFraming: "framing", cutByMemory: "memory", cutByStop: "stop",
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
