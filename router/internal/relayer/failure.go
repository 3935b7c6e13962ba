package relayer

import (
	"net/http"
	"strconv"
	"time"

	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/tracker"
	"shallotkeel.example/router/internal/refuser"
)

// retrySoon is when to come back after a fault that is likely to pass at once.
const retrySoon = time.Second

// meaning is what a code stands for, whatever the request.
type meaning struct {
	status  int
	invalid bool // the request itself is at fault
	message string
	remedy  string
}

var meanings = map[tracker.Code]meaning{
	tracker.CodeNoToken: {
		http.StatusUnauthorized, true, "the request carries no token",
		"send the header Authorization: Bearer TOKEN with your workspace's token",
	},
	tracker.CodeBadToken: {
		http.StatusUnauthorized, true, "the token belongs to no workspace",
		"check the token, or ask your operator for a new one",
	},
	tracker.CodeUnknownModel: {
		http.StatusNotFound, true, "no service offers this model", "choose one of GET /v1/models",
	},
	tracker.CodeUnknownService: {
		http.StatusNotFound, true, "there is no plain service of this name", "check the path /v1/services/SERVICE/...",
	},
	tracker.CodeNotAllowed: {
		http.StatusForbidden, true, "your workspace may not use this service",
		"ask your operator to change the service's selector",
	},
	tracker.CodeBadBody: {
		http.StatusBadRequest, true, "the request is malformed", "correct the request; see docs/CALLERS.md",
	},
	tracker.CodeTooLarge: {
		http.StatusRequestEntityTooLarge, true, "the body is too large", "send a smaller body",
	},
	tracker.CodeQueueFull: {
		http.StatusTooManyRequests, false, "too many requests are waiting", "come back after the time in Retry-After",
	},
	tracker.CodeNoEndpoint: {
		http.StatusServiceUnavailable, false, "no endpoint can take the request now",
		"come back after the time in Retry-After; if it lasts, ask your operator which endpoints your workspace's selector reaches",
	},
	tracker.CodeNoQuorum: {
		http.StatusServiceUnavailable, false, "a request that may not repeat cannot be taken safely now",
		"send it again with the same Idempotency-Key after the time in Retry-After",
	},
	tracker.CodeQuarantined: {
		http.StatusUnprocessableEntity, false, "requests like this one stopped the endpoints that ran them",
		"change the request, or come back after the time in Retry-After",
	},
	tracker.CodeStopping: {
		http.StatusServiceUnavailable, false, "this router is stopping", "send the request again; another router will take it",
	},
	tracker.CodeKeyReused: {
		http.StatusUnprocessableEntity, false, "this Idempotency-Key was used for another request",
		"use a new key for a new request",
	},
	tracker.CodeKeySpent: {
		http.StatusConflict, false, "an earlier request with this Idempotency-Key may have run and its outcome is not known yet",
		"send it again later with the same key, or look at the service itself whether it took effect; a new key may run it twice",
	},
	tracker.CodeEndpointFailed: {
		http.StatusBadGateway, false, "the endpoint failed and the request may have run",
		"if it may run twice, send it again; if not, send it again with the same Idempotency-Key, which never runs it twice",
	},
	tracker.CodeTimedOut: {
		http.StatusGatewayTimeout, false, "the request took too long", "ask for less, or come back after the time in Retry-After",
	},
}

// kind returns the error's type for the body.
func kind(action tracker.Action) string {
	switch {
	case action.Outcome == tracker.OutcomeUnknown:
		return refuser.Unknown
	case meanings[action.Code].invalid:
		return refuser.Invalid
	default:
		return refuser.NotRun
	}
}

// tell sends a failure as the whole answer. Reason, if there is one, says more
// than the code's own message.
func (c *caller) tell(action tracker.Action, reason, id string) {
	means, known := meanings[action.Code]
	if !known {
		means = meanings[tracker.CodeNoEndpoint]
	}
	body := reporter.FailureBody{
		Type: kind(action), Code: string(action.Code), Message: means.message, Remedy: means.remedy,
		RequestID: id, RetryMS: action.Retry.Milliseconds(),
	}
	if reason != "" {
		body.Message = reason
	}
	headers := c.writer.Header()
	headers.Set(headerOutcome, string(action.Outcome))
	if action.Retry > 0 {
		headers.Set(headerRetryAfter, wholeSeconds(action.Retry))
	}
	c.extend()
	// The server reads the rest of a body first, from a caller that may stall.
	_ = c.control.SetReadDeadline(time.Now().Add(c.stall))
	refuser.Write(c.writer, means.status, body)
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
