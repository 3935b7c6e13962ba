package policy

import (
	"time"

	"shallotkeel.example/lib/estimator"
	"shallotkeel.example/lib/scheduler"
)

// router is a stand-in for a router: it holds waiting jobs and carries messages.
type router struct {
	zone    *zone
	name    string
	life    uint64
	seq     uint64
	waiting map[uint64]*job
	running map[uint64]*job
	order   []*job // those that run, in order of their grants
	alone   *roundRobin
	former  bool // it still believes in the former scheduler
	frozen  bool
}

func (r *router) id() scheduler.RouterID {
	return scheduler.RouterID{Name: r.name, Incarnation: r.life}
}

// receive takes a caller's request in.
func (r *router) receive(workspace int, cost, hint uint32) {
	r.seq++
	j := &job{seq: r.seq, workspace: workspace, router: r, life: r.life, cost: cost, hint: hint}
	r.waiting[j.seq] = j
	if r.alone != nil {
		r.alone.push(j)
		return
	}
	r.report(scheduler.Report{Router: r.id(), Tickets: []scheduler.Ticket{r.ticket(j)}})
}

func (r *router) ticket(j *job) scheduler.Ticket {
	return scheduler.Ticket{Seq: j.seq, Workspace: r.zone.fleet.names[j.workspace], Model: model, Hint: j.hint}
}

// report sends news to the pool's scheduler.
func (r *router) report(report scheduler.Report) {
	pool := r.zone.pool
	if r.former {
		pool = r.zone.former
	}
	if !r.frozen {
		r.zone.fleet.after(r.zone.fleet.hop, func() { r.zone.apply(pool, report) })
	}
}

// granted sends a job to the endpoint that the scheduler named.
func (r *router) granted(life, seq uint64, to *engine) {
	if r.frozen {
		return
	}
	j := r.waiting[seq]
	if life != r.life || j == nil {
		if life == r.life {
			r.report(scheduler.Report{Router: r.id(), Finished: []scheduler.Finish{{Seq: seq, Ending: scheduler.Declined}}})
		}
		return
	}
	r.start(j)
	if r.zone.fleet.cutBetween(r.zone, to.zone) {
		j.over = true
		r.ended(j, 0, scheduler.Unreachable)
		return
	}
	to.submit(j)
}

func (r *router) start(j *job) {
	delete(r.waiting, j.seq)
	r.running[j.seq] = j
	r.order = append(r.order, j)
	r.zone.fleet.replace(j.workspace)
}

// ended takes the ending of an attempt in.
func (r *router) ended(j *job, charged uint32, ending scheduler.Ending) {
	delete(r.running, j.seq)
	for i, other := range r.order {
		if other == j {
			r.order = append(r.order[:i], r.order[i+1:]...)
			break
		}
	}
	if r.alone != nil {
		r.alone.ended(j, charged)
		return
	}
	r.report(scheduler.Report{Router: r.id(), Finished: []scheduler.Finish{{
		Seq: j.seq, Charged: charged, Ending: ending, First: j.started.Sub(j.sent) + r.zone.fleet.prefill, Took: r.zone.fleet.now.Sub(j.sent),
	}}})
}

// progress tells how far the running jobs are.
func (r *router) progress() {
	if r.alone != nil || len(r.order) == 0 || r.zone.fleet.plain {
		return
	}
	report := scheduler.Report{Router: r.id()}
	for _, j := range r.order {
		if charged := j.units(r.zone.fleet.now); charged > 0 {
			report.Progress = append(report.Progress, scheduler.Progress{Seq: j.seq, Charged: charged})
		}
	}
	r.report(report)
}

// enrol tells a new scheduler everything.
func (r *router) enrol() {
	now := r.zone.fleet.now
	report := scheduler.Report{Router: r.id(), Full: true}
	for seq := uint64(1); seq <= r.seq; seq++ {
		if j := r.waiting[seq]; j != nil {
			ticket := r.ticket(j)
			ticket.Waited = time.Minute
			report.Tickets = append(report.Tickets, ticket)
		}
	}
	for _, j := range r.order {
		if j.engine != nil {
			report.Running = append(report.Running, scheduler.Running{
				Seq: j.seq, Workspace: r.zone.fleet.names[j.workspace], Model: model, Endpoint: j.engine.id, Charged: j.units(now),
			})
		}
	}
	r.report(report)
}

