package conductor

import (
	"time"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/commander"
)

// hosted is a pool whose scheduler this router is.
type hosted struct {
	service   string
	plain     bool
	desk      *enlister.Registrar
	endpoints map[string]*messenger.Announcement // last announcements, for renewals and status
	expires   map[string]time.Time
	seen      map[scheduler.RouterID]presence
	ticked    time.Time
	compareAt time.Time            // next exchange with the other zones
	joining   bool                 // it has no history yet
	told      map[string]time.Time // zones, when they last answered
	calling   map[string]bool
	commander *commander.Commander // nil until an endpoint takes orders
}

// presence is the evidence that an enrolled router lives.
type presence struct {
	since time.Time
	live  bool // it was in the list of live routers
}

// pool returns the pool of a service if this router is its scheduler.
func (c *Conductor) pool(now time.Time, service string) *hosted {
	if known := c.pools[service]; known != nil {
		return known
	}
	owner, found := c.owner(service)
	if !found || owner.Name != c.self.Name || service == "" {
		return nil
	}
	origin := c.origin(service)
	h := &hosted{
		service: service, plain: c.plain(service), joining: true,
		endpoints: make(map[string]*messenger.Announcement),
		expires:   make(map[string]time.Time),
		seen:      make(map[scheduler.RouterID]presence),
		told:      make(map[string]time.Time),
		calling:   make(map[string]bool),
	}
	h.desk = &enlister.Registrar{Incarnation: origin, Pool: scheduler.New(scheduler.Options{
		Zone: c.options.Zone, Service: service, Origin: origin, Plain: h.plain,
		CompareBudget: c.options.CompareBytes,
	})}
	c.pools[service] = h
	c.metrics.takeovers.Inc()
	c.metrics.pools.Set(float64(len(c.pools)))
	if c.rules != nil {
		h.desk.Apply(now, scheduler.Configured{Rules: c.rules})
	}
	c.reannounceTo(now, service)
	return h
}

func (c *Conductor) plain(service string) bool {
	if c.rules == nil {
		return false
	}
	known, found := c.rules.Service(service)
	return found && known.Type == describer.TypePlain
}

// receive answers a router's batch.
func (c *Conductor) receive(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	if !request.GetFull() {
		for _, h := range c.pools {
			if h.desk.Incarnation == request.GetScheduler() {
				return h.desk.Exchange(now, request)
			}
		}
		return &messenger.ExchangeResponse{NeedFull: true}
	}
	if request.GetPool().GetZone() != c.options.Zone {
		return &messenger.ExchangeResponse{NotHere: true}
	}
	h := c.pool(now, request.GetPool().GetService())
	if h == nil {
		return &messenger.ExchangeResponse{NotHere: true}
	}
	router := scheduler.RouterID{Name: request.GetRouter(), Incarnation: request.GetIncarnation()}
	if _, known := h.seen[router]; !known {
		_, live := c.addressOf(router)
		h.seen[router] = presence{since: now, live: live}
	}
	return h.desk.Exchange(now, request)
}

// stepPools lets the pools' time pass and sends their grants.
func (c *Conductor) stepPools(now time.Time) (next time.Time) {
	for _, h := range c.pools {
		due := h.desk.Pool.NextDeadline(now)
		if !due.IsZero() && !due.After(now) {
			if now.Sub(h.ticked) >= tickPause {
				h.ticked = now
				h.desk.Apply(now, scheduler.Tick{})
				due = h.desk.Pool.NextDeadline(now)
			}
			if !due.IsZero() && !due.After(now) {
				due = h.ticked.Add(tickPause)
			}
		}
		next = earliest(next, due)
		for _, batch := range h.desk.Calls(now) {
			c.send(now, h, batch)
		}
		next = earliest(next, h.desk.NextWake())
		next = earliest(next, c.command(now, h))
	}
	return next
}

// send sends a batch of grants; to this router itself without a call.
func (c *Conductor) send(now time.Time, h *hosted, batch enlister.Call) {
	if batch.Router == c.self {
		h.desk.Answered(now, batch, c.grant(batch.Request))
		return
	}
	address, live := c.addressOf(batch.Router)
	if !live {
		h.desk.Failed(now, batch)
		return
	}
	method := c.peers.get(address).granting.Grant
	call(c, kindGrant, method, batch.Request, func(answer *messenger.GrantResponse, err error) {
		if err != nil {
			h.desk.Failed(c.clock.Now(), batch)
			return
		}
		h.desk.Answered(c.clock.Now(), batch, answer)
	})
}

// checkRouters ends the sessions of routers that have died. A router whose
// heartbeats have not got here yet has the suspect time to appear.
func (c *Conductor) checkRouters(now time.Time) {
	for _, h := range c.pools {
		h.desk.Expire(now)
		for _, router := range h.desk.Routers() {
			known := h.seen[router]
			_, live := c.addressOf(router)
			switch {
			case live:
				h.seen[router] = presence{since: now, live: true}
			case known.live || now.Sub(known.since) > c.options.SuspectAfter:
				h.desk.RouterGone(now, router)
				delete(h.seen, router)
			}
		}
	}
}

// passing is a pool on its way to its new scheduler.
type passing struct {
	request *messenger.HandoverRequest
	owner   detector.Member
	tries   int
	due     time.Time
}

// handoverTries is how often a handover is tried. The new scheduler may learn
// of its duty only with its next heartbeat; without the counters it starts
// from those that the other zones know.
const handoverTries = 4

// handOver gives a pool's service counters to its new scheduler and forgets
// the pool. Routers and endpoints find the new scheduler by themselves.
func (c *Conductor) handOver(now time.Time, h *hosted, owner detector.Member) {
	delete(c.pools, h.service)
	c.metrics.pools.Set(float64(len(c.pools)))
	request := &messenger.HandoverRequest{
		Pool:   &messenger.Pool{Zone: c.options.Zone, Service: h.service},
		Origin: h.desk.Incarnation,
	}
	var table interner.Writer
	request.History = encodeTotals(&table, h.desk.Pool.History())
	request.Names = table.Take()
	c.pass(passing{request: request, owner: owner, tries: handoverTries, due: now})
}

func (c *Conductor) pass(p passing) {
	p.tries--
	method := c.peers.get(p.owner.Address).scheduling.Handover
	call(c, kindHandover, method, p.request, func(answer *messenger.HandoverResponse, err error) {
		if (err != nil || answer.GetNotHere()) && p.tries > 0 {
			p.due = c.clock.Now().Add(c.options.Heartbeat)
			c.passing = append(c.passing, p)
		}
	})
}

// stepPassing tries handovers again.
func (c *Conductor) stepPassing(now time.Time) (next time.Time) {
	waiting := c.passing
	c.passing = nil
	for _, p := range waiting {
		if now.Before(p.due) {
			c.passing = append(c.passing, p)
			next = earliest(next, p.due)
			continue
		}
		c.pass(p)
	}
	return next
}

// takeOver takes the counters of a pool's last scheduler in.
func (c *Conductor) takeOver(now time.Time, request *messenger.HandoverRequest) *messenger.HandoverResponse {
	if request.GetPool().GetZone() != c.options.Zone {
		return &messenger.HandoverResponse{NotHere: true}
	}
	h := c.pool(now, request.GetPool().GetService())
	if h == nil {
		return &messenger.HandoverResponse{NotHere: true}
	}
	h.desk.Apply(now, scheduler.History{Totals: decodeTotals(request.GetNames(), request.GetHistory())})
	h.joining = false
	return &messenger.HandoverResponse{}
}
