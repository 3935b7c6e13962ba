package tracker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/lib/tracker"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// retryBudget is a budget with a fixed number of retries.
type retryBudget int

func (r *retryBudget) Withdraw(time.Time) bool {
	*r--
	return *r >= 0
}

var (
	chat   = tracker.Traits{Repeatable: true, Replayable: true, Resumable: true, Attempts: 4}
	get    = tracker.Traits{Repeatable: true, Replayable: true, Attempts: 4}
	upload = tracker.Traits{Repeatable: true, Attempts: 4}
	bid    = tracker.Traits{Replayable: true, Attempts: 4}
)

// followedBy returns a new sequence: before, followed by next.
func followedBy(before []tracker.EventKind, next ...tracker.EventKind) []tracker.EventKind {
	return slices.Concat(before, next)
}

// allEvents returns all kinds of events.
func allEvents() []tracker.EventKind {
	var kinds []tracker.EventKind
	for kind := tracker.Admitted; kind <= tracker.RouterStopping; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// want is the expected effect of an event. The zero value is no effect, as for every
// event that a test case does not list.
type want struct {
	step    tracker.Step
	state   tracker.State
	slot    scheduler.Ending
	claim   tracker.Settlement
	outcome tracker.Outcome
	code    tracker.Code
}

func notRun(code tracker.Code) want {
	return want{step: tracker.RespondError, state: tracker.Done, outcome: tracker.OutcomeNotRun, code: code}
}

func unknown(code tracker.Code) want {
	return want{step: tracker.RespondError, state: tracker.Done, outcome: tracker.OutcomeUnknown, code: code}
}

func (w want) withSlot(ending scheduler.Ending) want {
	w.slot = ending
	return w
}

func (w want) withClaim(claim tracker.Settlement) want {
	w.claim = claim
	return w
}

func (w want) withStep(step tracker.Step) want {
	w.step = step
	return w
}

// Applies every event in every state and compares the action and the next state with
// a table.
func TestEveryEventInEveryState(t *testing.T) {
	queued := []tracker.EventKind{tracker.Admitted}
	granted := followedBy(queued, tracker.SlotGranted)
	claimed := followedBy(granted, tracker.ClaimGranted)
	sent := followedBy(granted, tracker.Connected)
	claimedSent := followedBy(claimed, tracker.Connected)
	answering := followedBy(sent, tracker.AnswerStarted)
	claimedAnswering := followedBy(claimedSent, tracker.AnswerStarted)
	again := want{step: tracker.Enrol, state: tracker.Queued}
	for name, test := range map[string]struct {
		traits tracker.Traits
		before []tracker.EventKind
		wants  map[tracker.EventKind]want
	}{
		"received": {chat, nil, map[tracker.EventKind]want{
			tracker.Admitted:       {step: tracker.Enrol, state: tracker.Queued},
			tracker.Refused:        notRun(tracker.CodeQueueFull),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut),
			tracker.RouterStopping: notRun(tracker.CodeStopping),
		}},
		"queued": {chat, queued, map[tracker.EventKind]want{
			tracker.SlotGranted:    {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:        notRun(tracker.CodeQueueFull),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut),
			tracker.RouterStopping: notRun(tracker.CodeStopping),
		}},
		"queued, not repeatable": {bid, queued, map[tracker.EventKind]want{
			tracker.SlotGranted:    {step: tracker.Claim, state: tracker.Granted},
			tracker.Refused:        notRun(tracker.CodeQueueFull),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut),
			tracker.RouterStopping: notRun(tracker.CodeStopping),
		}},
		"queued again after a failed attempt": {chat, followedBy(sent, tracker.AttemptFailed), map[tracker.EventKind]want{
			tracker.SlotGranted:    {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:        unknown(tracker.CodeEndpointFailed),
			tracker.CallerGone:     unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently),
			tracker.TimedOut:       unknown(tracker.CodeTimedOut),
			tracker.RouterStopping: unknown(tracker.CodeStopping),
		}},
		"queued again mid-stream": {chat, followedBy(answering, tracker.AttemptFailed), map[tracker.EventKind]want{
			tracker.SlotGranted:    {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:        unknown(tracker.CodeEndpointFailed).withStep(tracker.Abort),
			tracker.CallerGone:     unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently),
			tracker.TimedOut:       unknown(tracker.CodeTimedOut).withStep(tracker.Abort),
			tracker.RouterStopping: unknown(tracker.CodeStopping).withStep(tracker.Abort),
		}},
		"queued again, claimed": {bid, followedBy(claimedSent, tracker.NotStarted), map[tracker.EventKind]want{
			tracker.SlotGranted:    {step: tracker.Send, state: tracker.Claimed},
			tracker.Refused:        notRun(tracker.CodeQueueFull).withClaim(tracker.FreeClaim),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently).withClaim(tracker.FreeClaim),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut).withClaim(tracker.FreeClaim),
			tracker.RouterStopping: notRun(tracker.CodeStopping).withClaim(tracker.FreeClaim),
		}},
		"granted": {chat, granted, map[tracker.EventKind]want{
			tracker.Connected:      {step: tracker.Relay, state: tracker.Sent},
			tracker.Unreachable:    again.withSlot(scheduler.Unreachable),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut).withSlot(scheduler.Cancelled),
			tracker.RouterStopping: notRun(tracker.CodeStopping).withSlot(scheduler.Cancelled),
		}},
		"granted, not repeatable": {bid, granted, map[tracker.EventKind]want{
			tracker.ClaimGranted:    {step: tracker.Send, state: tracker.Claimed},
			tracker.ClaimSpent:      unknown(tracker.CodeKeySpent).withSlot(scheduler.Declined),
			tracker.ClaimRecorded:   {step: tracker.Replay, state: tracker.Done, slot: scheduler.Declined, outcome: tracker.OutcomeAnswered},
			tracker.ClaimMismatch:   notRun(tracker.CodeKeyReused).withSlot(scheduler.Declined),
			tracker.ClaimFull:       notRun(tracker.CodeQueueFull).withSlot(scheduler.Declined),
			tracker.ClaimUnanswered: notRun(tracker.CodeNoQuorum).withSlot(scheduler.Declined).withClaim(tracker.FreeClaim),
			tracker.CallerGone:      notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
			tracker.TimedOut:        notRun(tracker.CodeTimedOut).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
			tracker.RouterStopping:  notRun(tracker.CodeStopping).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
		}},
		"claimed": {bid, claimed, map[tracker.EventKind]want{
			tracker.Connected:      {step: tracker.Relay, state: tracker.Sent},
			tracker.Unreachable:    again.withSlot(scheduler.Unreachable),
			tracker.CallerGone:     notRun(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
			tracker.TimedOut:       notRun(tracker.CodeTimedOut).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
			tracker.RouterStopping: notRun(tracker.CodeStopping).withSlot(scheduler.Cancelled).withClaim(tracker.FreeClaim),
		}},
		"sent": {get, sent, map[tracker.EventKind]want{
			tracker.AnswerStarted:   {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.AttemptFailed:   again.withSlot(scheduler.Failed),
			tracker.NotStarted:      again.withSlot(scheduler.Refused),
			tracker.Rejected:        notRun(tracker.CodeBadBody).withSlot(scheduler.Refused),
			tracker.CallerGone:      unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.TimedOut:        unknown(tracker.CodeTimedOut).withSlot(scheduler.Cancelled),
			tracker.RouterStopping:  unknown(tracker.CodeStopping).withSlot(scheduler.Cancelled),
		}},
		"sent, body not kept": {upload, sent, map[tracker.EventKind]want{
			tracker.AnswerStarted:   {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.AttemptFailed:   unknown(tracker.CodeEndpointFailed).withSlot(scheduler.Failed),
			tracker.NotStarted:      notRun(tracker.CodeNoEndpoint).withSlot(scheduler.Refused),
			tracker.Rejected:        notRun(tracker.CodeBadBody).withSlot(scheduler.Refused),
			tracker.CallerGone:      unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.TimedOut:        unknown(tracker.CodeTimedOut).withSlot(scheduler.Cancelled),
			tracker.RouterStopping:  unknown(tracker.CodeStopping).withSlot(scheduler.Cancelled),
		}},
		"sent, not repeatable": {bid, claimedSent, map[tracker.EventKind]want{
			tracker.AnswerStarted: {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {
				step: tracker.Complete, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.AttemptFailed:  unknown(tracker.CodeEndpointFailed).withSlot(scheduler.Failed),
			tracker.NotStarted:     again.withSlot(scheduler.Refused),
			tracker.Rejected:       notRun(tracker.CodeBadBody).withSlot(scheduler.Refused).withClaim(tracker.FreeClaim),
			tracker.CallerGone:     {step: tracker.Detach, state: tracker.Sent},
			tracker.TimedOut:       unknown(tracker.CodeTimedOut).withSlot(scheduler.Cancelled),
			tracker.RouterStopping: unknown(tracker.CodeStopping).withSlot(scheduler.Cancelled),
		}},
		"sent, not repeatable, caller gone": {bid, followedBy(claimedSent, tracker.CallerGone), map[tracker.EventKind]want{
			tracker.AnswerStarted: {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {
				step: tracker.EndSilently, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.AttemptFailed:  unknown(tracker.CodeEndpointFailed).withStep(tracker.EndSilently).withSlot(scheduler.Failed),
			tracker.NotStarted:     notRun(tracker.CodeNoEndpoint).withStep(tracker.EndSilently).withSlot(scheduler.Refused).withClaim(tracker.FreeClaim),
			tracker.Rejected:       notRun(tracker.CodeBadBody).withStep(tracker.EndSilently).withSlot(scheduler.Refused).withClaim(tracker.FreeClaim),
			tracker.TimedOut:       unknown(tracker.CodeTimedOut).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.RouterStopping: unknown(tracker.CodeStopping).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
		}},
		"answering, resumable": {chat, answering, map[tracker.EventKind]want{
			tracker.AnswerStarted:   {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.AttemptFailed:   again.withSlot(scheduler.Failed),
			tracker.CallerGone:      unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.TimedOut:        unknown(tracker.CodeTimedOut).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
			tracker.RouterStopping:  unknown(tracker.CodeStopping).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
		}},
		"answering, not resumable": {get, answering, map[tracker.EventKind]want{
			tracker.AnswerStarted:   {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.AttemptFailed:   unknown(tracker.CodeEndpointFailed).withStep(tracker.Abort).withSlot(scheduler.Failed),
			tracker.CallerGone:      unknown(tracker.CodeCallerGone).withStep(tracker.EndSilently).withSlot(scheduler.Cancelled),
			tracker.TimedOut:        unknown(tracker.CodeTimedOut).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
			tracker.RouterStopping:  unknown(tracker.CodeStopping).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
		}},
		"answering, not repeatable": {bid, claimedAnswering, map[tracker.EventKind]want{
			tracker.AnswerStarted: {step: tracker.Relay, state: tracker.Answering},
			tracker.AnswerCompleted: {
				step: tracker.Complete, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.AttemptFailed:  unknown(tracker.CodeEndpointFailed).withStep(tracker.Abort).withSlot(scheduler.Failed),
			tracker.CallerGone:     {step: tracker.Detach, state: tracker.Answering},
			tracker.TimedOut:       unknown(tracker.CodeTimedOut).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
			tracker.RouterStopping: unknown(tracker.CodeStopping).withStep(tracker.Abort).withSlot(scheduler.Cancelled),
		}},
		"done": {chat, followedBy(answering, tracker.AnswerCompleted), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if closed, found := test.wants[tracker.AnswerCompleted]; found {
				// ConnectionClosed has the effect of AnswerCompleted, with another outcome
				// and code.
				closed.outcome, closed.code = tracker.OutcomeUnknown, tracker.CodeEndpointFailed
				test.wants[tracker.ConnectionClosed] = closed
			}
			for _, kind := range allEvents() {
				budget := retryBudget(10)
				machine := tracker.New(test.traits, &budget)
				for _, before := range test.before {
					machine.Apply(testStart, tracker.Event{Kind: before})
				}
				expected, handled := test.wants[kind]
				if !handled {
					expected.state = machine.State()
				}
				event := tracker.Event{Kind: kind, Code: tracker.CodeQueueFull}
				switch kind {
				case tracker.Rejected:
					event.Code = tracker.CodeBadBody
				case tracker.AttemptFailed:
					event.Code = ""
				}
				action := machine.Apply(testStart, event)
				got := want{action.Step, machine.State(), action.Slot, action.Claim, action.Outcome, action.Code}
				require.Equal(t, expected, got, "event %d", kind)
			}
		})
	}
}

// Guards against a request that is sent more often than its attempts, its workspace's
// budget or the kind of failure allow.
func TestRetriesAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		traits  tracker.Traits
		budget  retryBudget
		failure tracker.EventKind
		final   tracker.Code
		sends   int
		outcome tracker.Outcome
	}{
		"attempts used up, unreachable": {chat, 10, tracker.Unreachable, "", 4, tracker.OutcomeNotRun},
		"attempts used up, failed":      {chat, 10, tracker.AttemptFailed, "", 4, tracker.OutcomeUnknown},
		"budget empty":                  {chat, 1, tracker.AttemptFailed, "", 2, tracker.OutcomeUnknown},
		"no budget":                     {chat, 0, tracker.Unreachable, "", 1, tracker.OutcomeNotRun},
		"bid failed":                    {bid, 10, tracker.AttemptFailed, "", 1, tracker.OutcomeUnknown},
		"bid not started":               {bid, 10, tracker.NotStarted, "", 4, tracker.OutcomeNotRun},
		"no endpoint would succeed":     {chat, 10, tracker.AttemptFailed, tracker.CodeEndpointFailed, 1, tracker.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			machine := tracker.New(test.traits, &test.budget)
			sends := 0
			action := machine.Apply(testStart, tracker.Event{Kind: tracker.Admitted})
			for action.Step == tracker.Enrol {
				action = machine.Apply(testStart, tracker.Event{Kind: tracker.SlotGranted})
				if action.Step == tracker.Claim {
					action = machine.Apply(testStart, tracker.Event{Kind: tracker.ClaimGranted})
				}
				require.Equal(t, tracker.Send, action.Step)
				sends++
				if test.failure != tracker.Unreachable {
					machine.Apply(testStart, tracker.Event{Kind: tracker.Connected})
				}
				action = machine.Apply(testStart, tracker.Event{Kind: test.failure, Code: test.final})
			}
			require.Equal(t, test.sends, sends)
			require.Equal(t, test.outcome, action.Outcome)
		})
	}
}

// Applies random events in any state, and checks that the outcomes match what the
// endpoints did, that no slot is lost, and that no claim of a started request is
// released.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traits := tracker.Traits{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Replayable: rapid.Bool().Draw(t, "replayable"),
			Resumable:  rapid.Bool().Draw(t, "resumable"),
			Attempts:   rapid.IntRange(0, 3).Draw(t, "attempts"),
		}
		budget := retryBudget(rapid.IntRange(0, 3).Draw(t, "budget"))
		machine := tracker.New(traits, &budget)
		var endings, runs int
		var claimed, answerStarted, slot bool
		for _, kind := range rapid.SliceOfN(rapid.SampledFrom(allEvents()), 1, 60).Draw(t, "events") {
			before := machine.State()
			action := machine.Apply(testStart, tracker.Event{Kind: kind, Code: tracker.CodeNoEndpoint})
			if before == machine.State() && action == (tracker.Action{}) {
				continue
			}
			switch kind {
			case tracker.SlotGranted:
				require.False(t, slot, "a request has one slot at a time")
				slot = true
			case tracker.ClaimGranted:
				claimed = true
			case tracker.Connected:
				runs++
			case tracker.NotStarted, tracker.Rejected:
				runs--
			case tracker.AnswerStarted:
				answerStarted = true
			}
			if action.Slot != 0 {
				require.True(t, slot, "a slot was released twice")
				slot = false
			}
			if action.Step == tracker.Send {
				require.True(t, traits.Repeatable || claimed && runs == 0, "a request that is not repeatable was sent without a claim, or twice")
				require.True(t, !answerStarted || traits.Resumable, "an answer was restarted")
			}
			require.True(t, action.Outcome != tracker.OutcomeNotRun || runs == 0, "the outcome is not run although an endpoint may have started the request")
			require.True(t, action.Claim != tracker.FreeClaim || runs == 0, "the claim of a request that ran was released")
			if answerStarted {
				require.NotContains(t, []tracker.Step{tracker.RespondError, tracker.Replay}, action.Step, "a second answer was started")
			}
			if machine.State() == tracker.Done {
				endings++
				require.NotEmpty(t, action.Outcome)
				require.False(t, slot, "a slot was not released")
			}
		}
		require.LessOrEqual(t, endings, 1)
	})
}
