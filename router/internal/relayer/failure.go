package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"shallotkeel.example/lib/reporter"
)

// Code names why a request was not answered, as in docs/INTERFACES.md.
type Code string

// The codes that a caller can meet.
const (
	CodeNoToken        Code = "no_token"
	CodeBadToken       Code = "bad_token"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeNotAllowed     Code = "not_allowed"
	CodeBadBody        Code = "bad_body"
	CodeTooLarge       Code = "too_large"
	CodeQueueFull      Code = "queue_full"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeNoQuorum       Code = "no_quorum"
	CodeQuarantined    Code = "quarantined"
	CodeStopping       Code = "stopping"
	CodeKeyReused      Code = "key_reused"
	CodeKeySpent       Code = "key_spent"
	CodeEndpointFailed Code = "endpoint_failed"
	CodeTimedOut       Code = "timed_out"
)

// Outcome tells a caller which of the three endings its request had.
type Outcome string

// The values of the X-Outcome header.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// Values of an error's type.
const (
	typeInvalid = "invalid"
	typeNotRun  = "not_run"
	typeUnknown = "unknown"
)

// failure is the final answer of a request that was not answered by an endpoint.
type failure struct {
	code    Code
	outcome Outcome
	message string
	retry   time.Duration // when to come back, 0 if that makes no sense
}

// meaning is what a code stands for, whatever the request.
type meaning struct {
	status  int
	invalid bool // the request itself is at fault
	message string
	remedy  string
}

var meanings = map[Code]meaning{
	CodeNoToken:        {http.StatusUnauthorized, true, "the request carries no token", "send the header Authorization: Bearer TOKEN with your workspace's token"},
	CodeBadToken:       {http.StatusUnauthorized, true, "the token belongs to no workspace", "check the token, or ask your operator for a new one"},
	CodeUnknownModel:   {http.StatusNotFound, true, "no service offers this model", "choose one of GET /v1/models"},
	CodeUnknownService: {http.StatusNotFound, true, "there is no plain service of this name", "check the path /v1/services/SERVICE/..."},
	CodeNotAllowed:     {http.StatusForbidden, true, "your workspace may not use this service", "ask your operator to change the service's selector"},
	CodeBadBody:        {http.StatusBadRequest, true, "the request is malformed", "correct the request; see docs/CALLERS.md"},
	CodeTooLarge:       {http.StatusRequestEntityTooLarge, true, "the body is too large", "send a smaller body"},
	CodeQueueFull:      {http.StatusTooManyRequests, false, "too many requests are waiting", "come back after the time in Retry-After"},
	CodeNoEndpoint:     {http.StatusServiceUnavailable, false, "no endpoint can take the request now", "come back after the time in Retry-After; if it lasts, ask your operator"},
	CodeNoQuorum:       {http.StatusServiceUnavailable, false, "a request that may not repeat cannot be taken safely now", "send it again with the same Idempotency-Key after the time in Retry-After"},
	CodeQuarantined:    {http.StatusUnprocessableEntity, false, "requests like this one stopped the endpoints that ran them", "change the request, or come back after the time in Retry-After"},
	CodeStopping:       {http.StatusServiceUnavailable, false, "this router is stopping", "send the request again; another router will take it"},
	CodeKeyReused:      {http.StatusUnprocessableEntity, false, "this Idempotency-Key was used for another request", "use a new key for a new request"},
	CodeKeySpent:       {http.StatusConflict, false, "an earlier request with this Idempotency-Key may have run and its outcome is not known yet", "send it again later with the same key, or look at the service itself whether it took effect; a new key may run it twice"},
	CodeEndpointFailed: {http.StatusBadGateway, false, "the endpoint failed and the request may have run", "if it may run twice, send it again; if not, send it again with the same Idempotency-Key, which never runs it twice"},
	CodeTimedOut:       {http.StatusGatewayTimeout, false, "the request took too long", "ask for less, or come back after the time in Retry-After"},
}

// notRun is a refusal: no endpoint started the request.
func notRun(code Code, retry time.Duration) *failure {
	return &failure{code: code, outcome: OutcomeNotRun, retry: retry}
}

// unknown is a failure after which the request may have run.
func unknown(code Code, retry time.Duration) *failure {
	return &failure{code: code, outcome: OutcomeUnknown, retry: retry}
}

// invalid is a refusal whose message says what is wrong with the request.
func invalid(code Code, message string) *failure {
	return &failure{code: code, outcome: OutcomeNotRun, message: message}
}

// kind returns the error's type for the body.
func (f *failure) kind() string {
	switch {
	case f.outcome == OutcomeUnknown:
		return typeUnknown
	case meanings[f.code].invalid:
		return typeInvalid
	default:
		return typeNotRun
	}
}

// write sends the failure as the whole answer.
func (f *failure) write(w http.ResponseWriter, requestID string) {
	means := meanings[f.code]
	message := means.message
	if f.message != "" {
		message = f.message
	}
	body := reporter.Failure{Error: reporter.FailureBody{
		Type: f.kind(), Code: string(f.code), Message: message, Remedy: means.remedy,
		RequestID: requestID, RetryMS: f.retry.Milliseconds(),
	}}
	headers := w.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set(headerOutcome, string(f.outcome))
	if f.retry > 0 {
		headers.Set("Retry-After", wholeSeconds(f.retry))
	}
	w.WriteHeader(means.status)
	// A caller that has gone cannot be told; the failure is counted all the same.
	_ = json.NewEncoder(w).Encode(body)
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
