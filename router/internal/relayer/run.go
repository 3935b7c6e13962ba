package relayer

import (
	"context"
	"errors"
	"strconv"
	"time"

	"shallotkeel.example/lib/isolator"
	"shallotkeel.example/lib/retrier"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/lib/tracker"
)

// run carries out what the tracker decides until the request has its ending.
func (r *Relayer) run(ctx context.Context, q *request) tracker.Action {
	action := r.apply(q, tracker.Event{Kind: tracker.Admitted})
	for {
		r.settle(q, action)
		var event tracker.Event
		switch action.Step {
		case tracker.Enrol:
			event = r.enrol(ctx, q)
		case tracker.Claim:
			event = r.claimKey(ctx, q)
		case tracker.Send:
			event = r.send(ctx, q)
		case tracker.Replay:
			return r.replay(q, action)
		case tracker.Complete:
			return r.complete(q, action)
		case tracker.RespondError, tracker.Abort, tracker.EndSilently:
			return action
		default:
			// An event that does not fit the state is a fault of this package. The
			// request still gets an ending, and a true one.
			r.options.Log.Error().Str("id", q.id).Uint8("state", uint8(q.tracker.State())).Msg("request is stuck; ending it")
			event = tracker.Event{Kind: tracker.RouterStopping, Retry: retrySoon}
		}
		action = r.apply(q, event)
	}
}

// apply tells the tracker what happened.
func (r *Relayer) apply(q *request, event tracker.Event) tracker.Action {
	return q.tracker.Apply(r.options.Clock.Now(), event)
}

// enrol waits for a slot.
func (r *Relayer) enrol(ctx context.Context, q *request) tracker.Event {
	q.detachable(false)
	if q.tracker.Attempts() == 0 {
		return r.enrolFirst(ctx, q)
	}
	pause := retrier.Pause(q.tracker.Attempts())
	r.note(q, "retry", "after "+pause.String(), "it is sent to another endpoint, because the last one failed it")
	if !r.pause(ctx, pause) {
		return interruption(ctx)
	}
	return r.takeSlot(ctx, q)
}

// enrolFirst waits in the waiting room. Later attempts wait outside of it: they
// are bounded by the slots that they came from, and a retry that is refused for
// a full queue would turn a lost endpoint into a failed request.
func (r *Relayer) enrolFirst(ctx context.Context, q *request) tracker.Event {
	now := r.options.Clock.Now
	retry, entered := r.queue.enter(now(), q.workspace.Name, q.workspace.Queue)
	if !entered {
		r.note(q, "refused", "queue full", "too many requests of its workspace waited at this router")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeQueueFull, Retry: retry}
	}
	r.note(q, "queued", "", "it waits for a slot: other workspaces or its own earlier requests are ahead, or no endpoint that its workspace may use is free")
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(r.drain.closing, func() { cancel(errStopping) })()
	event := r.takeSlot(waiting, q)
	r.queue.leave(now(), q.workspace.Name, event.Kind == tracker.SlotGranted)
	return event
}

func (r *Relayer) pause(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.options.Clock.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// takeSlot asks the pool's scheduler, unless the request is quarantined.
func (r *Relayer) takeSlot(ctx context.Context, q *request) tracker.Event {
	if event, admitted := r.isolate(ctx, q); !admitted {
		return event
	}
	ctx, span := r.options.Tracer.Start(ctx, "wait")
	slot, err := r.askScheduler(ctx, q)
	if err == nil {
		span.End("")
		q.slot = slot
		q.spent = attempt{began: r.options.Clock.Now()}
		q.run = r.guard.start(q.spent.began, q, slot)
		r.note(q, "granted", slot.Endpoint(), "its pool's scheduler chose endpoint "+slot.Endpoint())
		return tracker.Event{Kind: tracker.SlotGranted}
	}
	span.End(err.Error())
	if q.trial {
		q.trial = false
		r.guard.release(q.fingerprint)
	}
	return r.refusal(ctx, q, err)
}

func (r *Relayer) refusal(ctx context.Context, q *request, err error) tracker.Event {
	if ctx.Err() != nil {
		r.note(q, "withdrawn", context.Cause(ctx).Error(), "")
		return interruption(ctx)
	}
	refused := &Refused{Code: string(tracker.CodeStopping), Retry: retrySoon}
	errors.As(err, &refused)
	code := tracker.Code(refused.Code)
	if _, known := meanings[code]; !known {
		code = tracker.CodeNoEndpoint
	}
	r.note(q, "refused", string(code), "its pool's scheduler refused it: "+refused.Code)
	return tracker.Event{Kind: tracker.Refused, Code: code, Retry: max(refused.Retry, retrySoon)}
}

// askScheduler enrols the request. Endpoints that failed it are avoided, unless
// there is no other: the same one may have come back.
func (r *Relayer) askScheduler(ctx context.Context, q *request) (Slot, error) {
	slot, err := r.takeOpen(ctx, q)
	var refused *Refused
	if len(q.avoid) > 0 && errors.As(err, &refused) && refused.Code == string(tracker.CodeNoEndpoint) {
		q.avoid = nil
		return r.takeOpen(ctx, q)
	}
	return slot, err
}

// takeOpen returns a slot at an endpoint that wants requests of this router. A scheduler
// that has only just begun, or that of a zone that lends the slot, may not know better: it
// is told once, and the endpoint is avoided if it is granted again.
func (r *Relayer) takeOpen(ctx context.Context, q *request) (Slot, error) {
	told := make(map[string]bool)
	for {
		slot, err := r.options.Enroller.Enrol(ctx, r.waiting(q))
		if err != nil {
			return nil, err
		}
		backoff, leaving := r.backoffs.left(r.options.Clock.Now(), slot)
		if backoff == 0 {
			return slot, nil
		}
		slot.Finish(scheduler.Finish{Ending: scheduler.Declined, Backoff: backoff, Leaving: leaving})
		r.note(q, "declined", slot.Endpoint(), "the endpoint wants no requests of this router for "+backoff.String())
		if told[slot.Endpoint()] {
			q.avoid = append(q.avoid, slot.Endpoint())
		}
		told[slot.Endpoint()] = true
	}
}

func (r *Relayer) waiting(q *request) Waiting {
	waiting := Waiting{
		ID: q.id, Service: q.service.Name, Workspace: q.workspace.Name,
		Waited: r.options.Clock.Since(q.received), Avoid: q.avoid, Alone: q.trial,
	}
	if q.chat != nil {
		waiting.Model, waiting.Hint = q.chat.Model, q.chat.Hint
		waiting.Prompt, waiting.Prefix = q.chat.Prompt, q.chat.Prefix
	}
	return waiting
}

// isolate keeps quarantined requests away from endpoints and begins the trial
// of suspects.
func (r *Relayer) isolate(ctx context.Context, q *request) (tracker.Event, bool) {
	left, quarantined := r.options.Quarantine.Quarantined(q.fingerprint)
	verdict := isolator.Quarantined
	if !quarantined {
		var err error
		verdict, left, err = r.guard.admit(ctx, r.options.Clock.Now, q.fingerprint)
		if err != nil {
			return interruption(ctx), false
		}
	}
	switch verdict {
	case isolator.Quarantined:
		r.note(q, "refused", "quarantined", "requests like it crashed the endpoints that ran them")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeQuarantined, Retry: left}, false
	case isolator.Alone:
		q.trial = true
		r.note(q, "suspect", "", "an endpoint crashed while it ran there; it is tried where no other suspect runs")
	}
	return tracker.Event{}, true
}

