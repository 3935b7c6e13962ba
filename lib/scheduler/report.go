package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// grantGrace is how long a grant may be on its way. A router that lists a
// granted request as waiting before that has yet to get the grant; after it the
// grant was lost, and the request needs another.
const grantGrace = 2 * time.Second

// ReasonFull refuses a ticket because the pool holds as many as it may.
const ReasonFull = "queue_full"

// report takes a router's news in.
func (p *Pool) report(now time.Time, report Report) {
	from := p.router(now, report.Router)
	if from == nil {
		return
	}
	p.reports++
	from.known = from.known || report.Full
	// Endings come first: they free the slots that the rest may need.
	for _, finish := range report.Finished {
		p.finish(now, from, finish)
	}
	for _, running := range report.Running {
		p.enrolRunning(now, from, running)
	}
	for _, progress := range report.Progress {
		p.progress(now, from, progress)
	}
	for i := range report.Tickets {
		p.enrol(now, from, &report.Tickets[i])
	}
	if report.Full {
		p.dropUnlisted(now, from)
	}
}

// router returns that life of a router, nil for one that is over. A restarted
// router has no memory: whatever its former life waited for or ran is gone.
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
	known.heard = now
	return known
}

func (p *Pool) routerGone(now time.Time, id RouterID) {
	known := p.routers[id.Name]
	if known == nil || known.id != id {
		return
	}
	p.dropRequests(now, known)
	known.gone = true
	known.known = false
	known.heard = now
	p.wake(now.Add(routerMemory + 1))
}

func (p *Pool) dropRequests(now time.Time, from *router) {
	for _, seq := range slices.Sorted(maps.Keys(from.requests)) {
		p.drop(now, from.requests[seq])
	}
	from.requests = nil
}

func (p *Pool) dropUnlisted(now time.Time, from *router) {
	for _, seq := range slices.Sorted(maps.Keys(from.requests)) {
		if r := from.requests[seq]; r.mark != p.reports {
			p.drop(now, r)
		}
	}
}

// drop forgets a request, waiting or running.
func (p *Pool) drop(now time.Time, r *request) {
	if r.running {
		p.release(now, r)
		return
	}
	p.dropTicket(r)
}

