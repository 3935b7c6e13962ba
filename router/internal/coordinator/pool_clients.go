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
	pc := &poolClient{
		service:  service,
		enlister: &enlister.Enlister{Zone: c.options.Zone, Service: service, Router: c.self},
	}
	c.poolClients[service] = pc
	c.reassign(c.clock.Now(), pc)
	return pc
}

// reassign makes the client enrol with the current scheduler of the pool.
func (c *Coordinator) reassign(now time.Time, pc *poolClient) {
	owner, found := c.owner(pc.service)
	same := owner.Name == pc.owner.Name && owner.Incarnation == pc.owner.Incarnation
	if found == pc.assigned && same {
		return
	}
	pc.owner, pc.assigned = owner, found
	pc.enlister.Restart(now)
}

// stepPoolClients sends the batches that are ready, and returns the time of the next
// step.
func (c *Coordinator) stepPoolClients(now time.Time) (next time.Time) {
	for _, pc := range c.poolClients {
		for pc.assigned {
			batch := pc.enlister.Next(now)
			if batch == nil {
				break
			}
			c.sendBatch(now, pc, batch)
		}
		next = earliest(next, pc.enlister.NextWake())
	}
	return next
}

// sendBatch sends a batch to the pool's scheduler and handles its answer. A scheduler on
// this router needs no call.
func (c *Coordinator) sendBatch(now time.Time, pc *poolClient, batch *messenger.ExchangeRequest) {
	if pc.owner.Name == c.self.Name {
		c.deliver(pc.enlister.Answered(now, batch.GetNumber(), c.receiveExchange(now, batch)))
		return
	}
	method := c.peers.get(pc.owner.Address).scheduling.Exchange
	call(c, kindExchange, method, batch, func(answer *messenger.ExchangeResponse, err error) {
		if err != nil {
			pc.enlister.Failed(c.clock.Now(), batch.GetNumber())
			return
		}
		c.deliver(pc.enlister.Answered(c.clock.Now(), batch.GetNumber(), answer))
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
	for _, pc := range c.poolClients {
		if pc.enlister.Scheduler() == request.GetScheduler() {
			response, outcomes := pc.enlister.Grant(request)
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
