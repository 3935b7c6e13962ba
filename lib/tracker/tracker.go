// Package tracker decides what happens to one request, from its arrival to its
// one final answer.
//
// A Tracker is a pure state machine: the host applies what happened and carries
// out the returned action, which leads to the next event. It has no goroutine,
// socket or clock of its own.
//
// Invariants:
//   - every request ends once, as answered, not run or unknown, and whatever
//     happens after its end is ignored;
//   - "not run" is said only if no byte of the request reached an endpoint, or
//     each endpoint that it reached said that it did not start;
//   - a request that may not repeat is sent only under a claim, and once a
//     connection to an endpoint was made it is sent again only if that endpoint
//     said that it did not start;
//   - an answer of which the caller has a part is continued exactly where it
//     stopped, or aborted, and never started again or ended cleanly.
package tracker

import (
	"time"

	"shallotkeel.example/lib/scheduler"
)

// State is how far a request has come.
type State uint8

// The states of a request. The zero value is where it starts.
const (
	Received  State = iota
	Queued          // it waits for a slot
	Granted         // it has a slot; no byte has left
	Claimed         // it has a slot and its idempotency key is claimed; no byte has left
	Sent            // a connection was made: the endpoint may have started it
	Answering       // as Sent, and the caller has a part of the answer
	Done
)

// retrySoon is when to come back after a fault that is likely to pass at once.
const retrySoon = time.Second

// Nature is what is known of a request when it arrives.
type Nature struct {
	// Repeatable says that running it twice does no harm.
	Repeatable bool
	// Replayable says that its body is kept and can be sent again.
	Replayable bool
	// Resumable says that its answer can be continued at another endpoint.
	Resumable bool
	// Attempts is how many endpoints it is sent to at most; 0 means 1.
	Attempts int
}

// Budget limits the retries of a workspace.
type Budget interface {
	// Withdraw takes one retry out of the budget, or tells that it is empty.
	Withdraw(now time.Time) bool
}

// Tracker is one request.
type Tracker struct {
	nature   Nature
	budget   Budget
	state    State
	attempts int
	claimed  bool // the claim is this request's, or may be
	ran      bool // an earlier endpoint may have started it
	begun    bool // the caller has a part of the answer
	detached bool // the caller has gone, the answer is awaited for the record
}

// New returns the tracker of a request that has been received.
func New(nature Nature, budget Budget) *Tracker {
	return &Tracker{nature: nature, budget: budget}
}

// State returns how far the request has come.
func (t *Tracker) State() State {
	return t.state
}

// Attempts returns how many slots the request has been granted.
func (t *Tracker) Attempts() int {
	return t.attempts
}

// Apply takes what happened and returns what to do. An event that cannot
// happen in the present state, such as one that comes late, changes nothing.
func (t *Tracker) Apply(now time.Time, event Event) Action {
	if t.state == Done {
		return Action{}
	}
	switch event.Kind {
	case TimedOut:
		return t.giveUp(CodeTimedOut, event.Retry)
	case Stopped:
		return t.giveUp(CodeStopping, event.Retry)
	case CallerLost:
		return t.callerLost()
	}
	switch t.state {
	case Received, Queued:
		return t.waiting(event)
	case Granted:
		if t.nature.Repeatable {
			return t.dialing(now, event)
		}
		return t.claiming(event)
	case Claimed:
		return t.dialing(now, event)
	default:
		return t.running(now, event)
	}
}

func (t *Tracker) waiting(event Event) Action {
	switch {
	case event.Kind == Admitted && t.state == Received:
		t.state = Queued
		return Action{Step: Enrol}
	case event.Kind == Refused:
		return t.end(event.Code, event.Retry, 0)
	case event.Kind == SlotGranted && t.state == Queued:
		return t.granted()
	default:
		return Action{}
	}
}

func (t *Tracker) granted() Action {
	t.attempts++
	t.state = Granted
	switch {
	case t.nature.Repeatable:
		return Action{Step: Send}
	case t.claimed:
		t.state = Claimed
		return Action{Step: Send}
	default:
		return Action{Step: Claim}
	}
}

// claiming handles the answer to a claim. The slot goes back unused unless the
// claim was granted.
func (t *Tracker) claiming(event Event) Action {
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
			Step: Tell, Slot: scheduler.Declined, Outcome: OutcomeUnknown, Code: CodeKeySpent, Retry: event.Retry,
		}
	case ClaimMismatch:
		return t.end(CodeKeyReused, 0, scheduler.Declined)
	case ClaimFull:
		return t.end(CodeQueueFull, event.Retry, scheduler.Declined)
	case ClaimLost:
		// The keepers may have granted the claim without our hearing of it. It is
		// given back, or a resend would be told "unknown" of a request that never ran.
		t.claimed = true
		return t.end(CodeNoQuorum, event.Retry, scheduler.Declined)
	default:
		return Action{}
	}
}