// enrol takes a ticket in, or one that is known already.
func (p *Pool) enrol(now time.Time, from *router, t *Ticket) {
	if r := from.requests[t.Seq]; r != nil {
		r.mark = p.reports
		if r.running && !r.heard && now.Sub(r.granted) >= grantGrace {
			p.requeue(now, r)
		}
		return
	}
	if p.waiting >= p.options.MaxWaiting {
		p.act(Refusal{Request: RequestID{Router: from.id, Seq: t.Seq}, Reason: ReasonFull, Retry: p.options.NoEndpointAfter})
		return
	}
	r := &request{
		seq: t.Seq, router: from, arrived: now, mark: p.reports,
		hint: t.Hint, prompt: t.Prompt, prefix: t.Prefix,
	}
	w := p.workspace(t.Workspace)
	// A ticket older than this pool was backlogged before: its workspace keeps
	// what it was owed.
	if w.waiting == 0 && !now.Add(-t.Waited).Before(p.started) {
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

func (p *Pool) queue(now time.Time, l *lane, r *request) {
	p.arrivals++
	r.order = p.arrivals
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

// dropTicket forgets a waiting request.
func (p *Pool) dropTicket(r *request) {
	l := r.lane
	p.unqueue(l, r)
	delete(r.router.requests, r.seq)
	p.retire(l)
}

// unqueue takes a request out of its lane.
func (p *Pool) unqueue(l *lane, r *request) {
	l.unlink(r)
	l.workspace.waiting--
	p.waiting--
	l.settle()
}

// enrolRunning takes in a request that another scheduler granted.
func (p *Pool) enrolRunning(now time.Time, from *router, running Running) {
	if r := from.requests[running.Seq]; r != nil {
		r.mark = p.reports
		if r.running {
			r.heard = true
			p.charge(now, r, running.Charged)
			return
		}
		p.dropTicket(r)
	}
	w := p.workspace(running.Workspace)
	l := p.lane(w, laneKey{model: running.Model}, nil)
	r := &request{
		seq: running.Seq, router: from, lane: l, arrived: now, granted: now, mark: p.reports,
		running: true, heard: true, target: running.Endpoint,
		baseline: uint64(running.Charged), used: uint64(running.Charged),
	}
	r.estimate = max(uint64(l.record.Estimate(0)), r.used)
	from.requests[r.seq] = r
	p.start(r)
	p.place(now, r)
	p.reprice(w)
}

// place counts a request at the endpoint that its router named.
func (p *Pool) place(now time.Time, r *request) {
	e := p.endpoints[r.target]
	if e == nil {
		p.unplaced[r.target] = append(p.unplaced[r.target], r)
		return
	}
	r.endpoint = e
	e.foreign = max(0, e.foreign-1)
	e.occupy(now, r.lane.key.alone)
	p.wake(now.Add(e.patience(p.options)))
	p.count(now, e)
}

// start counts a request as running.
func (p *Pool) start(r *request) {
	w := r.lane.workspace
	w.running++
	w.reserved += r.reserved()
	p.running++
	p.notePeak(w)
}

// progress charges what a request has used since the last news of it.
func (p *Pool) progress(now time.Time, from *router, progress Progress) {
	r := from.requests[progress.Seq]
	if r == nil || !r.running {
		return
	}
	r.heard = true
	p.charge(now, r, progress.Charged)
}

// charge brings the request's charge up to the units used in all. An older
// number than the last is late news and changes nothing.
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
	p.largest = max(p.largest, float64(total))
	w.reserved += r.reserved()
	p.reprice(w)
	if e := r.endpoint; e != nil {
		hung := e.hung
		e.signal(now)
		if hung && !e.gone {
			p.count(now, e)
		}
	}
}

// finish ends an attempt, or takes a waiting ticket back.
func (p *Pool) finish(now time.Time, from *router, finish Finish) {
	r := from.requests[finish.Seq]
	if r == nil {
		return
	}
	if !r.running {
		p.dropTicket(r)
		return
	}
	p.charge(now, r, finish.Charged)
	p.learn(now, r, finish)
	r.well = finish.Ending == Done || finish.Ending == Cancelled
	p.release(now, r)
}

// learn lets the ending teach what it can about cost and about the endpoint.
func (p *Pool) learn(now time.Time, r *request, finish Finish) {
	if finish.Ending == Done && r.baseline == 0 {
		r.lane.record.Learn(r.hint, finish.Charged)
	}
	e := r.endpoint
	if e == nil || e.gone {
		return
	}
	e.probation.end(now, finish.Ending)
	if finish.Backoff > 0 {
		e.probation.backOff(now.Add(finish.Backoff))
	}
	e.leaving = e.leaving || finish.Leaving
	switch finish.Ending {
	case Done:
		e.signal(now)
		e.finished(r, finish, p.options.Plain)
	case Refused:
		e.throttle.Refused()
	case Cancelled, Failed, Unreachable, Declined:
	}
	if e.probation.closed(now) {
		p.wake(e.probation.opens())
	}
}

// declined takes grants back that came for requests that no longer wait.
func (p *Pool) declined(now time.Time, declinations Declinations) {
	from := p.routers[declinations.Router.Name]
	if from == nil || from.id != declinations.Router {
		return
	}
	for _, seq := range declinations.Seqs {
		if r := from.requests[seq]; r != nil && r.running && r.used == 0 {
			p.release(now, r)
		}
	}
}

// release forgets a running request and frees its slot. What its estimate
// reserved and it did not use is given back to its workspace.
func (p *Pool) release(now time.Time, r *request) {
	p.vacate(now, r)
	delete(r.router.requests, r.seq)
	p.reprice(r.lane.workspace)
	p.retire(r.lane)
}

// vacate frees the slot of a running request.
func (p *Pool) vacate(now time.Time, r *request) {
	w := r.lane.workspace
	w.reserved -= r.reserved()
	w.running--
	p.running--
	r.running = false
	if r.loan != nil {
		p.leave(now, r.loan, r.well)
		r.loan = nil
	}
	if e := r.endpoint; e != nil {
		r.endpoint = nil
		e.vacate(now, r.lane.key.alone)
		if e.probation.closed(now) {
			p.wake(e.probation.opens())
		}
		if !e.gone {
			p.count(now, e)
		}
		return
	}
	p.forgetUnplaced(r)
}

func (p *Pool) forgetUnplaced(r *request) {
	waiting := p.unplaced[r.target]
	at := slices.Index(waiting, r)
	if at < 0 {
		return
	}
	if len(waiting) == 1 {
		delete(p.unplaced, r.target)
		return
	}
	p.unplaced[r.target] = slices.Delete(waiting, at, at+1)
}
