package proxier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/resolver"
)

// errRestarted cancels an attempt whose endpoint has restarted: nothing that ran there before is
// still running. Nothing else cancels an attempt before its deadline while its client is waiting. An
// endpoint that sends nothing may be slow, or pause and go on.
var errRestarted = merry.Sentinel("the endpoint has started again")

// attempt sends the request to one endpoint. It returns nil once the client has its answer, and
// otherwise how the attempt failed.
func (p *Proxier) attempt(ctx context.Context, q *request) *attemptFailure {
	tried := func(id string) bool { return q.tried[id] }
	now := p.options.Clock.Now()
	slot := p.options.Balancer.Pick(now, q.service, &q.in.Work, tried)
	if slot == nil {
		e := &attemptFailure{unsent: true, noEndpoint: true, reason: "no endpoint of the service takes work"}
		if p.options.Balancer.HasAvailable(now, q.service, &q.in.Work, tried) {
			e.overloaded, e.reason = true, reasonServiceFull
		}
		return e
	}
	q.tried[slot.ID] = true
	q.endpoint, q.prefillTokens, q.queueWait, q.expectedFirst = slot.ID, slot.PrefillTokens, slot.ExpectedQueue, slot.ExpectedWait
	q.fetchSource, q.fetchTokens = slot.Source, slot.FetchTokens
	q.slotWait = slot.SlotWait()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	q.endpointAnswer, q.answerBegan, q.lastHeard, q.part = forwarder.Answer{}, time.Time{}, now, part{}
	failure := p.exchange(attemptCtx, cancel, q, slot)
	slot.End(p.options.Clock.Now(), outcomeOf(ctx, failure))
	p.noteEnd(q, slot, failure)
	p.endPart(q, slot, failure)
	if failure != nil {
		p.options.Log.Info().Str("id", q.in.ID).Str("endpoint", slot.ID).Str("reason", failure.reason).
			Bool("unsent", failure.unsent).Bool("not_run", failure.notRun).Str("ended_by", cutLabels[failure.endedBy]).Int("sends", q.sends).
			Bool("begun", q.answerStarted).Dur("silent_ms", p.options.Clock.Since(q.lastHeard)).
			Str("doubt", slot.HealthPenalty).Dur("pause_ms", slot.Pause).Dur("backoff_ms", q.endpointAnswer.Backoff).Bool("leaving", q.endpointAnswer.Leaving).
			Str("fetch_from", q.loggedSource()).Int("fetch_tokens", q.fetchTokens).
			Strs("parts", q.loggedParts()).Hex("digest", q.profile.Whole.Bytes()).Msg("attempt ended without an answer")
	}
	return failure
}

// outcomeOf returns what the end of an attempt says about its endpoint.
func outcomeOf(ctx context.Context, failure *attemptFailure) balancer.Outcome {
	if failure == nil {
		return balancer.Served
	}
	broken := failure.outcome == balancer.ConnectionBroken || failure.outcome == balancer.ConnectFailed
	if ctx.Err() != nil && broken && !failure.endless {
		return balancer.Cancelled // the request's deadline passed, or its client disconnected
	}
	return failure.outcome
}

// exchange sends the request to the endpoint of a slot and relays the answer. It returns nil once
// the client has its answer.
func (p *Proxier) exchange(ctx context.Context, cancel context.CancelCauseFunc, q *request, slot *balancer.Slot) *attemptFailure {
	outgoing := &forwarder.Outgoing{
		ID: q.in.ID, Method: q.http.Method, Target: q.target, Host: q.http.Host, Body: q.body, Bound: p.connectionBound(q),
		Header: p.options.Dialect.Outgoing(q.http.Header, forwarder.Mark{
			Instance: slot.ID, Workspace: q.workspace, Remaining: q.deadline.Sub(p.options.Clock.Now()), Resume: q.stream.lastID,
			Source: slot.Source,
		}),
		Accepting: slot.EndpointAccepting(),
	}
	unlink := context.AfterFunc(slot.EndpointLifetime(), func() { cancel(errRestarted) })
	defer unlink()
	x, err := p.options.Client.Do(ctx, slot.Address, outgoing, func() bool {
		// The context's timer fires late if the process is starved, so the clock is read as well.
		if now := p.options.Clock.Now(); ctx.Err() != nil || !now.Before(q.deadline) || !slot.StillAccepts(now) || clientGone(q.http.Context()) {
			return false
		}
		q.sends++
		q.listAge = p.options.FleetState.ListAge()
		p.options.Metrics.observeListAge(q.listAge)
		p.options.Metrics.countFetch(slot)
		return true
	})
	if err != nil {
		return p.failed(ctx, q, slot, err)
	}
	defer x.Close()
	q.framing = framer.Of(q.http.Method, x.Response)
	answer := p.options.Dialect.Answer(x.Response)
	p.noteAnswer(q, slot, answer)
	if answer.NotRun {
		return p.declined(q, x, answer)
	}
	if promisesNotRun(x.StatusCode) && !q.route.Retryable() {
		p.noteAnswerStarted(q, slot)
		p.discardRefusal(q, x)
		return &attemptFailure{outcome: balancer.Faulty, endedBy: cutByEndpoint, reason: "the endpoint answered " + strconv.Itoa(x.StatusCode) + " and may have run the request"}
	}
	if x.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		return &attemptFailure{outcome: balancer.ConnectionBroken, endedBy: cutByEndpoint, reason: "the endpoint's success is not signed"}
	}
	p.beginPart(q, slot, x)
	if q.route.Kind == resolver.Stream && x.StatusCode == http.StatusOK {
		return p.relayStream(ctx, q, slot, x)
	}
	return p.relayPlain(ctx, q, slot, x)
}

