package conductor

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

const (
	// zonesPerRound is how many other zones a round is for; with more zones the
	// rounds are rarer, so that their traffic does not grow with the zones.
	zonesPerRound = 2
	// silence is for how long a pool without news leaves another zone alone.
	silence = time.Second
)

// names numbers the names of one message.
type names struct {
	list  []string
	index map[string]uint32
}

func (n *names) put(name string) uint32 {
	if at, known := n.index[name]; known {
		return at
	}
	if n.index == nil {
		n.index = make(map[string]uint32)
	}
	at := uint32(len(n.list))
	n.index[name] = at
	n.list = append(n.list, name)
	return at
}

func (n *names) totals(rows []scheduler.Total) []*messenger.Total {
	encoded := make([]*messenger.Total, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, &messenger.Total{
			Workspace: n.put(row.Workspace), Charged: row.Charged, Lifted: row.Lifted, Forgiven: row.Forgiven,
		})
	}
	return encoded
}

func nameAt(names []string, at uint32) string {
	if int(at) >= len(names) {
		return ""
	}
	return names[at]
}

func decodeTotals(names []string, rows []*messenger.Total) []scheduler.Total {
	decoded := make([]scheduler.Total, 0, len(rows))
	for _, row := range rows {
		decoded = append(decoded, scheduler.Total{
			Workspace: nameAt(names, row.GetWorkspace()),
			Charged:   row.GetCharged(), Lifted: row.GetLifted(), Forgiven: row.GetForgiven(),
		})
	}
	return decoded
}

// roundInterval is the time between two rounds.
func (c *Conductor) roundInterval() time.Duration {
	zones := len(c.detector.Zones())
	return c.options.Compare * time.Duration(max(1, (zones+zonesPerRound-1)/zonesPerRound))
}

// compare sends every pool's offer to the schedulers of its service in the
// other zones.
func (c *Conductor) compare(now time.Time) {
	c.checkRouters(now)
	c.forgetEndpoints(now)
	if c.options.Alone || len(c.detector.Zones()) == 0 {
		return
	}
	c.rounds++
	for _, h := range c.pools {
		c.compareOne(now, h)
	}
}

func (c *Conductor) compareOne(now time.Time, h *hosted) {
	totals, demand, returned, renewed, idle := h.desk.Pool.Offer(now)
	news := len(totals)+len(demand)+len(returned)+len(renewed) > 0 || h.joining
	var table names
	request := &messenger.CompareRequest{
		From: &messenger.Pool{Zone: c.options.Zone, Service: h.service}, Origin: h.desk.Incarnation,
		Totals: table.totals(totals), Returned: returned, Renewed: renewed,
		Idle: uint32(idle), Joining: h.joining, Round: c.rounds,
	}
	for _, row := range demand {
		request.Demand = append(request.Demand, &messenger.Demand{
			Workspace: table.put(row.Workspace), Model: table.put(row.Model), Waiting: uint32(row.Waiting),
		})
	}
	request.Names = table.list
	for _, zone := range c.detector.Zones() {
		owner, found := detector.Owner(c.detector.Members(zone), zone, h.service)
		if !found || h.calling[zone] || (!news && now.Sub(h.told[zone]) < silence) {
			continue
		}
		c.compareWith(h, zone, owner, request)
	}
}

func (c *Conductor) compareWith(h *hosted, zone string, owner detector.Member, request *messenger.CompareRequest) {
	h.calling[zone] = true
	method := c.peers.get(owner.Address).scheduling.Compare
	call(c, kindCompare, method, request, func(answer *messenger.CompareResponse, err error) {
		delete(h.calling, zone)
		if err != nil || answer.GetNotHere() || c.pools[h.service] != h {
			return
		}
		now := c.clock.Now()
		h.told[zone] = now
		if h.joining && len(answer.GetHistory()) > 0 {
			h.desk.Apply(now, scheduler.History{Totals: decodeTotals(answer.GetNames(), answer.GetHistory())})
		}
		h.joining = false
		h.desk.Apply(now, scheduler.Lent{
			Zone: zone, Origin: answer.GetOrigin(), Idle: int(answer.GetIdle()),
			Totals: decodeTotals(answer.GetNames(), answer.GetTotals()), Loans: decodeLoans(answer),
		})
	})
}

func decodeLoans(answer *messenger.CompareResponse) []scheduler.Loan {
	loans := make([]scheduler.Loan, 0, len(answer.GetLoans()))
	for _, l := range answer.GetLoans() {
		// A loan that is extended comes without the address that is known.
		address, _ := netip.ParseAddrPort(nameAt(answer.GetNames(), l.GetAddress()))
		loans = append(loans, scheduler.Loan{
			ID: l.GetId(), Workspace: nameAt(answer.GetNames(), l.GetWorkspace()),
			Model: nameAt(answer.GetNames(), l.GetModel()), Endpoint: nameAt(answer.GetNames(), l.GetEndpoint()),
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

// receiveCompare answers another zone's scheduler.
func (c *Conductor) receiveCompare(now time.Time, request *messenger.CompareRequest) *messenger.CompareResponse {
	from := request.GetFrom()
	if c.options.Alone || from.GetZone() == c.options.Zone {
		return &messenger.CompareResponse{NotHere: true}
	}
	h := c.pools[from.GetService()]
	if h == nil {
		return &messenger.CompareResponse{NotHere: true}
	}
	event := scheduler.Compared{
		Zone: from.GetZone(), Origin: request.GetOrigin(), Idle: int(request.GetIdle()),
		Totals:   decodeTotals(request.GetNames(), request.GetTotals()),
		Returned: request.GetReturned(), Renewed: request.GetRenewed(),
	}
	for _, row := range request.GetDemand() {
		event.Demand = append(event.Demand, scheduler.Demand{
			Workspace: nameAt(request.GetNames(), row.GetWorkspace()),
			Model:     nameAt(request.GetNames(), row.GetModel()), Waiting: int(row.GetWaiting()),
		})
	}
	return c.answerCompare(h, request.GetJoining(), h.desk.Apply(now, event))
}

func (c *Conductor) answerCompare(h *hosted, joining bool, loans []scheduler.Loan) *messenger.CompareResponse {
	var table names
	response := &messenger.CompareResponse{Origin: h.desk.Incarnation}
	for _, l := range loans {
		response.Loans = append(response.Loans, &messenger.Loan{
			Id: l.ID, Workspace: table.put(l.Workspace), Model: table.put(l.Model), Endpoint: table.put(l.Endpoint),
			Address: table.put(addressText(l.Address)), Incarnation: l.Incarnation,
			LeaseMs: uint32(l.Lease.Milliseconds()), TermMs: uint32(l.Term.Milliseconds()),
		})
	}
	if joining && !h.joining {
		response.History = table.totals(h.desk.Pool.History())
	}
	response.Names = table.list
	return response
}
