package proxier

import (
	"net/http"
	"time"

	"shallotkeel.example/router/internal/screener"
)

// screeningPeriod is how long requests on new connections are screened before the server accepts
// them, counted from the last refusal for lack of capacity or share. In a flood there are many
// such refusals per second.
const screeningPeriod = time.Second

// ScreeningActive reports whether requests on new connections are to be checked by Screen.
func (p *Proxier) ScreeningActive() bool {
	return p.options.Clock.Now().Sub(time.Unix(0, p.lastPressure.Load())) < screeningPeriod
}

// notePressure records a refusal for lack of capacity or share.
func (p *Proxier) notePressure(now time.Time) {
	p.lastPressure.Store(now.UnixNano())
}

// Screen returns the refusal of a request of which only the head has been read, nil if the request
// is to be served. It refuses a request for which the router has no capacity or the workspace has no
// share left. A refusal here takes less of a flooded router's processor time than one by the server
// (BenchmarkRefusal of the screener).
func (p *Proxier) Screen(h *http.Request) *screener.Refusal {
	now := p.options.Clock.Now()
	q := &request{http: h, received: now, table: p.options.FleetState.Table()}
	if q.table == nil {
		return nil
	}
	q.in = p.options.Dialect.Read(h.Header)
	if !p.locate(q) || !p.identify(q) {
		return nil
	}
	refusal := p.screen(q)
	if refusal == nil {
		return nil
	}
	q.status, q.reason = refusal.Status, refusal.Reason
	refusal.Retry = p.retryAfter(q, refusal.Retry)
	p.record(q)
	return refusal
}

// screen returns the refusal of a request with its minimum Retry-After, nil if the request is to be served.
func (p *Proxier) screen(q *request) *screener.Refusal {
	if p.busy(q) {
		q.refusedBy = byRouter
		p.noteOverload(q)
		return &screener.Refusal{Status: http.StatusServiceUnavailable, Reason: reasonRouterBusy, Retry: p.overloadRetryAfter(q)}
	}
	if !p.sharesEngines(q) {
		return nil
	}
	d, refused := p.options.Shares.WouldRefuse(q.received, q.workspace, float64(q.tokens()), q.late())
	if !refused {
		return nil
	}
	p.noteShareUsed(q, d)
	return &screener.Refusal{Status: http.StatusTooManyRequests, Reason: reasonShareUsed, Retry: q.retryInTime(d.RetryAfter)}
}

// noteOverload counts a request for which the router has no capacity, and adds its tokens to the demand
// of its workspace: the fleet must know that the workspace is waiting.
func (p *Proxier) noteOverload(q *request) {
	p.refusedForCapacity.Add(1)
	if p.sharesEngines(q) {
		p.options.Shares.CountShed(q.received, q.workspace, float64(q.tokens()))
	}
}
