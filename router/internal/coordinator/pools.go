package coordinator

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

// hostedPool is a pool whose scheduler runs on this router.
type hostedPool struct {
	service    string
	plain      bool // its service is of describer.TypePlain
	registrar  *enlister.Registrar
	endpoints  map[string]*messenger.Announcement // last announcements by endpoint ID, for renewals and status
	expires    map[string]time.Time               // end of the time to live of endpoints, by ID
	seen       map[scheduler.RouterID]presence    // enrolled routers
	tickedAt   time.Time                          // time of the last Tick
	compareAt  time.Time                          // next exchange with the other zones
	joining    bool                               // no service history has been received yet
	answeredAt map[string]time.Time               // time of the last answer, by zone
	comparing  map[string]bool                    // zones with an exchange in flight
	commander  *commander.Commander               // nil until an endpoint accepts orders
}

// presence is the evidence that an enrolled router is live. since is the time of its
// enrolment, or of the last check that found it live.
type presence struct {
	since time.Time
	live  bool // the router has been in the list of live routers
}

// pool returns the pool of a service, which it creates if this router is its
// scheduler and has none yet. It returns nil if another router is the scheduler.
func (c *Coordinator) pool(now time.Time, service string) *hostedPool {
	if known := c.pools[service]; known != nil {
		return known
	}
	owner, found := c.owner(service)
	if !found || owner.Name != c.self.Name || service == "" {
		return nil
	}
	origin := c.origin(service)
	h := &hostedPool{
		service: service, plain: c.plain(service), joining: true,
		endpoints:  make(map[string]*messenger.Announcement),
		expires:    make(map[string]time.Time),
		seen:       make(map[scheduler.RouterID]presence),
		answeredAt: make(map[string]time.Time),
		comparing:  make(map[string]bool),
	}
	h.registrar = &enlister.Registrar{Incarnation: origin, Pool: scheduler.New(scheduler.Options{
		Zone: c.options.Zone, Service: service, Origin: origin, Plain: h.plain,
		CompareBudget: c.options.CompareBytesPerSecond,
	})}
	c.pools[service] = h
	c.metrics.takeovers.Inc()
	c.metrics.pools.Set(float64(len(c.pools)))
	if c.rules != nil {
		h.registrar.Apply(now, scheduler.Configured{Rules: c.rules})
	}
	c.reannounceTo(now, service)
	return h
}

// plain reports whether the rules give a service the type describer.TypePlain.
func (c *Coordinator) plain(service string) bool {
	if c.rules == nil {
		return false
	}
	known, found := c.rules.Service(service)
	return found && known.Type == describer.TypePlain
}

