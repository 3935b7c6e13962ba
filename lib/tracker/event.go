package tracker

import (
	"time"

	"shallotkeel.example/lib/scheduler"
)

// EventKind says what happened to a request.
type EventKind uint8

// What can happen to a request.
const (
	Admitted      EventKind = iota + 1 // it is well-formed, allowed, and there is room for it to wait
	Refused                            // it is refused for Code before it has a slot
	SlotGranted                        // it has a slot at an endpoint
	ClaimGranted                       // its idempotency key is its own now
	ClaimSpent                         // the key was claimed before and its outcome is not recorded
	ClaimRecorded                      // the key was claimed before and its answer is known
	ClaimMismatch                      // the key belongs to another request
	ClaimFull                          // the workspace has too many live claims
	ClaimLost                          // no quorum answered: the claim may or may not have been granted
	Connected                          // a connection to the endpoint was made, and bytes leave now
	Unreachable                        // no connection was made
	NotStarted                         // the endpoint said that it did not start the request
	Rejected                           // the endpoint said so too, and that no endpoint will: Code says why
	Began                              // the caller has the first part of the answer
	Whole                              // the answer is whole
	Closed                             // the answer ended with its connection: nobody knows whether it is whole
	Broken                             // the endpoint failed or the answer was cut
	CallerLost                         // the caller went away or takes no more of the answer
	TimedOut                           // the request's time is over
	Stopped                            // the router stops and waits no longer
)

// Event is something that happened to a request.
type Event struct {
	Kind  EventKind
	Code  Code          // of Refused and Rejected; of Broken where no other endpoint would do better
	Retry time.Duration // when to come back, where the event knows it
}

// Step is what the host does next.
type Step uint8

// The steps that a host takes. The zero value is to go on as before.
const (
	Ignore   Step = iota
	Enrol         // wait for a slot
	Claim         // claim the idempotency key
	Send          // connect to the endpoint and send the request
	Relay         // read the answer and hand it on
	Detach        // as Relay, but there is nobody to hand it to: only the record is completed
	Complete      // the caller has the whole answer
	Replay        // answer with the recorded answer
	Tell          // answer with Code and Outcome
	Abort         // cut the caller's connection, so that a part is not taken for the whole
	Vanish        // there is nobody to tell
)

// Settlement is what becomes of a claim.
type Settlement uint8

// What becomes of a claim. The zero value leaves it as it is.
const (
	Keep         Settlement = iota
	Free                    // the request did not run: the key may be claimed again
	RecordAnswer            // the answer is kept for resends
)

// Action is what the host does: it gives the slot back if Slot is set, settles
// the claim, and takes the step.
type Action struct {
	Step    Step
	Slot    scheduler.Ending
	Claim   Settlement
	Outcome Outcome
	Code    Code
	Retry   time.Duration
}

// Outcome is the ending that a caller is told.
type Outcome string

// The three endings.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
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
	CodeCallerGone     Code = "caller_gone" // told to nobody, for counters and explanations
)
