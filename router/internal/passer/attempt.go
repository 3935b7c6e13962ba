package passer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/resolver"
)

// The reasons for which an attempt is ended while its client waits.
var (
	// errStalled ends an attempt whose endpoint has been silent for too long.
	errStalled = merry.Sentinel("the endpoint sends nothing")
	// errRestarted ends an attempt whose endpoint has started again: nothing of it
	// runs any more.
	errRestarted = merry.Sentinel("the endpoint has started again")
)

// attempt sends the request to one endpoint. It returns nil once the client has
// its answer.
func (p *Passer) attempt(ctx context.Context, q *request) *ending {
	tried := func(id string) bool { return q.tried[id] }
	now := p.options.Clock.Now()
	slot := p.options.Balancer.Pick(now, q.service, &q.in.Work, tried)
	if slot == nil {
		e := &ending{unsent: true, nowhere: true, reason: "no endpoint of the service takes work"}
		if p.options.Balancer.HasAvailable(now, q.service, &q.in.Work, tried) {
			e.pressed, e.reason = true, noRoom
		}
		return e
	}
	q.tried[slot.ID] = true
	q.endpoint, q.reading, q.queue, q.expected = slot.ID, slot.PrefillTokens, slot.ExpectedQueue, slot.ExpectedWait
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	q.said = forwarder.Answer{}
	next := p.exchange(attemptCtx, cancel, q, slot)
	outcome := balancer.Served
	if next != nil {
		outcome = next.outcome
	}
	if ctx.Err() != nil && (outcome == balancer.ConnectionBroken || outcome == balancer.ConnectFailed) {
		outcome = balancer.Cancelled // the request's time was over, or its client left
	}
	slot.End(p.options.Clock.Now(), outcome)
	if next != nil {
		p.options.Log.Info().Str("id", q.in.ID).Str("endpoint", slot.ID).Str("reason", next.reason).
			Bool("unsent", next.unsent).Bool("not_run", next.notRun).Int("sends", q.sends).
			Str("doubt", slot.HealthPenalty).Dur("pause_ms", slot.Pause).Dur("backoff_ms", q.said.Backoff).Bool("leaving", q.said.Leaving).
			Msg("attempt ended without an answer")
	}
	return next
}

func (p *Passer) exchange(ctx context.Context, cancel context.CancelCauseFunc, q *request, slot *balancer.Slot) *ending {
	out := &forwarder.Outgoing{
		ID: q.in.ID, Method: q.http.Method, Target: q.target, Host: q.http.Host, Body: q.body,
		Header: p.options.Dialect.Outgoing(q.http.Header, forwarder.Mark{
			Instance: slot.ID, Workspace: q.workspace, Left: q.until.Sub(p.options.Clock.Now()), Resume: q.stream.last,
		}),
	}
	watch := p.watch(q, slot, cancel)
	defer watch.stop()
	unlink := context.AfterFunc(slot.EndpointLifetime(), func() { cancel(errRestarted) })
	defer unlink()
	x, err := p.options.Client.Do(ctx, slot.Address, out, func() bool {
		// The context's timer may be as late as the process is: the clock is asked.
		if now := p.options.Clock.Now(); ctx.Err() != nil || !now.Before(q.until) || !slot.StillAccepts(now) || gone(q.http.Context()) {
			return false
		}
		q.sends++
		return true
	})
	if err != nil {
		return p.failed(ctx, q, err)
	}
	defer x.Close()
	q.framing = framer.Of(q.http.Method, x.Response)
	answer := p.options.Dialect.Answer(x.Response)
	p.noteSaid(q, slot, answer)
	if answer.NotRun {
		return p.declined(q, x, answer)
	}
	if x.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		return &ending{outcome: balancer.ConnectionBroken, reason: "the endpoint's success is not signed"}
	}
	if q.route.Kind == resolver.Stream && x.StatusCode == http.StatusOK {
		return p.relayStream(ctx, q, slot, x, watch)
	}
	return p.relayWhole(ctx, q, slot, x)
}

// noteSaid takes what the endpoint says of itself.
func (p *Passer) noteSaid(q *request, slot *balancer.Slot, answer forwarder.Answer) {
	q.said = answer
	if answer.Backoff > 0 && slot.BackOff(p.options.Clock.Now(), answer.Backoff) {
		p.options.Log.Info().Str("endpoint", slot.ID).Dur("backoff_ms", answer.Backoff).Msg("endpoint asks for backoff")
	}
	if answer.Leaving && slot.MarkLeaving() {
		p.options.Log.Info().Str("endpoint", slot.ID).Msg("endpoint says in an answer that it leaves")
	}
	if answer.Unread != nil {
		p.options.Log.Warn().Err(answer.Unread).Str("id", q.in.ID).Str("endpoint", slot.ID).Msg("a header of the endpoint's answer counts as not said")
	}
}

// failed is the ending of an attempt without an answer.
func (p *Passer) failed(ctx context.Context, q *request, err error) *ending {
	e := &ending{outcome: balancer.ConnectionBroken, reason: err.Error()}
	switch {
	case errors.Is(err, forwarder.ErrUnsent):
		e.unsent, e.outcome = true, p.unsent(err)
	case context.Cause(ctx) != nil:
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, errRestarted):
			// It may be what the endpoint crashed of, as with a connection that broke.
			p.options.News.Crashed(q.digest)
			e.reason = cause.Error()
		case errors.Is(cause, errStalled):
			e.reason = cause.Error()
		}
		// Else its own time was over, or nobody waits: nothing crashed.
	case errors.Is(err, forwarder.ErrBroken) && !errors.Is(err, os.ErrDeadlineExceeded):
		p.options.News.Crashed(q.digest)
	}
	return e
}

// unsent says what a request that was not sent tells of its endpoint. A router that is
// late finds its own dials late: taken for the endpoints' fault, two of them would put
// their whole zone in doubt.
func (p *Passer) unsent(err error) balancer.Outcome {
	var dialed net.Error
	switch {
	case errors.Is(err, forwarder.ErrWithdrawn):
		return balancer.Cancelled
	case errors.As(err, &dialed) && dialed.Timeout() && p.options.Lags != nil && p.options.Lags():
		return balancer.ConnectLate
	}
	return balancer.ConnectFailed
}

// declined is the ending of an attempt that the endpoint did not run.
func (p *Passer) declined(q *request, x *forwarder.Exchange, answer forwarder.Answer) *ending {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Body, wholeBytes)); err != nil {
		p.options.Log.Debug().Err(err).Str("id", q.in.ID).Msg("a refusal's body broke off; its connection is closed")
	}
	e := &ending{outcome: balancer.Full, notRun: true, reason: "the endpoint refused it with " + strconv.Itoa(x.StatusCode)}
	if answer.Misdirected {
		e.outcome = balancer.WrongInstance
	}
	return e
}

// heard notes that the endpoint sends its answer.
func (p *Passer) heard(q *request, slot *balancer.Slot) {
	now := p.options.Clock.Now()
	slot.NoteResponse(now)
	if q.answered {
		return
	}
	q.answered = true
	if p.sharesEngines(q) {
		p.options.Shares.CountServed(now, q.workspace, float64(q.tokens()))
	}
}