// receiveExchange answers a batch of a router's requests.
func (c *Coordinator) receiveExchange(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	if !request.GetFull() {
		for _, h := range c.pools {
			if h.registrar.Incarnation == request.GetScheduler() {
				return h.registrar.Exchange(now, request)
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
	return h.registrar.Exchange(now, request)
}

// stepPools advances the pools to now and sends their grants. It returns the time of
// the next step.
func (c *Coordinator) stepPools(now time.Time) (next time.Time) {
	for _, h := range c.pools {
		wakeAt := h.registrar.Pool.NextDeadline(now)
		if !wakeAt.IsZero() && !wakeAt.After(now) {
			if now.Sub(h.tickedAt) >= minTickInterval {
				h.tickedAt = now
				h.registrar.Apply(now, scheduler.Tick{})
				wakeAt = h.registrar.Pool.NextDeadline(now)
			}
			if !wakeAt.IsZero() && !wakeAt.After(now) {
				wakeAt = h.tickedAt.Add(minTickInterval)
			}
		}
		next = earliest(next, wakeAt)
		for _, batch := range h.registrar.Calls(now) {
			c.sendGrants(now, h, batch)
		}
		next = earliest(next, h.registrar.NextWake())
		next = earliest(next, c.stepCommander(now, h))
	}
	return next
}

// sendGrants sends a batch of grants. Grants to this router itself need no call.
func (c *Coordinator) sendGrants(now time.Time, h *hostedPool, batch enlister.Call) {
	if batch.Router == c.self {
		h.registrar.Answered(now, batch, c.receiveGrant(batch.Request))
		return
	}
	address, live := c.addressOf(batch.Router)
	if !live {
		h.registrar.Failed(now, batch)
		return
	}
	method := c.peers.get(address).granting.Grant
	call(c, kindGrant, method, batch.Request, func(answer *messenger.GrantResponse, err error) {
		if err != nil {
			h.registrar.Failed(c.clock.Now(), batch)
			return
		}
		h.registrar.Answered(c.clock.Now(), batch, answer)
	})
}

// checkRouters ends the sessions of routers that have died. A router that has
// enrolled before its heartbeats arrived here has the suspect time to appear in the
// list of live routers.
func (c *Coordinator) checkRouters(now time.Time) {
	for _, h := range c.pools {
		h.registrar.Expire(now)
		for _, router := range h.registrar.Routers() {
			known := h.seen[router]
			_, live := c.addressOf(router)
			switch {
			case live:
				h.seen[router] = presence{since: now, live: true}
			case known.live || now.Sub(known.since) > c.options.SuspectAfter:
				h.registrar.RouterGone(now, router)
				delete(h.seen, router)
			}
		}
	}
}

// handover is a pool on its way to its new scheduler.
type handover struct {
	request  *messenger.HandoverRequest
	owner    detector.Member
	attempts int
	retryAt  time.Time
}

// handoverAttempts is how often a handover is attempted. The new scheduler may learn
// of its role only with its next heartbeat. If all attempts fail, it starts from the
// counters that the other zones have.
const handoverAttempts = 4

// handOver sends a pool's service counters to its new scheduler and drops the pool.
// Routers and endpoints find the new scheduler by themselves.
func (c *Coordinator) handOver(now time.Time, h *hostedPool, owner detector.Member) {
	delete(c.pools, h.service)
	c.metrics.pools.Set(float64(len(c.pools)))
	request := &messenger.HandoverRequest{
		Pool:   &messenger.Pool{Zone: c.options.Zone, Service: h.service},
		Origin: h.registrar.Incarnation,
	}
	var table interner.Writer
	request.History = encodeTotals(&table, h.registrar.Pool.History())
	request.Names = table.Take()
	c.sendHandover(handover{request: request, owner: owner, attempts: handoverAttempts, retryAt: now})
}

// sendHandover sends a handover once and queues it for a retry if it fails.
func (c *Coordinator) sendHandover(p handover) {
	p.attempts--
	method := c.peers.get(p.owner.Address).scheduling.Handover
	call(c, kindHandover, method, p.request, func(answer *messenger.HandoverResponse, err error) {
		if (err != nil || answer.GetNotHere()) && p.attempts > 0 {
			p.retryAt = c.clock.Now().Add(c.options.Heartbeat)
			c.handovers = append(c.handovers, p)
		}
	})
}

// retryHandovers sends the handovers whose retry time has come, and returns the time
// of the next retry.
func (c *Coordinator) retryHandovers(now time.Time) (next time.Time) {
	waiting := c.handovers
	c.handovers = nil
	for _, p := range waiting {
		if now.Before(p.retryAt) {
			c.handovers = append(c.handovers, p)
			next = earliest(next, p.retryAt)
			continue
		}
		c.sendHandover(p)
	}
	return next
}

// receiveHandover applies the counters of a pool's previous scheduler.
func (c *Coordinator) receiveHandover(now time.Time, request *messenger.HandoverRequest) *messenger.HandoverResponse {
	if request.GetPool().GetZone() != c.options.Zone {
		return &messenger.HandoverResponse{NotHere: true}
	}
	h := c.pool(now, request.GetPool().GetService())
	if h == nil {
		return &messenger.HandoverResponse{NotHere: true}
	}
	h.registrar.Apply(now, scheduler.History{Totals: decodeTotals(request.GetNames(), request.GetHistory())})
	h.joining = false
	return &messenger.HandoverResponse{}
}
