package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// interval is the time between two exchanges.
const interval = 200 * time.Millisecond

// newLendingPair is two zones that have exchanged for a while; requests wait in
// the near one, and the far one has a slot.
func newLendingPair(t *testing.T, waiting int) pair {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.endpoints["b"], p.near.expires["b"] = p.far.endpoints["b"], p.far.expires["b"]
	for range 3 {
		compare(p.near, p.far)
		p.pass(interval)
	}
	for seq := range waiting {
		p.near.enrol(router1, scheduler.Ticket{Seq: uint64(seq + 1), Workspace: "one"})
	}
	return p
}

// exchange carries an offer there and loans back, and returns them.
func (p pair) exchange() []scheduler.Loan {
	loans := compare(p.near, p.far)
	p.near.apply(scheduler.Lent{Zone: "verona-b", Origin: 2, Loans: loans, RequestedAt: p.near.now})
	return loans
}

func (p pair) pass(by time.Duration) {
	p.near.now = p.near.now.Add(by)
	p.far.now = p.far.now.Add(by)
}

// Symptom: slots idle although work waits that other zones could run, or a
// workspace of one zone falls behind those of another. Sequence: requests take
// milliseconds; a slot is lent for each, and idles until the next exchange.
// Cause: a loan ends with its request.
func TestBorrowedSlotServesOneRequestAfterAnother(t *testing.T) {
	p := newLendingPair(t, 4)
	loans := p.exchange()
	require.Len(t, loans, 1)
	for seq := uint64(1); seq < 3; seq++ {
		p.pass(10 * time.Millisecond)
		p.near.finish(request(seq), scheduler.Done, 10)
		require.Equal(t, "b", p.near.requests[request(seq+1)].endpoint)
	}
	p.pass(loans[0].Term)
	p.near.finish(request(3), scheduler.Done, 10)
	require.Empty(t, p.near.requests[request(4)].endpoint, "the term is over")
	compare(p.near, p.far)
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent, "lent again, after the first was returned")
}

// Symptom: requests fail one after the other. Sequence: a borrowed slot's endpoint
// is down. Cause: the slot is used again after a failure.
func TestBorrowedSlotIsGivenBackAfterAFailure(t *testing.T) {
	p := newLendingPair(t, 2)
	p.exchange()
	p.near.finish(request(1), scheduler.Unreachable, 0)
	require.Empty(t, p.near.requests[request(2)].endpoint)
}

// Symptom: slots that are lent idle between terms, or stay lent although work of
// the lender's own zone is further behind. Sequence: a term ends while both zones
// have work. Cause: the term is not extended, or whatever waits.
func TestLoanIsExtendedWhileItsWorkIsNext(t *testing.T) {
	tests := map[string]struct {
		ahead    uint64 // by which the borrower's workspace is ahead of the lender's
		extended bool
	}{
		"next in line": {ahead: 0, extended: true},
		"far ahead":    {ahead: 100_000, extended: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newLendingPair(t, 40)
			loans := p.exchange()
			p.far.enrol(router1, scheduler.Ticket{Seq: 99, Workspace: "two"})
			for _, charged := range []uint64{0, test.ahead} { // a row counts from when it is first seen
				p.far.apply(scheduler.Compared{Zone: "trento-a", Origin: 1, Renewed: []uint64{loans[0].ID}, Totals: []scheduler.Total{
					{Workspace: "one", Charged: charged},
				}})
			}
			p.pass(loans[0].Term - interval)
			again := p.exchange()
			if !test.extended {
				require.Empty(t, again)
				return
			}
			require.Equal(t, []scheduler.Loan{{ID: loans[0].ID, Lease: loans[0].Lease, Term: again[0].Term}}, again)
			p.pass(interval)
			p.near.finish(request(1), scheduler.Done, 10)
			require.Equal(t, "b", p.near.requests[request(2)].endpoint)
		})
	}
}
