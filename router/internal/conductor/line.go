package conductor

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// line is this router's end for one service of its zone.
type line struct {
	service  string
	enlister *enlister.Enlister
	owner    detector.Member
	assigned bool
}

// Waiter is one request that waits for or holds a slot.
type Waiter struct {
	// Outcome gets exactly one value, unless the request is withdrawn first.
	Outcome   chan enlister.Outcome
	conductor *Conductor
	service   string
	seq       uint64
}

// Enrol lets a request wait for a slot of a service. It returns nil when the
// conductor has ended.
func (c *Conductor) Enrol(ctx context.Context, service string, ticket scheduler.Ticket) *Waiter {
	w := &Waiter{Outcome: make(chan enlister.Outcome, 1), conductor: c, service: service}
	if !c.do(ctx, func() { c.enrol(w, ticket) }) {
		// The event may still run: it must not leave a request behind that
		// nobody waits for.
		w.Finish(scheduler.Finish{Ending: scheduler.Cancelled})
		return nil
	}
	return w
}

func (c *Conductor) enrol(w *Waiter, ticket scheduler.Ticket) {
	c.seq++
	w.seq = c.seq
	ticket.Seq = w.seq
	c.pending[w.seq] = w
	c.line(w.service).enlister.Add(c.clock.Now(), ticket)
}

// Progress tells the units that the request has used in all.
func (w *Waiter) Progress(charged uint32) {
	w.conductor.post(func() { w.conductor.line(w.service).enlister.Progress(w.seq, charged) })
}

// Finish gives the slot back or withdraws the request.
func (w *Waiter) Finish(finish scheduler.Finish) {
	w.conductor.post(func() {
		finish.Seq = w.seq
		delete(w.conductor.pending, w.seq)
		w.conductor.line(w.service).enlister.Finish(finish)
	})
}

func (c *Conductor) line(service string) *line {
	if known := c.lines[service]; known != nil {
		return known
	}
	l := &line{
		service:  service,
		enlister: &enlister.Enlister{Zone: c.options.Zone, Service: service, Router: c.self},
	}
	c.lines[service] = l
	c.reassign(c.clock.Now(), l)
	return l
}

// reassign makes the line enrol with the pool's present scheduler.
func (c *Conductor) reassign(now time.Time, l *line) {
	owner, found := c.owner(l.service)
	same := owner.Name == l.owner.Name && owner.Incarnation == l.owner.Incarnation
	if found == l.assigned && same {
		return
	}
	l.owner, l.assigned = owner, found
	l.enlister.Restart(now)
}

// stepLines sends the batches that are due.
func (c *Conductor) stepLines(now time.Time) (next time.Time) {
	for _, l := range c.lines {
		for l.assigned {
			batch := l.enlister.Next(now)
			if batch == nil {
				break
			}
			c.exchange(now, l, batch)
		}
		next = earliest(next, l.enlister.NextWake())
	}
	return next
}

// exchange sends a batch; to this router itself without a call.
func (c *Conductor) exchange(now time.Time, l *line, batch *messenger.ExchangeRequest) {
	if l.owner.Name == c.self.Name {
		c.deliver(l.enlister.Answered(now, batch.GetNumber(), c.receive(now, batch)))
		return
	}
	method := c.peers.get(l.owner.Address).scheduling.Exchange
	call(c, kindExchange, method, batch, func(answer *messenger.ExchangeResponse, err error) {
		if err != nil {
			l.enlister.Failed(c.clock.Now(), batch.GetNumber())
			return
		}
		c.deliver(l.enlister.Answered(c.clock.Now(), batch.GetNumber(), answer))
	})
}

// deliver tells the waiting requests what became of them.
func (c *Conductor) deliver(outcomes []enlister.Outcome) {
	for _, outcome := range outcomes {
		switch o := outcome.(type) {
		case enlister.Granted:
			c.metrics.grants.Inc()
			c.tell(o.Seq, o)
		case enlister.Refused:
			c.tell(o.Seq, o)
		}
	}
}

func (c *Conductor) tell(seq uint64, outcome enlister.Outcome) {
	if w := c.pending[seq]; w != nil {
		delete(c.pending, seq)
		w.Outcome <- outcome
	}
}

// grant takes a scheduler's call in.
func (c *Conductor) grant(request *messenger.GrantRequest) *messenger.GrantResponse {
	for _, l := range c.lines {
		if l.enlister.Scheduler() == request.GetScheduler() {
			response, outcomes := l.enlister.Grant(request)
			c.metrics.declined.Add(float64(len(response.GetDeclined())))
			c.deliver(outcomes)
			return response
		}
	}
	return &messenger.GrantResponse{Unknown: true}
}

// addressOf finds the control address of a router of this zone.
func (c *Conductor) addressOf(router scheduler.RouterID) (netip.AddrPort, bool) {
	for _, m := range c.detector.Live() {
		if m.Name == router.Name && m.Incarnation == router.Incarnation {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}
