package relayer

import (
	"context"
	"errors"
	"strconv"
	"time"

	"shallotkeel.example/lib/isolator"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/retrier"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/lib/tracker"
)

// run executes the tracker's actions until one ends the request, and returns that action.
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
			// An event that is invalid in the tracker's state is a bug of this package. The
			// request still ends, with an outcome that is true.
			r.options.Log.Error().Str("id", q.id).Uint8("state", uint8(q.tracker.State())).Msg("request has no next step in its state; it is ended with the code stopping")
			event = tracker.Event{Kind: tracker.RouterStopping, Retry: minRetryAfter}
		}
		action = r.apply(q, event)
	}
}

// apply passes an event to the tracker and returns the next action.
func (r *Relayer) apply(q *request, event tracker.Event) tracker.Action {
	return q.tracker.Apply(r.options.Clock.Now(), event)
}

// enrol waits for a slot. A retry first waits for its backoff.
func (r *Relayer) enrol(ctx context.Context, q *request) tracker.Event {
	q.setOutlivesCaller(false)
	if q.tracker.Attempts() == 0 {
		return r.enrolFirstAttempt(ctx, q)
	}
	pause := retrier.Pause(q.tracker.Attempts())
	r.note(q, "retry", "after "+pause.String(), "it is sent to another endpoint, because the last one failed it")
	waiting, cancel := r.awaitingSlot(ctx, q)
	defer cancel()
	if !r.pause(waiting, pause) {
		return interruption(waiting)
	}
	return r.acquireSlot(waiting, q)
}

// awaitingSlot returns the context in which a request waits for a slot. While it is known not to have run, it
// ends early in a planned stop, with the refusal of all that wait: once the request had been sent, it would be
// aborted with an unknown outcome.
func (r *Relayer) awaitingSlot(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancelCause(ctx)
	if q.tracker.MayHaveRun() {
		return waiting, func() { cancel(nil) }
	}
	stop := context.AfterFunc(r.drain.waitingRefused, func() { cancel(errStopping) })
	if r.drain.waitingRefused.Err() != nil {
		cancel(errStopping) // the function above runs later
	}
	return waiting, func() {
		stop()
		cancel(nil)
	}
}

// enrolFirstAttempt waits for the request's first slot and counts against the limits of the waiting
// queue. Later attempts do not count: the number of slots bounds them, and a retry refused because
// of a full queue would turn the loss of an endpoint into a failed request.
func (r *Relayer) enrolFirstAttempt(ctx context.Context, q *request) tracker.Event {
	now := r.options.Clock.Now
	retry, entered := r.queue.enter(now(), q.workspace.Name, q.workspace.Queue)
	if !entered {
		r.note(q, "refused", "queue full", "too many requests of its workspace waited at this router")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeQueueFull, Retry: retry}
	}
	r.note(q, "queued", "", "it waits for a slot: other workspaces or its own earlier requests are ahead, or no endpoint that its workspace may use is free")
	waiting, cancel := r.awaitingSlot(ctx, q)
	defer cancel()
	event := r.acquireSlot(waiting, q)
	r.queue.leave(now(), q.workspace.Name, event.Kind == tracker.SlotGranted)
	return event
}

// pause waits for a duration. It returns false if the context ends before it has passed.
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

// acquireSlot waits for a slot of the pool's scheduler, unless the request is quarantined.
func (r *Relayer) acquireSlot(ctx context.Context, q *request) tracker.Event {
	if event, admitted := r.isolate(ctx, q); !admitted {
		return event
	}
	ctx, span := r.options.Tracer.Start(ctx, "wait")
	slot, err := r.enrolAvoiding(ctx, q)
	if err == nil {
		span.End("")
		q.slot = slot
		q.attempt = attempt{started: r.options.Clock.Now()}
		q.run = r.crashGuard.start(q.attempt.started, q, slot)
		r.note(q, "granted", slot.Endpoint(), "its pool's scheduler chose endpoint "+slot.Endpoint())
		return tracker.Event{Kind: tracker.SlotGranted}
	}
	span.End(err.Error())
	if q.trial {
		q.trial = false
		r.crashGuard.release(q.fingerprint)
	}
	return r.refusal(ctx, q, err)
}

