package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// grantGrace is how long a grant may be in transit. If a router lists a granted
// request as waiting within this time, the grant has not arrived yet; after it,
// the grant was lost and the request needs another.
const grantGrace = 2 * time.Second

// ReasonFull refuses a ticket because the pool already holds Options.MaxWaiting
// tickets.
const ReasonFull = "queue_full"

// applyReport processes a router's report.
func (p *Pool) applyReport(now time.Time, report Report) {
	from := p.router(now, report.Router)
	if from == nil {
		return
	}
	p.reportNumber++
	from.reportedFull = from.reportedFull || report.Full
	// Endings are processed first because they free slots that the rest may
	// need.
	for _, finish := range report.Finished {
		p.applyFinish(now, from, finish)
	}
	for _, running := range report.Running {
		p.enrolRunning(now, from, running)
	}
	for _, progress := range report.Progress {
		p.applyProgress(now, from, progress)
	}
	for i := range report.Tickets {
		p.enrol(now, from, &report.Tickets[i])
	}
	if report.Full {
		p.dropUnlisted(now, from)
	}
}

// router returns the state of this incarnation of a router and creates it if
// necessary. It returns nil for a superseded incarnation or if there are too
// many routers. A restarted router has lost its state, so the requests of its
// former incarnation are dropped.
func (p *Pool) router(now time.Time, id RouterID) *router {
	known := p.routers[id.Name]
	if known != nil && id.Incarnation < known.id.Incarnation {
		return nil
	}
	if known != nil && id.Incarnation > known.id.Incarnation {
		p.dropRequests(now, known)
		known = nil
	}
	if known == nil {
		if len(p.routers) >= maxRouters {
			return nil
		}
		known = &router{id: id}
		p.routers[id.Name] = known
	}
	if known.requests == nil {
		known.requests = make(map[uint64]*request)
	}
	known.gone = false
	known.lastSeen = now
	return known
}

// routerGone drops the requests of a router whose lease has expired.
func (p *Pool) routerGone(now time.Time, id RouterID) {
	known := p.routers[id.Name]
	if known == nil || known.id != id {
		return
	}
	p.dropRequests(now, known)
	known.gone = true
	known.reportedFull = false
	known.lastSeen = now
	p.addDeadline(now.Add(routerRetention + 1))
}

// dropRequests drops all requests of a router, in order, so that the result is
// deterministic.
func (p *Pool) dropRequests(now time.Time, from *router) {
	for _, seq := range slices.Sorted(maps.Keys(from.requests)) {
		p.dropRequest(now, from.requests[seq])
	}
	from.requests = nil
}

// dropUnlisted drops the requests that the current full report did not list.
func (p *Pool) dropUnlisted(now time.Time, from *router) {
	for _, seq := range slices.Sorted(maps.Keys(from.requests)) {
		if r := from.requests[seq]; r.reportNumber != p.reportNumber {
			p.dropRequest(now, r)
		}
	}
}

// dropRequest drops a request, waiting or running.
func (p *Pool) dropRequest(now time.Time, r *request) {
	if r.running {
		p.releaseRequest(now, r)
		return
	}
	p.dropTicket(r)
}

// enrol adds a ticket, or processes the repetition of a known one.
func (p *Pool) enrol(now time.Time, from *router, t *Ticket) {
	if r := from.requests[t.Seq]; r != nil {
		r.reportNumber = p.reportNumber
		if r.running && !r.confirmed && now.Sub(r.granted) >= grantGrace {
			p.requeue(now, r)
		}
		return
	}
	if p.waiting >= p.options.MaxWaiting {
		p.emit(Refusal{Request: RequestID{Router: from.id, Seq: t.Seq}, Reason: ReasonFull, Retry: p.options.NoEndpointAfter})
		return
	}
	r := &request{
		seq: t.Seq, router: from, arrived: now, reportNumber: p.reportNumber,
		hint: t.Hint, prompt: t.Prompt, prefix: t.Prefix,
	}
	w := p.workspace(t.Workspace)
	// A ticket older than this pool was already backlogged under the former
	// scheduler, so its workspace keeps its credit and is not lifted.
	if w.waiting == 0 && !now.Add(-t.Waited).Before(p.startedAt) {
		p.lift(w)
	}
	if w.waiting == 0 {
		p.forgive(w)
	}
	from.requests[t.Seq] = r
	p.queue(now, p.lane(w, ticketKey(t), t.Avoid), r)
}

func ticketKey(t *Ticket) laneKey {
	return laneKey{model: t.Model, alone: t.Alone, avoid: strings.Join(t.Avoid, "\x00")}
}

// queue appends a request to a lane.
func (p *Pool) queue(now time.Time, l *lane, r *request) {
	p.arrivalNumber++
	r.arrivalNumber = p.arrivalNumber
	l.push(r)
	l.workspace.waiting++
	p.waiting++
	p.activate(now, l)
	p.reprice(l.workspace)
}

// requeue puts a request whose grant was lost back into its lane.
func (p *Pool) requeue(now time.Time, r *request) {
	l := r.lane
	p.vacate(now, r)
	p.queue(now, l, r)
}

// dropTicket drops a waiting request.
func (p *Pool) dropTicket(r *request) {
	l := r.lane
	p.unqueue(l, r)
	delete(r.router.requests, r.seq)
	p.deactivate(l)
}

// unqueue removes a request from its lane.
func (p *Pool) unqueue(l *lane, r *request) {
	l.unlink(r)
	l.workspace.waiting--
	p.waiting--
	l.updateHeap()
}

