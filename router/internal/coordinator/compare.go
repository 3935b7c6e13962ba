package coordinator

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// idleCompareInterval is how long a pool without changes waits between two exchanges
// with another zone.
const idleCompareInterval = time.Second

func encodeTotals(table *interner.Writer, rows []scheduler.Total) []*messenger.Total {
	encoded := make([]*messenger.Total, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, &messenger.Total{
			Workspace: table.Intern(row.Workspace), Charged: row.Charged, Lifted: row.Lifted, Forgiven: row.Forgiven,
		})
	}
	return encoded
}

func decodeTotals(names []string, rows []*messenger.Total) []scheduler.Total {
	decoded := make([]scheduler.Total, 0, len(rows))
	for _, row := range rows {
		decoded = append(decoded, scheduler.Total{
			Workspace: interner.At(names, row.GetWorkspace()),
			Charged:   row.GetCharged(), Lifted: row.GetLifted(), Forgiven: row.GetForgiven(),
		})
	}
	return decoded
}

// compare sends the offers of the pools with an exchange due to the schedulers of the
// same services in the other zones.
func (c *Coordinator) compare(now time.Time) {
	c.checkRouters(now)
	c.removeExpiredEndpoints(now)
	zones := len(c.detector.Zones())
	if c.options.Standalone || zones == 0 {
		return
	}
	for _, h := range c.pools {
		if now.Before(h.compareAt) {
			continue
		}
		c.comparePool(now, h)
		// The pool computes the interval from the cost of its exchanges; the setting
		// is the minimum.
		h.compareAt = now.Add(max(c.options.CompareInterval, h.registrar.Pool.CompareInterval(now, zones, len(c.pools))))
	}
}

// comparePool sends one pool's offer to each other zone without an exchange in flight.
// A zone gets no offer without changes until idleCompareInterval has passed.
func (c *Coordinator) comparePool(now time.Time, h *hostedPool) {
	totals, demand, returned, renewed, idle := h.registrar.Pool.Offer(now)
	changed := len(totals)+len(demand)+len(returned)+len(renewed) > 0 || h.joining
	var table interner.Writer
	shared := &messenger.CompareRequest{
		From: &messenger.Pool{Zone: c.options.Zone, Service: h.service}, Origin: h.registrar.Incarnation,
		Totals: encodeTotals(&table, totals), Idle: uint32(idle), Joining: h.joining,
	}
	for _, row := range demand {
		shared.Demand = append(shared.Demand, &messenger.Demand{
			Workspace: table.Intern(row.Workspace), Model: table.Intern(row.Model), Waiting: uint32(row.Waiting),
		})
	}
	shared.Names = table.Take()
	for _, zone := range c.detector.Zones() {
		owner, found := detector.Owner(c.detector.Members(zone), zone, h.service)
		if !found || h.comparing[zone] || (!changed && now.Sub(h.answeredAt[zone]) < idleCompareInterval) {
			continue
		}
		c.compareWith(now, h, zone, owner, requestFor(shared, h.registrar.Pool, zone, now))
	}
}

// requestFor adds the loans of one zone to the part of the request that all zones
// get.
func requestFor(shared *messenger.CompareRequest, pool *scheduler.Pool, zone string, now time.Time) *messenger.CompareRequest {
	returned, renewed := pool.LoansOf(zone, now)
	return &messenger.CompareRequest{
		From: shared.GetFrom(), Origin: shared.GetOrigin(), Names: shared.GetNames(), Totals: shared.GetTotals(),
		Demand: shared.GetDemand(), Idle: shared.GetIdle(), Joining: shared.GetJoining(),
		Returned: scheduler.PackLoans(returned), Renewed: scheduler.PackLoans(renewed),
	}
}

func (c *Coordinator) compareWith(sentAt time.Time, h *hostedPool, zone string, owner detector.Member, request *messenger.CompareRequest) {
	h.comparing[zone] = true
	method := c.peers.get(owner.Address).scheduling.Compare
	call(c, kindCompare, method, request, func(answer *messenger.CompareResponse, err error) {
		delete(h.comparing, zone)
		if err != nil || answer.GetNotHere() || c.pools[h.service] != h {
			return
		}
		now := c.clock.Now()
		h.answeredAt[zone] = now
		if h.joining {
			c.join(now, h, answer)
		}
		h.registrar.Apply(now, scheduler.Lent{
			Zone: zone, RequestedAt: sentAt, Loans: decodeLoans(answer),
		})
	})
}