// refusal returns the event for an error of the Enroller, or for the end of the context. A refusal
// with an unknown code becomes CodeNoEndpoint, an error that is no Refused becomes CodeStopping.
func (r *Relayer) refusal(ctx context.Context, q *request, err error) tracker.Event {
	if ctx.Err() != nil {
		r.note(q, "withdrawn", context.Cause(ctx).Error(), "")
		return interruption(ctx)
	}
	refused := &Refused{Code: string(tracker.CodeStopping), Retry: minRetryAfter}
	errors.As(err, &refused)
	code := tracker.Code(refused.Code)
	if _, known := failureTexts[code]; !known {
		code = tracker.CodeNoEndpoint
	}
	r.note(q, "refused", string(code), "its pool's scheduler refused it: "+refused.Code)
	return tracker.Event{Kind: tracker.Refused, Code: code, Retry: max(refused.Retry, minRetryAfter)}
}

// enrolAvoiding enrols the request and avoids the endpoints at which earlier attempts failed. If
// there is no other endpoint, it enrols again without avoiding any, because a failed endpoint may
// have recovered.
func (r *Relayer) enrolAvoiding(ctx context.Context, q *request) (Slot, error) {
	slot, err := r.enrolEligible(ctx, q)
	var refused *Refused
	if len(q.avoid) > 0 && errors.As(err, &refused) && refused.Code == string(tracker.CodeNoEndpoint) {
		q.avoid = nil
		return r.enrolEligible(ctx, q)
	}
	return slot, err
}

// enrolEligible returns a slot at an endpoint that is not in backoff for this router. A scheduler
// that has just started, or the scheduler of another zone that lends the slot, may not know of the
// backoff: the first slot at the endpoint is declined with the backoff, and after a second one the
// endpoint is avoided.
func (r *Relayer) enrolEligible(ctx context.Context, q *request) (Slot, error) {
	declined := make(map[string]bool)
	for {
		slot, err := r.options.Enroller.Enrol(ctx, r.waitingRequest(q))
		if err != nil {
			return nil, err
		}
		backoff, leaving := r.backoffs.remaining(r.options.Clock.Now(), slot)
		if backoff == 0 {
			return slot, nil
		}
		slot.Finish(scheduler.Finish{Ending: scheduler.Declined, Backoff: backoff, Leaving: leaving})
		r.note(q, "declined", slot.Endpoint(), "the endpoint wants no requests of this router for "+backoff.String())
		if declined[slot.Endpoint()] {
			q.avoid = append(q.avoid, slot.Endpoint())
		}
		declined[slot.Endpoint()] = true
	}
}

// waitingRequest returns the description of the request for the pool's scheduler.
func (r *Relayer) waitingRequest(q *request) WaitingRequest {
	waiting := WaitingRequest{
		ID: q.id, Service: q.service.Name, Workspace: q.workspace.Name,
		Waited: r.options.Clock.Since(q.received), Avoid: q.avoid, Alone: q.trial,
	}
	if q.chat != nil {
		waiting.Model, waiting.Hint = q.chat.Model, q.chat.Hint
		waiting.Prompt, waiting.Prefix = q.chat.Prompt, q.chat.Prefix
	}
	return waiting
}

// isolate returns false and a refusal for a quarantined request, which must not reach an endpoint,
// and marks the request as the trial run if its fingerprint is suspected of crashing endpoints. It
// waits while another request with the fingerprint is on trial.
func (r *Relayer) isolate(ctx context.Context, q *request) (tracker.Event, bool) {
	if verdict, quarantine := r.options.Crashes.Judge(r.options.Clock.Now(), q.profile); verdict == localizer.Quarantined {
		r.note(q, "refused", "quarantined", "requests with a text of its prompt crashed the endpoints that ran them")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeQuarantined, Retry: quarantine.Left}, false
	}
	if q.attempt.crashed && r.options.Crashes.Suspected(r.options.Clock.Now(), q.profile) {
		r.note(q, "given up", "suspect", "its endpoint crashed, and others have crashed under a text of its prompt")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeEndpointFailed}, false
	}
	remaining, quarantined := r.options.Quarantine.Quarantined(q.fingerprint)
	verdict := isolator.Quarantined
	if !quarantined {
		var err error
		verdict, remaining, err = r.crashGuard.admit(ctx, r.options.Clock.Now, q.fingerprint)
		if err != nil {
			return interruption(ctx), false
		}
	}
	switch verdict {
	case isolator.Quarantined:
		r.note(q, "refused", "quarantined", "requests like it crashed the endpoints that ran them")
		return tracker.Event{Kind: tracker.Refused, Code: tracker.CodeQuarantined, Retry: remaining}, false
	case isolator.Trial:
		q.trial = true
		r.note(q, "suspect", "", "an endpoint crashed while it ran there; it is tried where no other suspect runs")
	}
	return tracker.Event{}, true
}

