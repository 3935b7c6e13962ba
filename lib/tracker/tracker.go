// Package tracker decides the steps of one request, from its arrival to its single
// final answer.
//
// A Tracker is a pure state machine: the host applies events and carries out the
// returned actions, which lead to the next events. It has no goroutine, socket or
// clock of its own.
//
// Invariants:
//   - every request ends once, as answered, not run or unknown, and events after
//     its end are ignored;
//   - the outcome is "not run" only if no byte of the request reached an endpoint, or
//     every endpoint that it reached reported that it did not start the request;
//   - a request that is not repeatable is sent only under a claim, and once a
//     connection to an endpoint was made it is sent again only if that endpoint
//     reported that it did not start the request;
//   - a partially delivered answer is continued exactly where it stopped, or aborted,
//     and never restarted or ended cleanly.
package tracker

import (
	"time"

	"shallotkeel.example/lib/scheduler"
)

// State is the progress of a request.
type State uint8

// The states of a request. The zero value is the initial state.
const (
	Received  State = iota
	Queued          // waiting for a slot
	Granted         // holding a slot; no byte was sent
	Claimed         // as Granted, and its idempotency key is claimed
	Sent            // a connection was made: the endpoint may have started it
	Answering       // as Sent, and the caller has received a part of the answer
	Done
)

// shortRetryAfter is the retry delay reported after a fault that is likely to be brief.
const shortRetryAfter = time.Second

// Traits are the properties of a request that are known when it arrives.
type Traits struct {
	// Repeatable means that the request may run twice without harm.
	Repeatable bool
	// Replayable means that the body is kept and can be sent again.
	Replayable bool
	// Resumable means that another endpoint can continue a partial answer.
	Resumable bool
	// Attempts is the largest number of endpoints that the request is sent to; 0
	// means 1.
	Attempts int
}

// Budget limits the retries of a workspace.
type Budget interface {
	// Withdraw takes one retry out of the budget. It returns false if the budget is
	// empty.
	Withdraw(now time.Time) bool
}

// Tracker is the state machine of one request.
type Tracker struct {
	traits         Traits
	budget         Budget
	state          State
	attempts       int  // slots granted so far
	claimed        bool // the claim belongs, or may belong, to this request
	mayHaveStarted bool // an endpoint of an earlier attempt may have started the request
	answerStarted  bool // the caller has received a part of the answer
	detached       bool // the caller is gone; the answer of a claimed request is still awaited for the record
}

// New returns the tracker of a newly received request.
func New(traits Traits, budget Budget) *Tracker {
	return &Tracker{traits: traits, budget: budget}
}

// State returns the state of the request.
func (t *Tracker) State() State {
	return t.state
}

// Attempts returns the number of slots that the request was granted so far.
func (t *Tracker) Attempts() int {
	return t.attempts
}

// MayRetry reports whether another attempt may follow if the current one fails, as long as the retry
// budget is not empty.
func (t *Tracker) MayRetry() bool {
	resumable := t.traits.Resumable || !t.answerStarted
	return t.traits.Repeatable && t.traits.Replayable && resumable && !t.detached && t.attempts < t.traits.Attempts
}

// Apply applies an event and returns the action for the host. An event that is not
// possible in the current state, such as a late one, has no effect.
func (t *Tracker) Apply(now time.Time, event Event) Action {
	if t.state == Done {
		return Action{}
	}
	switch event.Kind {
	case TimedOut:
		return t.giveUp(CodeTimedOut, event.Retry)
	case RouterStopping:
		return t.giveUp(CodeStopping, event.Retry)
	case CallerGone:
		return t.callerGone()
	}
	switch t.state {
	case Received, Queued:
		return t.applyWaiting(event)
	case Granted:
		if t.traits.Repeatable {
			return t.applyDialing(now, event)
		}
		return t.applyClaiming(event)
	case Claimed:
		return t.applyDialing(now, event)
	default:
		return t.applyRunning(now, event)
	}
}

// applyWaiting handles an event in the states Received and Queued.
func (t *Tracker) applyWaiting(event Event) Action {
	switch {
	case event.Kind == Admitted && t.state == Received:
		t.state = Queued
		return Action{Step: Enrol}
	case event.Kind == Refused:
		return t.end(event.Code, event.Retry, 0)
	case event.Kind == SlotGranted && t.state == Queued:
		return t.slotGranted()
	default:
		return Action{}
	}
}

// slotGranted starts the next attempt. A request that is not repeatable has to claim
// its idempotency key first, unless an earlier attempt did.
func (t *Tracker) slotGranted() Action {
	t.attempts++
	t.state = Granted
	switch {
	case t.traits.Repeatable:
		return Action{Step: Send}
	case t.claimed:
		t.state = Claimed
		return Action{Step: Send}
	default:
		return Action{Step: Claim}
	}
}

// applyClaiming handles the answer to a claim. The slot is released unused unless the
// claim was granted.
func (t *Tracker) applyClaiming(event Event) Action {
	switch event.Kind {
	case ClaimGranted:
		t.claimed = true
		t.state = Claimed
		return Action{Step: Send}
	case ClaimRecorded:
		t.state = Done
		return Action{Step: Replay, Slot: scheduler.Declined, Outcome: OutcomeAnswered}
	case ClaimSpent:
		t.state = Done
		return Action{
			Step: RespondError, Slot: scheduler.Declined, Outcome: OutcomeUnknown, Code: CodeKeySpent, Retry: event.Retry,
		}
	case ClaimMismatch:
		return t.end(CodeKeyReused, 0, scheduler.Declined)
	case ClaimFull:
		return t.end(CodeQueueFull, event.Retry, scheduler.Declined)
	case ClaimUnanswered:
		// The keepers may have granted the claim although their answer was lost. The
		// claim is released, or else a resend would get the outcome "unknown" for a
		// request that never ran.
		t.claimed = true
		return t.end(CodeNoQuorum, event.Retry, scheduler.Declined)
	default:
		return Action{}
	}
}

