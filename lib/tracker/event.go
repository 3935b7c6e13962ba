package tracker

import (
	"time"

	"shallotkeel.example/lib/scheduler"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	Admitted         EventKind = iota + 1 // it is valid and allowed, and the queue has room for it
	Refused                               // it is refused with Code before it has a slot
	SlotGranted                           // it has a slot at an endpoint
	ClaimGranted                          // its idempotency key is claimed for it
	ClaimSpent                            // the key was claimed before and its outcome is not recorded
	ClaimRecorded                         // the key was claimed before and its answer is recorded
	ClaimMismatch                         // the key belongs to another request
	ClaimFull                             // the workspace has too many live claims
	ClaimUnanswered                       // no quorum answered: the claim may or may not have been granted
	Connected                             // a connection to the endpoint was made; the request is being sent
	Unreachable                           // no connection was made
	NotStarted                            // the endpoint reported that it did not start the request
	Rejected                              // as NotStarted, and no endpoint will accept the request: Code is the reason
	AnswerStarted                         // the caller has the first part of the answer
	AnswerCompleted                       // the answer is complete
	ConnectionClosed                      // the end of the answer is marked only by the closed connection: it may be truncated
	AttemptFailed                         // the endpoint failed, or the answer was truncated
	CallerGone                            // the caller closed its connection or stopped reading the answer
	TimedOut                              // the request's timeout has passed
	RouterStopping                        // the router shuts down and does not wait any longer
)

// Event is an input of the state machine: something that happened to a request.
type Event struct {
	Kind  EventKind
	Code  Code          // of Refused and Rejected; of AttemptFailed if another endpoint would not succeed either
	Retry time.Duration // delay after which the caller may retry, 0 if unknown
}

// Step is the host's next step.
type Step uint8

// The steps of the host. The zero value requires nothing new.
const (
	Continue     Step = iota
	Enrol             // wait for a slot
	Claim             // claim the idempotency key
	Send              // connect to the endpoint and send the request
	Relay             // read the answer and pass it on to the caller
	Detach            // as Relay, but the caller is gone: the answer is only recorded
	Complete          // end: the caller has the complete answer
	Replay            // answer with the recorded answer
	RespondError      // answer with Code and Outcome
	Abort             // abort the caller's connection, so that a partial answer does not pass for a complete one
	EndSilently       // end: the caller is gone, so nothing is sent
)

// Settlement is what the host does with the claim of an idempotency key.
type Settlement uint8

// The settlements of a claim. The zero value leaves it unchanged.
const (
	KeepClaim    Settlement = iota
	FreeClaim               // release the claim: the request did not run, and the key may be claimed again
	RecordAnswer            // record the answer and replay it to requests with the same key
)

// Action tells the host what to do: release the slot with the ending Slot unless it is
// 0, settle the claim, and take the step. Outcome, Code and Retry are set when the
// request ends.
type Action struct {
	Step    Step
	Slot    scheduler.Ending
	Claim   Settlement
	Outcome Outcome
	Code    Code
	Retry   time.Duration
}

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// Code is the reason why a request was not answered, as in docs/INTERFACES.md.
type Code string

// The codes that a caller may receive.
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
	CodeCallerGone     Code = "caller_gone" // sent to no caller; only for counters and explanations
)
