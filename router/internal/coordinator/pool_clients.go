package coordinator

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// poolClient is this router's client of the scheduler of one service in its zone.
type poolClient struct {
	service  string
	enlister *enlister.Enlister
	owner    detector.Member
	assigned bool
}

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	// Outcome receives exactly one value, unless the request is withdrawn before.
	Outcome     chan enlister.Outcome
	coordinator *Coordinator
	service     string
	seq         uint64
}

// Enrol queues a request for a slot of a service. It returns nil if the context ends
// first or the control goroutine has ended.
func (c *Coordinator) Enrol(ctx context.Context, service string, ticket scheduler.Ticket) *Waiter {
	w := &Waiter{Outcome: make(chan enlister.Outcome, 1), coordinator: c, service: service}
	if !c.do(ctx, func() { c.enrol(w, ticket) }) {
		// The event may still run. It must not leave an abandoned request in the
		// queue.
		w.Finish(scheduler.Finish{Ending: scheduler.Cancelled})
		return nil
	}
	return w
}

func (c *Coordinator) enrol(w *Waiter, ticket scheduler.Ticket) {
	c.seq++
	w.seq = c.seq
	ticket.Seq = w.seq
	c.pending[w.seq] = w
	c.poolClient(w.service).enlister.Add(c.clock.Now(), ticket)
}

// Progress reports the total units that the request has used so far.
func (w *Waiter) Progress(charged uint32) {
	w.coordinator.post(func() { w.coordinator.poolClient(w.service).enlister.Progress(w.seq, charged) })
}

// Finish returns the slot, or withdraws the request if it holds none.
func (w *Waiter) Finish(finish scheduler.Finish) {
	w.coordinator.post(func() {
		finish.Seq = w.seq
		delete(w.coordinator.pending, w.seq)
		w.coordinator.poolClient(w.service).enlister.Finish(finish)
	})
}

func (c *Coordinator) poolClient(service string) *poolClient {
	if known := c.poolClients[service]; known != nil {
		return known
	}
	l := &poolClient{
		service:  service,
		enlister: &enlister.Enlister{Zone: c.options.Zone, Service: service, Router: c.self},
	}
	c.poolClients[service] = l
	c.reassign(c.clock.Now(), l)
	return l
}

// reassign makes the client enrol with the current scheduler of the pool.
func (c *Coordinator) reassign(now time.Time, l *poolClient) {
	owner, found := c.owner(l.service)
	same := owner.Name == l.owner.Name && owner.Incarnation == l.owner.Incarnation
	if found == l.assigned && same {
		return
	}
	l.owner, l.assigned = owner, found
	l.enlister.Restart(now)
}

// stepPoolClients sends the batches that are ready, and returns the time of the next
// step.
func (c *Coordinator) stepPoolClients(now time.Time) (next time.Time) {
	for _, l := range c.poolClients {
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

// exchange sends a batch to the pool's scheduler. A scheduler on this router needs
// no call.
func (c *Coordinator) exchange(now time.Time, l *poolClient, batch *messenger.ExchangeRequest) {
	if l.owner.Name == c.self.Name {
		c.deliver(l.enlister.Answered(now, batch.GetNumber(), c.receiveExchange(now, batch)))
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

// deliver passes the outcomes to the waiting requests.
func (c *Coordinator) deliver(outcomes []enlister.Outcome) {
	for _, outcome := range outcomes {
		switch o := outcome.(type) {
		case enlister.Granted:
			c.metrics.grants.Inc()
			c.notify(o.Seq, o)
		case enlister.Refused:
			c.notify(o.Seq, o)
		}
	}
}

func (c *Coordinator) notify(seq uint64, outcome enlister.Outcome) {
	if w := c.pending[seq]; w != nil {
		delete(c.pending, seq)
		w.Outcome <- outcome
	}
}

// receiveGrant handles the grants that a scheduler sends.
func (c *Coordinator) receiveGrant(request *messenger.GrantRequest) *messenger.GrantResponse {
	for _, l := range c.poolClients {
		if l.enlister.Scheduler() == request.GetScheduler() {
			response, outcomes := l.enlister.Grant(request)
			c.metrics.declined.Add(float64(len(response.GetDeclined())))
			c.deliver(outcomes)
			return response
		}
	}
	return &messenger.GrantResponse{Unknown: true}
}

// addressOf returns the control address of a live router of this zone.
func (c *Coordinator) addressOf(router scheduler.RouterID) (netip.AddrPort, bool) {
	for _, m := range c.detector.Live() {
		if m.Name == router.Name && m.Incarnation == router.Incarnation {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}
