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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// retries is a budget of so many retries.
type retries int

func (r *retries) Withdraw(time.Time) bool {
	*r--
	return *r >= 0
}

var (
	chat   = tracker.Nature{Repeatable: true, Replayable: true, Resumable: true, Attempts: 4}
	get    = tracker.Nature{Repeatable: true, Replayable: true, Attempts: 4}
	upload = tracker.Nature{Repeatable: true, Attempts: 4}
	bid    = tracker.Nature{Replayable: true, Attempts: 4}
)

// then returns a longer sequence and leaves the shorter one as it is.
func then(before []tracker.EventKind, next ...tracker.EventKind) []tracker.EventKind {
	return slices.Concat(before, next)
}

// every lists all events, the last one last.
func every() []tracker.EventKind {
	var kinds []tracker.EventKind
	for kind := tracker.Admitted; kind <= tracker.Stopped; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// want is what an event does. The zero value is what every event does that is
// not named: nothing.
type want struct {
	step    tracker.Step
	state   tracker.State
	slot    scheduler.Ending
	claim   tracker.Settlement
	outcome tracker.Outcome
	code    tracker.Code
}

func notRun(code tracker.Code) want {
	return want{step: tracker.Tell, state: tracker.Done, outcome: tracker.OutcomeNotRun, code: code}
}

func unknown(code tracker.Code) want {
	return want{step: tracker.Tell, state: tracker.Done, outcome: tracker.OutcomeUnknown, code: code}
}

func (w want) slotBack(ending scheduler.Ending) want {
	w.slot = ending
	return w
}

func (w want) settled(claim tracker.Settlement) want {
	w.claim = claim
	return w
}

func (w want) by(step tracker.Step) want {
	w.step = step
	return w
}

func TestEveryEventInEveryState(t *testing.T) {
	queued := []tracker.EventKind{tracker.Admitted}
	granted := then(queued, tracker.SlotGranted)
	claimed := then(granted, tracker.ClaimGranted)
	sent := then(granted, tracker.Connected)
	claimedSent := then(claimed, tracker.Connected)
	answering := then(sent, tracker.Began)
	claimedAnswering := then(claimedSent, tracker.Began)
	again := want{step: tracker.Enrol, state: tracker.Queued}
	for name, test := range map[string]struct {
		nature tracker.Nature
		before []tracker.EventKind
		wants  map[tracker.EventKind]want
	}{
		"received": {chat, nil, map[tracker.EventKind]want{
			tracker.Admitted:   {step: tracker.Enrol, state: tracker.Queued},
			tracker.Refused:    notRun(tracker.CodeQueueFull),
			tracker.CallerLost: notRun(tracker.CodeCallerGone).by(tracker.Vanish),
			tracker.TimedOut:   notRun(tracker.CodeTimedOut),
			tracker.Stopped:    notRun(tracker.CodeStopping),
		}},
		"queued": {chat, queued, map[tracker.EventKind]want{
			tracker.SlotGranted: {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:     notRun(tracker.CodeQueueFull),
			tracker.CallerLost:  notRun(tracker.CodeCallerGone).by(tracker.Vanish),
			tracker.TimedOut:    notRun(tracker.CodeTimedOut),
			tracker.Stopped:     notRun(tracker.CodeStopping),
		}},
		"queued, not repeatable": {bid, queued, map[tracker.EventKind]want{
			tracker.SlotGranted: {step: tracker.Claim, state: tracker.Granted},
			tracker.Refused:     notRun(tracker.CodeQueueFull),
			tracker.CallerLost:  notRun(tracker.CodeCallerGone).by(tracker.Vanish),
			tracker.TimedOut:    notRun(tracker.CodeTimedOut),
			tracker.Stopped:     notRun(tracker.CodeStopping),
		}},
		"queued again after a break": {chat, then(sent, tracker.Broken), map[tracker.EventKind]want{
			tracker.SlotGranted: {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:     unknown(tracker.CodeEndpointFailed),
			tracker.CallerLost:  unknown(tracker.CodeCallerGone).by(tracker.Vanish),
			tracker.TimedOut:    unknown(tracker.CodeTimedOut),
			tracker.Stopped:     unknown(tracker.CodeStopping),
		}},
		"queued again mid-stream": {chat, then(answering, tracker.Broken), map[tracker.EventKind]want{
			tracker.SlotGranted: {step: tracker.Send, state: tracker.Granted},
			tracker.Refused:     unknown(tracker.CodeEndpointFailed).by(tracker.Abort),
			tracker.CallerLost:  unknown(tracker.CodeCallerGone).by(tracker.Vanish),
			tracker.TimedOut:    unknown(tracker.CodeTimedOut).by(tracker.Abort),
			tracker.Stopped:     unknown(tracker.CodeStopping).by(tracker.Abort),
		}},
		"queued again, claimed": {bid, then(claimedSent, tracker.NotStarted), map[tracker.EventKind]want{
			tracker.SlotGranted: {step: tracker.Send, state: tracker.Claimed},
			tracker.Refused:     notRun(tracker.CodeQueueFull).settled(tracker.Free),
			tracker.CallerLost:  notRun(tracker.CodeCallerGone).by(tracker.Vanish).settled(tracker.Free),
			tracker.TimedOut:    notRun(tracker.CodeTimedOut).settled(tracker.Free),
			tracker.Stopped:     notRun(tracker.CodeStopping).settled(tracker.Free),
		}},
		"granted": {chat, granted, map[tracker.EventKind]want{
			tracker.Connected:   {step: tracker.Relay, state: tracker.Sent},
			tracker.Unreachable: again.slotBack(scheduler.Unreachable),
			tracker.CallerLost:  notRun(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.TimedOut:    notRun(tracker.CodeTimedOut).slotBack(scheduler.Cancelled),
			tracker.Stopped:     notRun(tracker.CodeStopping).slotBack(scheduler.Cancelled),
		}},
		"granted, not repeatable": {bid, granted, map[tracker.EventKind]want{
			tracker.ClaimGranted:  {step: tracker.Send, state: tracker.Claimed},
			tracker.ClaimSpent:    unknown(tracker.CodeKeySpent).slotBack(scheduler.Declined),
			tracker.ClaimRecorded: {step: tracker.Replay, state: tracker.Done, slot: scheduler.Declined, outcome: tracker.OutcomeAnswered},
			tracker.ClaimMismatch: notRun(tracker.CodeKeyReused).slotBack(scheduler.Declined),
			tracker.ClaimFull:     notRun(tracker.CodeQueueFull).slotBack(scheduler.Declined),
			tracker.ClaimLost:     notRun(tracker.CodeNoQuorum).slotBack(scheduler.Declined).settled(tracker.Free),
			tracker.CallerLost:    notRun(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled).settled(tracker.Free),
			tracker.TimedOut:      notRun(tracker.CodeTimedOut).slotBack(scheduler.Cancelled).settled(tracker.Free),
			tracker.Stopped:       notRun(tracker.CodeStopping).slotBack(scheduler.Cancelled).settled(tracker.Free),
		}},
		"claimed": {bid, claimed, map[tracker.EventKind]want{
			tracker.Connected:   {step: tracker.Relay, state: tracker.Sent},
			tracker.Unreachable: again.slotBack(scheduler.Unreachable),
			tracker.CallerLost:  notRun(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled).settled(tracker.Free),
			tracker.TimedOut:    notRun(tracker.CodeTimedOut).slotBack(scheduler.Cancelled).settled(tracker.Free),
			tracker.Stopped:     notRun(tracker.CodeStopping).slotBack(scheduler.Cancelled).settled(tracker.Free),
		}},
		"sent": {get, sent, map[tracker.EventKind]want{
			tracker.Began:      {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole:      {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.Broken:     again.slotBack(scheduler.Failed),
			tracker.NotStarted: again.slotBack(scheduler.Refused),
			tracker.Rejected:   notRun(tracker.CodeBadBody).slotBack(scheduler.Refused),
			tracker.CallerLost: unknown(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).slotBack(scheduler.Cancelled),
		}},
		"sent, body not kept": {upload, sent, map[tracker.EventKind]want{
			tracker.Began:      {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole:      {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.Broken:     unknown(tracker.CodeEndpointFailed).slotBack(scheduler.Failed),
			tracker.NotStarted: notRun(tracker.CodeNoEndpoint).slotBack(scheduler.Refused),
			tracker.Rejected:   notRun(tracker.CodeBadBody).slotBack(scheduler.Refused),
			tracker.CallerLost: unknown(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).slotBack(scheduler.Cancelled),
		}},
		"sent, not repeatable": {bid, claimedSent, map[tracker.EventKind]want{
			tracker.Began: {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole: {
				step: tracker.Complete, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.Broken:     unknown(tracker.CodeEndpointFailed).slotBack(scheduler.Failed),
			tracker.NotStarted: again.slotBack(scheduler.Refused),
			tracker.Rejected:   notRun(tracker.CodeBadBody).slotBack(scheduler.Refused).settled(tracker.Free),
			tracker.CallerLost: {step: tracker.Detach, state: tracker.Sent},
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).slotBack(scheduler.Cancelled),
		}},
		"sent, not repeatable, caller gone": {bid, then(claimedSent, tracker.CallerLost), map[tracker.EventKind]want{
			tracker.Began: {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole: {
				step: tracker.Vanish, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.Broken:     unknown(tracker.CodeEndpointFailed).by(tracker.Vanish).slotBack(scheduler.Failed),
			tracker.NotStarted: notRun(tracker.CodeNoEndpoint).by(tracker.Vanish).slotBack(scheduler.Refused).settled(tracker.Free),
			tracker.Rejected:   notRun(tracker.CodeBadBody).by(tracker.Vanish).slotBack(scheduler.Refused).settled(tracker.Free),
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).by(tracker.Vanish).slotBack(scheduler.Cancelled),
		}},
		"answering, resumable": {chat, answering, map[tracker.EventKind]want{
			tracker.Began:      {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole:      {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.Broken:     again.slotBack(scheduler.Failed),
			tracker.CallerLost: unknown(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).by(tracker.Abort).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).by(tracker.Abort).slotBack(scheduler.Cancelled),
		}},
		"answering, not resumable": {get, answering, map[tracker.EventKind]want{
			tracker.Began:      {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole:      {step: tracker.Complete, state: tracker.Done, slot: scheduler.Done, outcome: tracker.OutcomeAnswered},
			tracker.Broken:     unknown(tracker.CodeEndpointFailed).by(tracker.Abort).slotBack(scheduler.Failed),
			tracker.CallerLost: unknown(tracker.CodeCallerGone).by(tracker.Vanish).slotBack(scheduler.Cancelled),
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).by(tracker.Abort).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).by(tracker.Abort).slotBack(scheduler.Cancelled),
		}},
		"answering, not repeatable": {bid, claimedAnswering, map[tracker.EventKind]want{
			tracker.Began: {step: tracker.Relay, state: tracker.Answering},
			tracker.Whole: {
				step: tracker.Complete, state: tracker.Done, slot: scheduler.Done,
				claim: tracker.RecordAnswer, outcome: tracker.OutcomeAnswered,
			},
			tracker.Broken:     unknown(tracker.CodeEndpointFailed).by(tracker.Abort).slotBack(scheduler.Failed),
			tracker.CallerLost: {step: tracker.Detach, state: tracker.Answering},
			tracker.TimedOut:   unknown(tracker.CodeTimedOut).by(tracker.Abort).slotBack(scheduler.Cancelled),
			tracker.Stopped:    unknown(tracker.CodeStopping).by(tracker.Abort).slotBack(scheduler.Cancelled),
		}},
		"done": {chat, then(answering, tracker.Whole), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if closed, whole := test.wants[tracker.Whole]; whole {
				// An end that tells nothing is as an end, but for what the caller is told.
				closed.outcome, closed.code = tracker.OutcomeUnknown, tracker.CodeEndpointFailed
				test.wants[tracker.Closed] = closed
			}
			for _, kind := range every() {
				budget := retries(10)
				machine := tracker.New(test.nature, &budget)
				for _, before := range test.before {
					machine.Apply(start, tracker.Event{Kind: before})
				}
				expected, handled := test.wants[kind]
				if !handled {
					expected.state = machine.State()
				}
				event := tracker.Event{Kind: kind, Code: tracker.CodeQueueFull}
				switch kind {
				case tracker.Rejected:
					event.Code = tracker.CodeBadBody
				case tracker.Broken:
					event.Code = ""
				}
				action := machine.Apply(start, event)
				got := want{action.Step, machine.State(), action.Slot, action.Claim, action.Outcome, action.Code}
				require.Equal(t, expected, got, "event %d", kind)
			}
		})
	}
}

func TestRetriesEnd(t *testing.T) {
	for name, test := range map[string]struct {
		nature  tracker.Nature
		budget  retries
		failure tracker.EventKind
		final   tracker.Code
		sends   int
		outcome tracker.Outcome
	}{
		"attempts used up, unreachable": {chat, 10, tracker.Unreachable, "", 4, tracker.OutcomeNotRun},
		"attempts used up, broken":      {chat, 10, tracker.Broken, "", 4, tracker.OutcomeUnknown},
		"budget empty":                  {chat, 1, tracker.Broken, "", 2, tracker.OutcomeUnknown},
		"no budget":                     {chat, 0, tracker.Unreachable, "", 1, tracker.OutcomeNotRun},
		"bid broken":                    {bid, 10, tracker.Broken, "", 1, tracker.OutcomeUnknown},
		"bid not started":               {bid, 10, tracker.NotStarted, "", 4, tracker.OutcomeNotRun},
		"no endpoint would do better":   {chat, 10, tracker.Broken, tracker.CodeEndpointFailed, 1, tracker.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			machine := tracker.New(test.nature, &test.budget)
			sends := 0
			action := machine.Apply(start, tracker.Event{Kind: tracker.Admitted})
			for action.Step == tracker.Enrol {
				action = machine.Apply(start, tracker.Event{Kind: tracker.SlotGranted})
				if action.Step == tracker.Claim {
					action = machine.Apply(start, tracker.Event{Kind: tracker.ClaimGranted})
				}
				require.Equal(t, tracker.Send, action.Step)
				sends++
				if test.failure != tracker.Unreachable {
					machine.Apply(start, tracker.Event{Kind: tracker.Connected})
				}
				action = machine.Apply(start, tracker.Event{Kind: test.failure, Code: test.final})
			}
			require.Equal(t, test.sends, sends)
			require.Equal(t, test.outcome, action.Outcome)
		})
	}
}

// TestRandomWalk lets any event happen at any step and compares what callers
// are told with what endpoints saw.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nature := tracker.Nature{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Replayable: rapid.Bool().Draw(t, "replayable"),
			Resumable:  rapid.Bool().Draw(t, "resumable"),
			Attempts:   rapid.IntRange(0, 3).Draw(t, "attempts"),
		}
		budget := retries(rapid.IntRange(0, 3).Draw(t, "budget"))
		machine := tracker.New(nature, &budget)
		var endings, runs int
		var claimed, begun, slot bool
		for _, kind := range rapid.SliceOfN(rapid.SampledFrom(every()), 1, 60).Draw(t, "events") {
			before := machine.State()
			action := machine.Apply(start, tracker.Event{Kind: kind, Code: tracker.CodeNoEndpoint})
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
			case tracker.Began:
				begun = true
			}
			if action.Slot != 0 {
				require.True(t, slot, "a slot is given back once")
				slot = false
			}
			if action.Step == tracker.Send {
				require.True(t, nature.Repeatable || claimed && runs == 0, "sent without a claim, or twice")
				require.True(t, !begun || nature.Resumable, "an answer started again")
			}
			require.True(t, action.Outcome != tracker.OutcomeNotRun || runs == 0, "not run is a lie")
			require.True(t, action.Claim != tracker.Free || runs == 0, "a claim was freed of a request that ran")
			if begun {
				require.NotContains(t, []tracker.Step{tracker.Tell, tracker.Replay}, action.Step, "a second answer")
			}
			if machine.State() == tracker.Done {
				endings++
				require.NotEmpty(t, action.Outcome)
				require.False(t, slot, "a slot is lost")
			}
		}
		require.LessOrEqual(t, endings, 1)
	})
}