// settle settles the claim and gives the slot back, as the action says.
func (r *Relayer) settle(q *request, action tracker.Action) {
	switch action.Claim {
	case tracker.FreeClaim:
		r.record(q, q.keep.notRun())
	case tracker.RecordAnswer:
		r.record(q, q.keep.answer(&q.order))
	}
	if action.Slot != 0 && q.slot != nil {
		r.giveBack(q, action.Slot)
	}
	if action.Step == tracker.Enrol && action.Slot != 0 {
		r.countRetry(q, action.Slot)
	}
}

func (r *Relayer) giveBack(q *request, ending scheduler.Ending) {
	now := r.options.Clock.Now()
	took := now.Sub(q.spent.began)
	units := q.spent.units
	if q.chat == nil && q.spent.connected {
		units = uint32(max(took.Milliseconds(), 1))
	}
	q.slot.Finish(scheduler.Finish{Charged: units, Ending: ending, First: q.spent.first, Took: took, Backoff: q.spent.backoff, Leaving: q.spent.leaving})
	for _, digest := range r.guard.end(now, q, q.spent.verdict(ending)) {
		r.metrics.quarantine.Inc()
		r.options.Log.Warn().Uint64("fingerprint", digest).Msg("quarantined a request that crashes endpoints")
		r.options.Quarantine.Publish(digest)
	}
	switch ending {
	case scheduler.Failed, scheduler.Unreachable, scheduler.Refused:
		q.avoid = append(q.avoid, q.slot.Endpoint())
	}
	r.note(q, "given back", endings[ending]+" after "+strconv.Itoa(int(units))+" units", "")
	q.slot, q.run, q.trial = nil, nil, false
}

// endings are the words for how an attempt ended.
var endings = map[scheduler.Ending]string{
	scheduler.Done: "whole", scheduler.Cancelled: "cancelled", scheduler.Refused: "not started",
	scheduler.Failed: "failed", scheduler.Unreachable: "unreachable", scheduler.Declined: "not used",
}

// verdict is what an attempt's ending says about the request's guilt.
func (a *attempt) verdict(ending scheduler.Ending) isolator.Ending {
	switch {
	case ending == scheduler.Done:
		return isolator.Whole
	case !a.connected || ending == scheduler.Refused:
		return isolator.Unrun
	case a.crashed:
		return isolator.Crashed
	default:
		return isolator.GivenUp
	}
}

func (r *Relayer) countRetry(q *request, ending scheduler.Ending) {
	reason := retryBroken
	switch ending {
	case scheduler.Unreachable:
		reason = retryUnreachable
	case scheduler.Refused:
		reason = retryNotStarted
	}
	r.metrics.retries.WithLabelValues(reason).Inc()
	if q.order.next > 0 {
		r.metrics.resumes.Inc()
	}
}

// complete sends the end of an answer whose slot has been given back already,
// so that a caller that is slow to take it holds nothing.
func (r *Relayer) complete(q *request, action tracker.Action) tracker.Action {
	if q.chat == nil || q.spent.passed {
		return action
	}
	if err := q.sink.end(&q.order); err != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeCallerGone}
	}
	return action
}