// join ends the joining state of a pool with the first history received, or when
// every zone has answered without a history. A peer that is joining as well has no
// history, and its answer must not hide the history that another zone has.
func (c *Coordinator) join(now time.Time, h *hostedPool, answer *messenger.CompareResponse) {
	if len(answer.GetHistory()) > 0 {
		h.registrar.Apply(now, scheduler.History{Totals: decodeTotals(answer.GetNames(), answer.GetHistory())})
		h.joining = false
		return
	}
	for _, zone := range c.detector.Zones() {
		_, found := detector.Owner(c.detector.Members(zone), zone, h.service)
		if found && h.answeredAt[zone].IsZero() {
			return
		}
	}
	h.joining = false
}

func decodeLoans(answer *messenger.CompareResponse) []scheduler.Loan {
	loans := make([]scheduler.Loan, 0, len(answer.GetLoans()))
	for _, l := range answer.GetLoans() {
		// The answer omits the address of an extended loan, because the borrower has
		// it already.
		address, _ := netip.ParseAddrPort(interner.At(answer.GetNames(), l.GetAddress()))
		loans = append(loans, scheduler.Loan{
			ID: l.GetId(), Workspace: interner.At(answer.GetNames(), l.GetWorkspace()),
			Model: interner.At(answer.GetNames(), l.GetModel()), Endpoint: interner.At(answer.GetNames(), l.GetEndpoint()),
			Incarnation: l.GetIncarnation(), Address: address,
			Lease: time.Duration(l.GetLeaseMs()) * time.Millisecond, Term: time.Duration(l.GetTermMs()) * time.Millisecond,
		})
	}
	return loans
}

func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// receiveCompare answers the offer of another zone's scheduler.
func (c *Coordinator) receiveCompare(now time.Time, request *messenger.CompareRequest) *messenger.CompareResponse {
	from := request.GetFrom()
	if c.options.Standalone || from.GetZone() == c.options.Zone {
		return &messenger.CompareResponse{NotHere: true}
	}
	h := c.pools[from.GetService()]
	if h == nil {
		return &messenger.CompareResponse{NotHere: true}
	}
	event := scheduler.Compared{
		Zone: from.GetZone(), Origin: request.GetOrigin(), Idle: int(request.GetIdle()),
		Totals:   decodeTotals(request.GetNames(), request.GetTotals()),
		Returned: scheduler.UnpackLoans(request.GetReturned()), Renewed: scheduler.UnpackLoans(request.GetRenewed()),
	}
	for _, row := range request.GetDemand() {
		event.Demand = append(event.Demand, scheduler.Demand{
			Workspace: interner.At(request.GetNames(), row.GetWorkspace()),
			Model:     interner.At(request.GetNames(), row.GetModel()), Waiting: int(row.GetWaiting()),
		})
	}
	return c.answerCompare(h, request.GetJoining(), h.registrar.Apply(now, event))
}

func (c *Coordinator) answerCompare(h *hostedPool, joining bool, loans []scheduler.Loan) *messenger.CompareResponse {
	var table interner.Writer
	response := &messenger.CompareResponse{Origin: h.registrar.Incarnation}
	for _, l := range loans {
		response.Loans = append(response.Loans, &messenger.Loan{
			Id: l.ID, Workspace: table.Intern(l.Workspace), Model: table.Intern(l.Model), Endpoint: table.Intern(l.Endpoint),
			Address: table.Intern(addressText(l.Address)), Incarnation: l.Incarnation,
			LeaseMs: uint32(l.Lease.Milliseconds()), TermMs: uint32(l.Term.Milliseconds()),
		})
	}
	if joining && !h.joining {
		response.History = encodeTotals(&table, h.registrar.Pool.History())
	}
	response.Names = table.Take()
	return response
}
