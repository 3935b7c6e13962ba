package relayer

import (
	"net/http"
	"strconv"
	"time"

	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/tracker"
	"shallotkeel.example/router/internal/refuser"
)

// minRetryAfter is the Retry-After for a fault that is likely to pass at once, such as the loss of
// an endpoint, and the minimum for a scheduler's refusal.
const minRetryAfter = time.Second

// failureText is the answer for a code: its HTTP status, message and remedy.
type failureText struct {
	status  int
	invalid bool // the request itself is at fault
	message string
	remedy  string
}

// failureTexts holds the answer for each code that a caller can get.
var failureTexts = map[tracker.Code]failureText{
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

// failureType returns the type of the error in the answer's body.
func failureType(action tracker.Action) string {
	switch {
	case action.Outcome == tracker.OutcomeUnknown:
		return refuser.Unknown
	case failureTexts[action.Code].invalid:
		return refuser.Invalid
	default:
		return refuser.NotRun
	}
}

// sendFailure sends a failure as the complete answer. A non-empty reason replaces the message of the
// code.
func (c *caller) sendFailure(action tracker.Action, reason, id string) {
	text, known := failureTexts[action.Code]
	if !known {
		text = failureTexts[tracker.CodeNoEndpoint]
	}
	body := reporter.FailureBody{
		Type: failureType(action), Code: string(action.Code), Message: text.message, Remedy: text.remedy,
		RequestID: id, RetryMS: action.Retry.Milliseconds(),
	}
	if reason != "" {
		body.Message = reason
	}
	headers := c.writer.Header()
	headers.Set(headerOutcome, string(action.Outcome))
	if action.Retry > 0 {
		headers.Set(headerRetryAfter, ceilSeconds(action.Retry))
	}
	c.extendWriteDeadline()
	// The server first reads the rest of the request's body, from a caller that may stall.
	_ = c.control.SetReadDeadline(time.Now().Add(c.stallTimeout))
	refuser.Write(c.writer, text.status, body)
}

// ceilSeconds returns a duration in seconds, rounded up so that no caller retries too early, and at
// least 1.
func ceilSeconds(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
