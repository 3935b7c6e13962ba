package policy

import (
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// traffic is what pools send to each other, in bytes as encoded, without framing.
type traffic struct {
	asked    int // bytes of offers
	answered int // bytes of answers
	calls    int
	// estimated is what pools take all of it for.
	estimated int
}

func (t traffic) bytes() int { return t.asked + t.answered }

// originBit makes origins as long as those of the running path, of forty bits.
const originBit = 1 << 39

// table numbers the names of one message.
type table struct {
	list  []string
	index map[string]uint32
}

func (t *table) put(name string) uint32 {
	if at, known := t.index[name]; known {
		return at
	}
	if t.index == nil {
		t.index = make(map[string]uint32)
	}
	at := uint32(len(t.list))
	t.index[name] = at
	t.list = append(t.list, name)
	return at
}

func (t *traffic) ask(z *zone, offer scheduler.Compared) {
	t.calls++
	t.asked += proto.Size(encode(z, offer))
}

// encode makes the message as the running path does.
func encode(z *zone, offer scheduler.Compared) *messenger.CompareRequest {
	var names table
	request := &messenger.CompareRequest{
		From: &messenger.Pool{Zone: z.name, Service: "modelli"}, Origin: z.origin | originBit,
		Returned: scheduler.PackLoans(offer.Returned), Renewed: scheduler.PackLoans(offer.Renewed),
		Idle: uint32(offer.Idle), Round: uint32(z.fleet.traffic.calls),
	}
	for _, row := range offer.Totals {
		request.Totals = append(request.Totals, &messenger.Total{
			Workspace: names.put(row.Workspace), Charged: row.Charged, Lifted: row.Lifted, Forgiven: row.Forgiven,
		})
	}
	for _, row := range offer.Demand {
		request.Demand = append(request.Demand, &messenger.Demand{
			Workspace: names.put(row.Workspace), Model: names.put(row.Model), Waiting: uint32(row.Waiting),
		})
	}
	request.Names = names.list
	return request
}

func (t *traffic) answer(z *zone, loans []scheduler.Loan) {
	var names table
	response := &messenger.CompareResponse{Origin: z.origin | originBit}
	for _, l := range loans {
		message := &messenger.Loan{
			Id: l.ID, Incarnation: l.Incarnation, LeaseMs: uint32(l.Lease.Milliseconds()), TermMs: uint32(l.Term.Milliseconds()),
		}
		if l.Endpoint != "" {
			message.Workspace, message.Model = names.put(l.Workspace), names.put(l.Model)
			message.Endpoint, message.Address = names.put(l.Endpoint), names.put(l.Address.String())
		}
		response.Loans = append(response.Loans, message)
	}
	response.Names = names.list
	t.answered += proto.Size(response)
}