// freeze stops the router for longer than its lease; then it goes on as if
// nothing had happened.
func (r *router) freeze() {
	f := r.zone.fleet
	r.frozen = true
	f.after(detection, func() { r.zone.apply(r.zone.pool, scheduler.RouterGone{Router: r.id()}) })
	f.after(frozenFor, func() {
		r.frozen = false
		if r.alone == nil {
			r.enrol()
			return
		}
		r.alone.run()
	})
}

// restart loses the router's memory; its connections break.
func (r *router) restart() {
	lost := make(map[int]int)
	for _, j := range r.waiting {
		lost[j.workspace]++
	}
	running := r.order
	r.life++
	r.seq = 0
	r.waiting, r.running, r.order = make(map[uint64]*job), make(map[uint64]*job), nil
	if r.alone != nil {
		r.alone = newRoundRobin(r, len(r.zone.routers), len(r.zone.fleet.names))
	}
	for _, j := range running {
		if j.engine != nil {
			j.engine.end(j, scheduler.Cancelled)
		}
	}
	r.report(scheduler.Report{Router: r.id(), Full: true})
	for workspace := range r.zone.fleet.names {
		for range lost[workspace] {
			r.zone.fleet.replace(workspace)
		}
	}
}

// roundRobin is the baseline: deficit round robin over a router's own queues,
// with a fixed share of each endpoint's slots.
type roundRobin struct {
	router  *router
	share   int
	queues  [][]*job
	deficit []float64
	turn    int
	used    map[*engine]int
	next    int
	usual   []float64 // learned cost per workspace
}

const quantum = 100 // units

func newRoundRobin(r *router, routers, workspaces int) *roundRobin {
	slots := r.zone.engines[0].slots
	d := &roundRobin{
		router: r, share: (slots + routers - 1) / routers,
		queues: make([][]*job, workspaces), deficit: make([]float64, workspaces),
		usual: make([]float64, workspaces), used: make(map[*engine]int),
	}
	for i := range d.usual {
		d.usual[i] = estimator.DefaultCost
	}
	return d
}

func (d *roundRobin) push(j *job) {
	d.queues[j.workspace] = append(d.queues[j.workspace], j)
	d.run()
}

func (d *roundRobin) ended(j *job, charged uint32) {
	d.deficit[j.workspace] -= float64(charged) - j.estimate
	d.usual[j.workspace] += (float64(charged) - d.usual[j.workspace]) / 16
	d.used[j.place]--
	d.run()
}

// free returns the endpoint where this router has most of its share left.
func (d *roundRobin) free() *engine {
	engines := d.router.zone.engines
	d.next++
	var best *engine
	for i := range engines {
		e := engines[(i+d.next)%len(engines)]
		if d.used[e] < d.share && (best == nil || d.used[e] < d.used[best]) {
			best = e
		}
	}
	return best
}

func (d *roundRobin) run() {
	for !d.router.frozen {
		e := d.free()
		workspace := d.choose()
		if e == nil || workspace < 0 {
			return
		}
		j := d.queues[workspace][0]
		d.queues[workspace] = d.queues[workspace][1:]
		j.estimate = d.usual[workspace]
		d.deficit[workspace] -= j.estimate
		if d.deficit[workspace] <= 0 {
			d.advance()
		}
		d.used[e]++
		j.place = e
		d.router.start(j)
		e.submit(j)
	}
}

// choose returns the workspace whose turn it is, -1 if nothing waits.
func (d *roundRobin) choose() int {
	empty := 0
	for empty < len(d.queues) {
		if len(d.queues[d.turn]) == 0 {
			d.deficit[d.turn] = min(d.deficit[d.turn], 0)
			empty++
			d.advance()
			continue
		}
		if d.deficit[d.turn] > 0 {
			return d.turn
		}
		empty = 0
		d.deficit[d.turn] += quantum * d.router.zone.fleet.weights[d.turn]
		if d.deficit[d.turn] > 0 {
			return d.turn
		}
		d.advance()
	}
	return -1
}

func (d *roundRobin) advance() {
	d.turn = (d.turn + 1) % len(d.queues)
}