// promisesNotRun reports whether a status tells a client that its request has not run and never will, so that it may send
// the request again. An endpoint's own answer with such a status that does not say "not run" may come after a run; for a
// request that must not be repeated it is replaced.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// noteAnswer applies the hints that the endpoint gives about itself in an answer: backoff and leaving.
func (p *Proxier) noteAnswer(q *request, slot *balancer.Slot, answer forwarder.Answer) {
	q.endpointAnswer = answer
	if answer.Backoff > 0 && slot.BackOff(p.options.Clock.Now(), answer.Backoff) {
		p.options.Log.Info().Str("endpoint", slot.ID).Dur("backoff_ms", answer.Backoff).Msg("endpoint asks for backoff")
	}
	if answer.Leaving && slot.MarkLeaving() {
		p.options.Log.Info().Str("endpoint", slot.ID).Msg("endpoint announced in an answer that it is leaving; it gets no new requests")
	}
	if answer.Unreadable != nil {
		p.options.Log.Warn().Err(answer.Unreadable).Str("id", q.in.ID).Str("endpoint", slot.ID).Msg("header of the endpoint's answer is unreadable; it is ignored")
	}
}

// failed returns the failure of an attempt that got no answer, and reports a possible crash.
func (p *Proxier) failed(ctx context.Context, q *request, slot *balancer.Slot, err error) *attemptFailure {
	e := &attemptFailure{outcome: balancer.ConnectionBroken, endedBy: endedBy(ctx, err), reason: err.Error()}
	switch {
	case errors.Is(err, forwarder.ErrUnsent):
		e.unsent, e.crowded, e.outcome = true, errors.Is(err, forwarder.ErrCrowded), p.unsentOutcome(err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.options.Crashes.Ended(p.options.Clock.Now(), localizer.Lifetime(slot.Key()))
		}
	case errors.Is(context.Cause(ctx), errRestarted):
		// The request may have crashed the endpoint, as with a broken connection.
		p.noteRestart(q, slot)
		p.doubtVersion(q, slot)
		e.reason = errRestarted.Error()
	case errors.Is(err, forwarder.ErrRecalled):
		e.outcome = balancer.Cancelled // nothing crashed, and the endpoint takes no more requests
	case errors.Is(err, errEndless):
		e.endless = true // the endpoint runs: nothing crashed
	case context.Cause(ctx) != nil:
		// The deadline passed or the client disconnected: nothing crashed.
	case errors.Is(err, forwarder.ErrBroken) && !errors.Is(err, os.ErrDeadlineExceeded):
		p.noteBreak(q, slot)
	}
	return e
}

// unsentOutcome returns what the error of an unsent request says about the endpoint. A router that is
// starved of processor time sees its own dials time out: counted against the endpoints, two such
// timeouts would put their whole zone under a health penalty.
func (p *Proxier) unsentOutcome(err error) balancer.Outcome {
	var dialed net.Error
	switch {
	case errors.Is(err, forwarder.ErrWithdrawn), errors.Is(err, forwarder.ErrCrowded):
		return balancer.Cancelled
	case errors.As(err, &dialed) && dialed.Timeout() && p.options.CPUStarved != nil && p.options.CPUStarved():
		return balancer.ConnectLate
	}
	return balancer.ConnectFailed
}

// declined returns the failure of an attempt that the endpoint did not run.
func (p *Proxier) declined(q *request, x *forwarder.Exchange, answer forwarder.Answer) *attemptFailure {
	e := &attemptFailure{outcome: balancer.Full, notRun: true, reason: "the endpoint refused it with " + strconv.Itoa(x.StatusCode)}
	if answer.Misdirected {
		e.outcome = balancer.WrongInstance
	}
	if !p.discardRefusal(q, x) {
		e.outcome = balancer.ConnectionBroken
	}
	return e
}

// noteAnswerStarted records that the endpoint is sending its answer.
func (p *Proxier) noteAnswerStarted(q *request, slot *balancer.Slot) {
	now := p.options.Clock.Now()
	slot.NoteResponse(now)
	if q.answerBegan.IsZero() && slot.ExpectedWait > 0 {
		q.firstError = now.Sub(q.lastHeard) - slot.ExpectedWait
		p.options.Metrics.observeFirstError(q.firstError)
	}
	q.lastHeard = now
	if q.answerBegan.IsZero() {
		q.answerBegan = now
		p.options.Crashes.AnswerBegan(localizer.Lifetime(slot.Key()))
	}
	if q.endpointAnswered {
		return
	}
	q.endpointAnswered = true
	if p.sharesEngines(q) {
		p.options.Shares.CountServed(now, q.workspace, float64(q.tokens()))
	}
}
