package scheduler

import "time"

const (
	// peakHalfLife is the time in which a recorded peak decays by the factor
	// peakDecay.
	peakHalfLife = 10 * time.Second
	peakDecay    = 0.5
	// routerRetention is how long the incarnation of a router that is gone is
	// stored, so that a late report of that incarnation is rejected.
	routerRetention = 10 * time.Minute
	// maxRouters bounds the number of stored routers, whatever the fleet's
	// size.
	maxRouters = 4096
)

// expire ends everything whose deadline has passed and computes the next
// deadline.
func (p *Pool) expire(now time.Time) {
	p.nextDeadline = time.Time{}
	for _, e := range p.endpointsByIndex {
		if e != nil {
			p.expireEndpoint(now, e)
		}
	}
	p.expireLoans(now)
	p.expireZones(now)
	p.expireStranded(now)
	p.expireRouters(now)
	p.agePeaks(now)
}

// expireEndpoint removes an idle endpoint whose time to live has ended, detects a
// hung one, and schedules the next check.
func (p *Pool) expireEndpoint(now time.Time, e *endpoint) {
	if !now.Before(e.expires) && e.busy() == 0 {
		p.removeEndpoint(now, e)
		return
	}
	if e.running > 0 && !e.hung {
		hungAt := e.lastProgress.Add(e.hangTimeout(p.options))
		if now.Before(hungAt) {
			p.addDeadline(hungAt)
		} else {
			e.hung = true
		}
	}
	if now.Before(e.expires) {
		p.addDeadline(e.expires)
	}
	if e.probation.closed(now) {
		p.addDeadline(e.probation.reopensAt())
	}
	p.recount(now, e)
}

// expireStranded refuses tickets that no endpoint could serve for
// Options.NoEndpointAfter, with the time after which their callers may retry.
func (p *Pool) expireStranded(now time.Time) {
	for _, w := range p.workspaceList {
		for _, l := range append([]*lane(nil), w.active...) {
			p.refuseStranded(now, l)
		}
	}
}

// refuseStranded refuses the tickets of one lane that have waited for
// Options.NoEndpointAfter.
func (p *Pool) refuseStranded(now time.Time, l *lane) {
	if l.strandedSince.IsZero() || l.remote() {
		return
	}
	for l.first != nil {
		since := l.strandedSince
		if l.first.arrived.After(since) {
			since = l.first.arrived
		}
		deadline := since.Add(p.options.NoEndpointAfter)
		if now.Before(deadline) {
			p.addDeadline(deadline)
			return
		}
		r := l.first
		p.dropTicket(r)
		p.emit(Refusal{Request: r.id(), Reason: ReasonNoEndpoint, Retry: p.options.NoEndpointAfter})
	}
}

// expireRouters deletes routers that have been gone for routerRetention.
func (p *Pool) expireRouters(now time.Time) {
	for name, r := range p.routers {
		if r.gone && now.Sub(r.lastSeen) > routerRetention {
			delete(p.routers, name)
		}
	}
}

// agePeaks halves the recorded peaks every peakHalfLife.
func (p *Pool) agePeaks(now time.Time) {
	if now.Sub(p.peaksAgedAt) < peakHalfLife {
		return
	}
	p.peaksAgedAt = now
	p.peakInFlight *= peakDecay
	p.peakRunning *= peakDecay
	p.peakJump *= peakDecay
	p.maxRequestCost *= peakDecay
	for _, w := range p.workspaceList {
		p.updatePeaks(w)
	}
}
