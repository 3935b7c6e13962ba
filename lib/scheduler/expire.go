package scheduler

import "time"

const (
	// peakAge is how long a remembered peak takes to fall to the share peakHalf.
	peakAge  = 10 * time.Second
	peakHalf = 0.5
	// routerMemory is how long the incarnation of a router that is gone is
	// remembered, so that a late report of that life is not taken for news.
	routerMemory = 10 * time.Minute
	// maxRouters bounds the routers remembered, whatever the fleet's size.
	maxRouters = 4096
)

// expire ends everything whose time is over and works out the next deadline.
func (p *Pool) expire(now time.Time) {
	p.due = time.Time{}
	for _, e := range p.seats {
		if e != nil {
			p.expireEndpoint(now, e)
		}
	}
	p.expireLoans(now)
	p.expireZones(now)
	p.expireStranded(now)
	p.expireRouters(now)
	p.age(now)
}

func (p *Pool) expireEndpoint(now time.Time, e *endpoint) {
	if !now.Before(e.expires) && e.busy() == 0 {
		p.forget(now, e)
		return
	}
	if e.running > 0 && !e.hung {
		silent := e.sign.Add(e.patience(p.options))
		if now.Before(silent) {
			p.wake(silent)
		} else {
			e.hung = true
		}
	}
	if now.Before(e.expires) {
		p.wake(e.expires)
	}
	if e.probation.closed(now) {
		p.wake(e.probation.opens())
	}
	p.count(now, e)
}

// expireStranded refuses tickets that no endpoint could serve for the stated
// time, so that their callers learn when to come back.
func (p *Pool) expireStranded(now time.Time) {
	for _, w := range p.order {
		for _, l := range append([]*lane(nil), w.active...) {
			p.refuseStranded(now, l)
		}
	}
}

func (p *Pool) refuseStranded(now time.Time, l *lane) {
	if l.stranded.IsZero() || l.remote() {
		return
	}
	for l.first != nil {
		since := l.stranded
		if l.first.arrived.After(since) {
			since = l.first.arrived
		}
		deadline := since.Add(p.options.NoEndpointAfter)
		if now.Before(deadline) {
			p.wake(deadline)
			return
		}
		r := l.first
		p.dropTicket(r)
		p.act(Refusal{Request: r.id(), Reason: ReasonNoEndpoint, Retry: p.options.NoEndpointAfter})
	}
}

func (p *Pool) expireRouters(now time.Time) {
	for name, r := range p.routers {
		if r.gone && now.Sub(r.heard) > routerMemory {
			delete(p.routers, name)
		}
	}
}

// age halves what is remembered of the peaks.
func (p *Pool) age(now time.Time) {
	if now.Sub(p.aged) < peakAge {
		return
	}
	p.aged = now
	p.peakInFlight *= peakHalf
	p.peakRunning *= peakHalf
	p.peakJump *= peakHalf
	p.largest *= peakHalf
	for _, w := range p.order {
		p.notePeak(w)
	}
}