// enrolRunning adds a running request that another scheduler granted.
func (p *Pool) enrolRunning(now time.Time, from *router, running Running) {
	if r := from.requests[running.Seq]; r != nil {
		r.reportNumber = p.reportNumber
		if r.running {
			r.confirmed = true
			p.charge(now, r, running.Charged)
			return
		}
		p.dropTicket(r)
	}
	w := p.workspace(running.Workspace)
	l := p.lane(w, laneKey{model: running.Model}, nil)
	r := &request{
		seq: running.Seq, router: from, lane: l, arrived: now, granted: now, reportNumber: p.reportNumber,
		running: true, confirmed: true, target: running.Endpoint,
		inheritedUnits: uint64(running.Charged), used: uint64(running.Charged),
	}
	r.estimate = max(uint64(l.record.Estimate(0)), r.used)
	from.requests[r.seq] = r
	p.countRunning(r)
	p.attachRunning(now, r)
	p.reprice(w)
}

// attachRunning counts a request at the endpoint that its router named.
func (p *Pool) attachRunning(now time.Time, r *request) {
	e := p.endpoints[r.target]
	if e == nil {
		p.unplaced[r.target] = append(p.unplaced[r.target], r)
		return
	}
	r.endpoint = e
	e.foreign = max(0, e.foreign-1)
	e.occupy(now, r.lane.key.alone)
	p.addDeadline(now.Add(e.hangTimeout(p.options)))
	p.recount(now, e)
}

// countRunning counts a request as running.
func (p *Pool) countRunning(r *request) {
	w := r.lane.workspace
	w.running++
	w.reserved += r.reserved()
	p.running++
	p.updatePeaks(w)
}

// applyProgress charges the units that a request has used since the last
// report.
func (p *Pool) applyProgress(now time.Time, from *router, progress Progress) {
	r := from.requests[progress.Seq]
	if r == nil || !r.running {
		return
	}
	r.confirmed = true
	p.charge(now, r, progress.Charged)
}

// charge raises the request's charge to the total units used. A total that does
// not exceed the last one comes from a delayed report and is ignored.
func (p *Pool) charge(now time.Time, r *request, units uint32) {
	if units == 0 {
		return
	}
	total := uint64(units) + uint64(r.prompt)
	if total <= r.used {
		return
	}
	w := r.lane.workspace
	w.reserved -= r.reserved()
	w.account.Charge(total - r.used)
	r.used = total
	p.maxRequestCost = max(p.maxRequestCost, float64(total))
	w.reserved += r.reserved()
	p.reprice(w)
	if e := r.endpoint; e != nil {
		hung := e.hung
		e.noteProgress(now)
		if hung && !e.gone {
			p.recount(now, e)
		}
	}
}

// applyFinish ends an attempt, or withdraws a waiting ticket.
func (p *Pool) applyFinish(now time.Time, from *router, finish Finish) {
	r := from.requests[finish.Seq]
	if r == nil {
		return
	}
	if !r.running {
		p.dropTicket(r)
		return
	}
	p.charge(now, r, finish.Charged)
	p.learnFromEnding(now, r, finish)
	r.slotReusable = finish.Ending == Done || finish.Ending == Cancelled
	p.releaseRequest(now, r)
}

// learnFromEnding updates the cost estimate and the endpoint's state from the
// ending of an attempt.
func (p *Pool) learnFromEnding(now time.Time, r *request, finish Finish) {
	if finish.Ending == Done && r.inheritedUnits == 0 {
		r.lane.record.Learn(r.hint, finish.Charged)
	}
	e := r.endpoint
	if e == nil || e.gone {
		return
	}
	e.probation.observe(now, finish.Ending)
	if finish.Backoff > 0 {
		e.probation.backOff(now.Add(finish.Backoff))
	}
	e.leaving = e.leaving || finish.Leaving
	switch finish.Ending {
	case Done:
		e.noteProgress(now)
		e.observeFinish(r, finish, p.options.Plain)
	case Refused:
		e.throttle.Refused()
	case Cancelled, Failed, Unreachable, Declined:
	}
	if e.probation.closed(now) {
		p.addDeadline(e.probation.reopensAt())
	}
}

// applyDeclinations takes back grants for requests that are no longer waiting.
func (p *Pool) applyDeclinations(now time.Time, declinations Declinations) {
	from := p.routers[declinations.Router.Name]
	if from == nil || from.id != declinations.Router {
		return
	}
	for _, seq := range declinations.Seqs {
		if r := from.requests[seq]; r != nil && r.running && r.used == 0 {
			p.releaseRequest(now, r)
		}
	}
}

// releaseRequest removes a running request and frees its slot. The unused part of its
// reservation is returned to its workspace.
func (p *Pool) releaseRequest(now time.Time, r *request) {
	p.vacate(now, r)
	delete(r.router.requests, r.seq)
	p.reprice(r.lane.workspace)
	p.deactivate(r.lane)
}

// vacate frees the slot of a running request.
func (p *Pool) vacate(now time.Time, r *request) {
	w := r.lane.workspace
	w.reserved -= r.reserved()
	w.running--
	p.running--
	r.running = false
	if r.borrowing != nil {
		p.vacateBorrowing(now, r.borrowing, r.slotReusable)
		r.borrowing = nil
	}
	if e := r.endpoint; e != nil {
		r.endpoint = nil
		e.vacate(now, r.lane.key.alone)
		if e.probation.closed(now) {
			p.addDeadline(e.probation.reopensAt())
		}
		if !e.gone {
			p.recount(now, e)
		}
		return
	}
	p.removeUnplaced(r)
}

// removeUnplaced removes a request from those whose endpoint is unknown.
func (p *Pool) removeUnplaced(r *request) {
	requests := p.unplaced[r.target]
	index := slices.Index(requests, r)
	if index < 0 {
		return
	}
	if len(requests) == 1 {
		delete(p.unplaced, r.target)
		return
	}
	p.unplaced[r.target] = slices.Delete(requests, index, index+1)
}
