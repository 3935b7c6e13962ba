package policy

import (
	"time"

	"shallotkeel.example/lib/estimator"
	"shallotkeel.example/lib/scheduler"
)

// router is a stand-in for a router: it holds waiting jobs and exchanges messages with
// the scheduler of its zone, or schedules by itself if it has a baseline.
type router struct {
	zone           *zone
	name           string
	incarnation    uint64
	seq            uint64
	waiting        map[uint64]*job
	running        map[uint64]*job
	runningOrder   []*job // running jobs in order of their grants
	baseline       *roundRobin
	usesFormerPool bool // whether it still reports to the replaced scheduler
	frozen         bool
}

func (r *router) id() scheduler.RouterID {
	return scheduler.RouterID{Name: r.name, Incarnation: r.incarnation}
}

// receive accepts a request from a caller and reports it, or queues it at the baseline.
func (r *router) receive(workspace int, cost, hint uint32) {
	r.seq++
	j := &job{seq: r.seq, workspace: workspace, router: r, incarnation: r.incarnation, cost: cost, hint: hint}
	r.waiting[j.seq] = j
	if r.baseline != nil {
		r.baseline.push(j)
		return
	}
	r.report(scheduler.Report{Router: r.id(), Tickets: []scheduler.Ticket{r.ticket(j)}})
}

// ticket returns the ticket of a waiting job.
func (r *router) ticket(j *job) scheduler.Ticket {
	return scheduler.Ticket{Seq: j.seq, Workspace: r.zone.fleet.names[j.workspace], Model: model, Hint: j.hint}
}

// report sends a report to the scheduler that the router uses. A frozen router sends
// none.
func (r *router) report(report scheduler.Report) {
	pool := r.zone.pool
	if r.usesFormerPool {
		pool = r.zone.formerPool
	}
	if !r.frozen {
		r.zone.fleet.after(r.zone.fleet.hop, func() { r.zone.apply(pool, report) })
	}
}

// receiveGrant sends a job to the granted engine. It declines a grant for a job that no
// longer waits, and ignores one for an earlier incarnation.
func (r *router) receiveGrant(incarnation, seq uint64, to *engine) {
	if r.frozen {
		return
	}
	j := r.waiting[seq]
	if incarnation != r.incarnation || j == nil {
		if incarnation == r.incarnation {
			r.report(scheduler.Report{Router: r.id(), Finished: []scheduler.Finish{{Seq: seq, Ending: scheduler.Declined}}})
		}
		return
	}
	r.start(j)
	if r.zone.fleet.partitionedBetween(r.zone, to.zone) {
		j.finished = true
		r.finish(j, 0, scheduler.Unreachable)
		return
	}
	to.submit(j)
}

// start marks a waiting job as running and lets its workspace submit the next one.
func (r *router) start(j *job) {
	delete(r.waiting, j.seq)
	r.running[j.seq] = j
	r.runningOrder = append(r.runningOrder, j)
	r.zone.fleet.submitNext(j.workspace)
}

// finish removes a running job and reports its ending.
func (r *router) finish(j *job, charged uint32, ending scheduler.Ending) {
	delete(r.running, j.seq)
	for i, other := range r.runningOrder {
		if other == j {
			r.runningOrder = append(r.runningOrder[:i], r.runningOrder[i+1:]...)
			break
		}
	}
	if r.baseline != nil {
		r.baseline.finish(j, charged)
		return
	}
	r.report(scheduler.Report{Router: r.id(), Finished: []scheduler.Finish{{
		Seq: j.seq, Charged: charged, Ending: ending, First: j.started.Sub(j.sent) + r.zone.fleet.prefill, Took: r.zone.fleet.now.Sub(j.sent),
	}}})
}

// progress reports the units that the running jobs have generated. Plain calls and
// the baseline have no progress reports.
func (r *router) progress() {
	if r.baseline != nil || len(r.runningOrder) == 0 || r.zone.fleet.plain {
		return
	}
	report := scheduler.Report{Router: r.id()}
	for _, j := range r.runningOrder {
		if charged := j.units(r.zone.fleet.now); charged > 0 {
			report.Progress = append(report.Progress, scheduler.Progress{Seq: j.seq, Charged: charged})
		}
	}
	r.report(report)
}

// sendFullReport sends all waiting and running jobs to a scheduler that has no state
// of this router.
func (r *router) sendFullReport() {
	now := r.zone.fleet.now
	report := scheduler.Report{Router: r.id(), Full: true}
	for seq := uint64(1); seq <= r.seq; seq++ {
		if j := r.waiting[seq]; j != nil {
			ticket := r.ticket(j)
			ticket.Waited = time.Minute
			report.Tickets = append(report.Tickets, ticket)
		}
	}
	for _, j := range r.runningOrder {
		if j.engine != nil {
			report.Running = append(report.Running, scheduler.Running{
				Seq: j.seq, Workspace: r.zone.fleet.names[j.workspace], Model: model, Endpoint: j.engine.id, Charged: j.units(now),
			})
		}
	}
	r.report(report)
}