// settle records the outcome of the claim, releases the slot and counts a retry, as the action says.
func (r *Relayer) settle(q *request, action tracker.Action) {
	switch action.Claim {
	case tracker.FreeClaim:
		r.record(q, q.recorder.notRun())
	case tracker.RecordAnswer:
		r.record(q, q.recorder.answer(&q.sequence))
	}
	if action.Slot != 0 && q.slot != nil {
		r.releaseSlot(q, action.Slot)
	}
	if action.Step == tracker.Enrol && action.Slot != 0 {
		r.countRetry(q, action.Slot)
	}
}

// releaseSlot ends the attempt: it finishes the slot with the units used and reports the ending to
// the crash guard, which may find fingerprints to quarantine.
func (r *Relayer) releaseSlot(q *request, ending scheduler.Ending) {
	now := r.options.Clock.Now()
	took := now.Sub(q.attempt.started)
	units := q.attempt.units
	if q.chat == nil && q.attempt.connected {
		units = uint32(max(took.Milliseconds(), 1))
	}
	q.slot.Finish(scheduler.Finish{Charged: units, Ending: ending, First: q.attempt.timeToFirst, Took: took, Backoff: q.attempt.backoff, Leaving: q.attempt.leaving})
	r.noteEnding(q, now, q.attempt.isolatorEnding(ending))
	for _, digest := range r.crashGuard.end(now, q, q.attempt.isolatorEnding(ending)) {
		r.metrics.quarantine.Inc()
		r.options.Log.Warn().Uint64("fingerprint", digest).Msg("quarantined a request that crashes endpoints")
		r.options.Quarantine.Publish(digest)
	}
	switch ending {
	case scheduler.Failed, scheduler.Unreachable, scheduler.Refused:
		q.avoid = append(q.avoid, q.slot.Endpoint())
	}
	r.note(q, "given back", endingTexts[ending]+" after "+strconv.Itoa(int(units))+" units", "")
	q.slot, q.run, q.trial = nil, nil, false
}

// endingTexts are the texts for the ending of an attempt, in explanations.
var endingTexts = map[scheduler.Ending]string{
	scheduler.Done: "whole", scheduler.Cancelled: "cancelled", scheduler.Refused: "not started",
	scheduler.Failed: "failed", scheduler.Unreachable: "unreachable", scheduler.Declined: "not used",
}

// isolatorEnding returns the attempt's ending as evidence of whether the request crashes endpoints.
func (a *attempt) isolatorEnding(ending scheduler.Ending) isolator.Outcome {
	switch {
	case ending == scheduler.Done:
		return isolator.Completed
	case !a.connected || ending == scheduler.Refused:
		return isolator.NotStarted
	case a.crashed:
		return isolator.Crashed
	default:
		return isolator.Abandoned
	}
}

// countRetry counts a retry by the ending of the failed attempt, and a resume if tokens were relayed.
func (r *Relayer) countRetry(q *request, ending scheduler.Ending) {
	reason := retryBroken
	switch ending {
	case scheduler.Unreachable:
		reason = retryUnreachable
	case scheduler.Refused:
		reason = retryNotStarted
	}
	r.metrics.retries.WithLabelValues(reason).Inc()
	if q.sequence.next > 0 {
		r.metrics.resumes.Inc()
	}
}

// complete sends the end of an answer. The slot has been released before, so that a caller that reads
// slowly does not hold it.
func (r *Relayer) complete(q *request, action tracker.Action) tracker.Action {
	if q.chat == nil || q.attempt.passedThrough {
		return action
	}
	if err := q.sink.end(&q.sequence); err != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeCallerGone}
	}
	return action
}
