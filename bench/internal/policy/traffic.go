package policy

import (
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// traffic counts what the pools of different zones send to each other. Bytes are those
// of the encoded messages, without framing.
type traffic struct {
	offerBytes  int
	answerBytes int
	calls       int
	// estimatedBytes is the pools' own estimate of all bytes.
	estimatedBytes int
}

func (t traffic) bytes() int { return t.offerBytes + t.answerBytes }

// originBit makes origins as long as those of the running path, which have forty bits.
const originBit = 1 << 39

// addOffer counts one call and the bytes of its offer.
func (t *traffic) addOffer(z *zone, offer scheduler.Compared) {
	t.calls++
	t.offerBytes += proto.Size(encodeOffer(z, offer))
}

// encodeOffer builds the message of an offer as the running path does.
func encodeOffer(z *zone, offer scheduler.Compared) *messenger.CompareRequest {
	var names interner.Writer
	request := &messenger.CompareRequest{
		From: &messenger.Pool{Zone: z.name, Service: "modelli"}, Origin: z.origin | originBit,
		Returned: scheduler.PackLoans(offer.Returned), Renewed: scheduler.PackLoans(offer.Renewed),
		Idle: uint32(offer.Idle),
	}
	for _, row := range offer.Totals {
		request.Totals = append(request.Totals, &messenger.Total{
			Workspace: names.Intern(row.Workspace), Charged: row.Charged, Lifted: row.Lifted, Forgiven: row.Forgiven,
		})
	}
	for _, row := range offer.Demand {
		request.Demand = append(request.Demand, &messenger.Demand{
			Workspace: names.Intern(row.Workspace), Model: names.Intern(row.Model), Waiting: uint32(row.Waiting),
		})
	}
	request.Names = names.Take()
	return request
}

// addAnswer counts the bytes of the answer to an offer.
func (t *traffic) addAnswer(z *zone, loans []scheduler.Loan) {
	var names interner.Writer
	response := &messenger.CompareResponse{Origin: z.origin | originBit}
	for _, l := range loans {
		message := &messenger.Loan{
			Id: l.ID, Incarnation: l.Incarnation, LeaseMs: uint32(l.Lease.Milliseconds()), TermMs: uint32(l.Term.Milliseconds()),
		}
		if l.Endpoint != "" {
			message.Workspace, message.Model = names.Intern(l.Workspace), names.Intern(l.Model)
			message.Endpoint, message.Address = names.Intern(l.Endpoint), names.Intern(l.Address.String())
		}
		response.Loans = append(response.Loans, message)
	}
	response.Names = names.Take()
	t.answerBytes += proto.Size(response)
}