// freeze stops the router for longer than its lease. Afterwards the router continues
// with the state that it had before, unaware of the pause.
func (r *router) freeze() {
	f := r.zone.fleet
	r.frozen = true
	f.after(detectionDelay, func() { r.zone.apply(r.zone.pool, scheduler.RouterGone{Router: r.id()}) })
	f.after(freezeDuration, func() {
		r.frozen = false
		if r.baseline == nil {
			r.sendFullReport()
			return
		}
		r.baseline.dispatch()
	})
}

// restart gives the router a new incarnation without state. Its running jobs are
// cancelled, and the callers of its waiting jobs submit new ones.
func (r *router) restart() {
	lost := make(map[int]int)
	for _, j := range r.waiting {
		lost[j.workspace]++
	}
	running := r.runningOrder
	r.incarnation++
	r.seq = 0
	r.waiting, r.running, r.runningOrder = make(map[uint64]*job), make(map[uint64]*job), nil
	if r.baseline != nil {
		r.baseline = newRoundRobin(r, len(r.zone.routers), len(r.zone.fleet.names))
	}
	for _, j := range running {
		if j.engine != nil {
			j.engine.finish(j, scheduler.Cancelled)
		}
	}
	r.report(scheduler.Report{Router: r.id(), Full: true})
	for workspace := range r.zone.fleet.names {
		for range lost[workspace] {
			r.zone.fleet.submitNext(workspace)
		}
	}
}

// roundRobin is the baseline: a router schedules its own queues by deficit round robin
// and uses at most a fixed share of each endpoint's slots.
type roundRobin struct {
	router       *router
	slotShare    int
	queues       [][]*job
	deficit      []float64
	current      int
	used         map[*engine]int
	engineOffset int
	meanCost     []float64 // learned cost by workspace, in units
}

// quantum is the deficit, in units, that a workspace of weight 1 gets per round.
const quantum = 100

// newRoundRobin returns the baseline of a router, which shares the engines of its zone with
// the given number of routers, itself included.
func newRoundRobin(r *router, routers, workspaces int) *roundRobin {
	slots := r.zone.engines[0].slots
	d := &roundRobin{
		router: r, slotShare: (slots + routers - 1) / routers,
		queues: make([][]*job, workspaces), deficit: make([]float64, workspaces),
		meanCost: make([]float64, workspaces), used: make(map[*engine]int),
	}
	for i := range d.meanCost {
		d.meanCost[i] = estimator.DefaultCost
	}
	return d
}

// push queues a job.
func (d *roundRobin) push(j *job) {
	d.queues[j.workspace] = append(d.queues[j.workspace], j)
	d.dispatch()
}

// finish corrects the deficit by the error of the estimate, updates the EWMA of the
// workspace's cost, and frees the slot.
func (d *roundRobin) finish(j *job, charged uint32) {
	d.deficit[j.workspace] -= float64(charged) - j.estimatedCost
	d.meanCost[j.workspace] += (float64(charged) - d.meanCost[j.workspace]) / 16
	d.used[j.baselineEngine]--
	d.dispatch()
}

// leastUsed returns the engine of which this router uses the fewest slots, nil if it
// uses its share of all of them. Ties are broken in rotation.
func (d *roundRobin) leastUsed() *engine {
	engines := d.router.zone.engines
	d.engineOffset++
	var best *engine
	for i := range engines {
		e := engines[(i+d.engineOffset)%len(engines)]
		if d.used[e] < d.slotShare && (best == nil || d.used[e] < d.used[best]) {
			best = e
		}
	}
	return best
}

// dispatch sends jobs to engines until no job waits, no slot of the router's share is
// free, or the router is frozen.
func (d *roundRobin) dispatch() {
	for !d.router.frozen {
		e := d.leastUsed()
		workspace := d.choose()
		if e == nil || workspace < 0 {
			return
		}
		j := d.queues[workspace][0]
		d.queues[workspace] = d.queues[workspace][1:]
		j.estimatedCost = d.meanCost[workspace]
		d.deficit[workspace] -= j.estimatedCost
		if d.deficit[workspace] <= 0 {
			d.advance()
		}
		d.used[e]++
		j.baselineEngine = e
		d.router.start(j)
		e.submit(j)
	}
}

// choose returns the next workspace in the rotation that has a waiting job and a
// positive deficit, -1 if no job waits.
func (d *roundRobin) choose() int {
	empty := 0
	for empty < len(d.queues) {
		if len(d.queues[d.current]) == 0 {
			d.deficit[d.current] = min(d.deficit[d.current], 0)
			empty++
			d.advance()
			continue
		}
		if d.deficit[d.current] > 0 {
			return d.current
		}
		empty = 0
		d.deficit[d.current] += quantum * d.router.zone.fleet.weights[d.current]
		if d.deficit[d.current] > 0 {
			return d.current
		}
		d.advance()
	}
	return -1
}

// advance moves to the next workspace in the rotation.
func (d *roundRobin) advance() {
	d.current = (d.current + 1) % len(d.queues)
}