func (t *Tracker) dialing(now time.Time, event Event) Action {
	switch event.Kind {
	case Connected:
		t.state = Sent
		return Action{Step: Relay}
	case Unreachable:
		// No byte was read from the body, so that it need not be kept.
		return t.again(now, scheduler.Unreachable, CodeNoEndpoint)
	default:
		return Action{}
	}
}

func (t *Tracker) running(now time.Time, event Event) Action {
	switch event.Kind {
	case Began:
		t.state = Answering
		t.begun = true
		return Action{Step: Relay}
	case Whole:
		return t.whole(OutcomeAnswered, "")
	case Closed:
		return t.whole(OutcomeUnknown, CodeEndpointFailed)
	case Broken:
		return t.broken(now, event.Code)
	}
	if t.state != Sent {
		return Action{}
	}
	switch event.Kind {
	case NotStarted:
		t.state = Claimed // as if the connection had not been made
		if !t.nature.Replayable {
			return t.end(CodeNoEndpoint, retrySoon, scheduler.Refused)
		}
		return t.again(now, scheduler.Refused, CodeNoEndpoint)
	case Rejected:
		t.state = Claimed
		return t.end(event.Code, 0, scheduler.Refused)
	default:
		return Action{}
	}
}

func (t *Tracker) whole(outcome Outcome, code Code) Action {
	action := Action{Step: Complete, Slot: scheduler.Done, Outcome: outcome, Code: code}
	if t.detached {
		action.Step = Vanish
	}
	if t.claimed {
		action.Claim = RecordAnswer
	}
	t.state = Done
	return action
}

func (t *Tracker) broken(now time.Time, final Code) Action {
	resumable := t.nature.Resumable || !t.begun
	if t.nature.Repeatable && t.nature.Replayable && resumable && final == "" {
		t.ran = true
		return t.again(now, scheduler.Failed, CodeEndpointFailed)
	}
	return t.end(CodeEndpointFailed, 0, scheduler.Failed)
}

// again sends the request to another endpoint, unless it has had its attempts
// or its workspace has used up its budget: retries without a limit multiply an
// outage.
func (t *Tracker) again(now time.Time, slot scheduler.Ending, otherwise Code) Action {
	if t.detached || t.attempts >= t.nature.Attempts || !t.budget.Withdraw(now) {
		return t.end(otherwise, retrySoon, slot)
	}
	t.state = Queued
	return Action{Step: Enrol, Slot: slot}
}

// giveUp ends a request whose time is over, or whose router stops.
func (t *Tracker) giveUp(code Code, retry time.Duration) Action {
	if t.claimPending() {
		t.claimed = true
	}
	if t.holdsSlot() {
		return t.end(code, retry, scheduler.Cancelled)
	}
	return t.end(code, retry, 0)
}

// claimPending tells whether a claim is on its way whose answer will not be awaited.
func (t *Tracker) claimPending() bool {
	return t.state == Granted && !t.nature.Repeatable
}

func (t *Tracker) holdsSlot() bool {
	return t.state != Received && t.state != Queued
}

// mayHaveRun tells whether any endpoint may have started the request.
func (t *Tracker) mayHaveRun() bool {
	return t.ran || t.state == Sent || t.state == Answering
}

// callerLost cancels the work at the endpoint, unless it may not repeat and may
// have started: then its answer is awaited for the record, so that the caller
// that sends it again hears what became of it.
func (t *Tracker) callerLost() Action {
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

// end is the final answer of a request that is not answered.
func (t *Tracker) end(code Code, retry time.Duration, slot scheduler.Ending) Action {
	action := Action{Step: Tell, Slot: slot, Outcome: OutcomeNotRun, Code: code, Retry: retry}
	if t.mayHaveRun() {
		action.Outcome = OutcomeUnknown
		action.Code = afterRunning(code)
	} else if t.claimed {
		action.Claim = Free
	}
	switch {
	case t.detached:
		action.Step = Vanish
	case t.begun:
		action.Step = Abort
	}
	t.state = Done
	return action
}

// afterRunning is the code for a request that may have run: reasons that would
// refuse a request say nothing true about one that was sent already.
func afterRunning(code Code) Code {
	switch code {
	case CodeTimedOut, CodeStopping, CodeCallerGone:
		return code
	default:
		return CodeEndpointFailed
	}
}