// applyDialing handles the result of connecting to the endpoint.
func (t *Tracker) applyDialing(now time.Time, event Event) Action {
	switch event.Kind {
	case Connected:
		t.state = Sent
		return Action{Step: Relay}
	case Unreachable:
		// No byte of the body was read, so a retry does not need a kept body.
		return t.retry(now, scheduler.Unreachable, CodeNoEndpoint)
	default:
		return Action{}
	}
}

// applyRunning handles an event in the states Sent and Answering.
func (t *Tracker) applyRunning(now time.Time, event Event) Action {
	switch event.Kind {
	case AnswerStarted:
		t.state = Answering
		t.answerStarted = true
		return Action{Step: Relay}
	case AnswerCompleted:
		return t.completed(OutcomeAnswered, "")
	case ConnectionClosed:
		return t.completed(OutcomeUnknown, CodeEndpointFailed)
	case AttemptFailed:
		return t.attemptFailed(now, event.Code)
	}
	if t.state != Sent {
		return Action{}
	}
	switch event.Kind {
	case NotStarted:
		t.state = Claimed // as before the connection was made
		if !t.traits.Replayable {
			return t.end(CodeNoEndpoint, shortRetryAfter, scheduler.Refused)
		}
		return t.retry(now, scheduler.Refused, CodeNoEndpoint)
	case Rejected:
		t.state = Claimed
		return t.end(event.Code, 0, scheduler.Refused)
	default:
		return Action{}
	}
}

// completed ends a request whose caller has the answer, unless it is detached. The
// answer of a claimed request is recorded.
func (t *Tracker) completed(outcome Outcome, code Code) Action {
	action := Action{Step: Complete, Slot: scheduler.Done, Outcome: outcome, Code: code}
	if t.detached {
		action.Step = EndSilently
	}
	if t.claimed {
		action.Claim = RecordAnswer
	}
	t.state = Done
	return action
}

// attemptFailed retries a failed attempt if the request may run twice and its answer
// has not started or can be resumed. A code in final rules a retry out.
func (t *Tracker) attemptFailed(now time.Time, final Code) Action {
	resumable := t.traits.Resumable || !t.answerStarted
	if t.traits.Repeatable && t.traits.Replayable && resumable && final == "" {
		t.mayHaveStarted = true
		return t.retry(now, scheduler.Failed, CodeEndpointFailed)
	}
	return t.end(CodeEndpointFailed, 0, scheduler.Failed)
}

// retry queues the request for another endpoint. It ends the request with the code
// otherwise if the caller is gone, the attempts are used up, or the workspace's retry
// budget is empty: unlimited retries amplify an outage.
func (t *Tracker) retry(now time.Time, slot scheduler.Ending, otherwise Code) Action {
	if t.detached || t.attempts >= t.traits.Attempts || !t.budget.Withdraw(now) {
		return t.end(otherwise, shortRetryAfter, slot)
	}
	t.state = Queued
	return Action{Step: Enrol, Slot: slot}
}

// giveUp ends a request on a timeout, on the router's shutdown, or when its caller is
// gone.
func (t *Tracker) giveUp(code Code, retry time.Duration) Action {
	if t.claimPending() {
		t.claimed = true
	}
	if t.holdsSlot() {
		return t.end(code, retry, scheduler.Cancelled)
	}
	return t.end(code, retry, 0)
}

// claimPending reports whether a claim was sent and is not answered yet.
func (t *Tracker) claimPending() bool {
	return t.state == Granted && !t.traits.Repeatable
}

// holdsSlot reports whether the request has a slot to release.
func (t *Tracker) holdsSlot() bool {
	return t.state != Received && t.state != Queued
}

// MayHaveRun reports whether any endpoint may have started the request.
func (t *Tracker) MayHaveRun() bool {
	return t.mayHaveStarted || t.state == Sent || t.state == Answering
}

// callerGone cancels the request. A claimed request that may have started is not
// cancelled: its answer is awaited and recorded, so that a resend with the same key
// gets the result.
func (t *Tracker) callerGone() Action {
	if t.claimed && (t.state == Sent || t.state == Answering) {
		if t.detached {
			return Action{}
		}
		t.detached = true
		return Action{Step: Detach}
	}
	t.detached = true
	return t.giveUp(CodeCallerGone, 0)
}

// end ends a request without an answer from an endpoint, and returns the action that
// reports this to the caller.
func (t *Tracker) end(code Code, retry time.Duration, slot scheduler.Ending) Action {
	action := Action{Step: RespondError, Slot: slot, Outcome: OutcomeNotRun, Code: code, Retry: retry}
	if t.MayHaveRun() {
		action.Outcome = OutcomeUnknown
		action.Code = codeAfterStart(code)
	} else if t.claimed {
		action.Claim = FreeClaim
	}
	switch {
	case t.detached:
		action.Step = EndSilently
	case t.answerStarted:
		action.Step = Abort
	}
	t.state = Done
	return action
}

// codeAfterStart returns the code for a request that may have run. Codes that mean a
// refusal would be wrong for a request that was already sent.
func codeAfterStart(code Code) Code {
	switch code {
	case CodeTimedOut, CodeStopping, CodeCallerGone:
		return code
	default:
		return CodeEndpointFailed
	}
}
