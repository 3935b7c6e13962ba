package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// exchangeInterval is the time between two exchanges.
const exchangeInterval = 200 * time.Millisecond

// newLendingPair returns two pools after three exchanges: requests wait in the near
// one, and the far one has a free slot.
func newLendingPair(t *testing.T, waiting int) poolPair {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.endpoints["b"], p.near.expires["b"] = p.far.endpoints["b"], p.far.expires["b"]
	for range 3 {
		sendOffer(p.near, p.far)
		p.advance(exchangeInterval)
	}
	for seq := range waiting {
		p.near.enrol(router1, scheduler.Ticket{Seq: uint64(seq + 1), Workspace: "one"})
	}
	return p
}

// exchange sends an offer of the near pool to the far one, applies the loans in the
// answer to the near pool, and returns them.
func (p poolPair) exchange() []scheduler.Loan {
	loans := sendOffer(p.near, p.far)
	p.near.apply(scheduler.Lent{Zone: "verona-b", Loans: loans, RequestedAt: p.near.now})
	return loans
}

func (p poolPair) advance(by time.Duration) {
	p.near.now = p.near.now.Add(by)
	p.far.now = p.far.now.Add(by)
}

// Guards against slots that idle although another zone has waiting requests, or a
// workspace of one zone that falls behind those of another: requests take milliseconds,
// and if a loan ends with its request, the slot idles until the next exchange.
func TestBorrowedSlotServesOneRequestAfterAnother(t *testing.T) {
	p := newLendingPair(t, 4)
	loans := p.exchange()
	require.Len(t, loans, 1)
	for seq := uint64(1); seq < 3; seq++ {
		p.advance(10 * time.Millisecond)
		p.near.finish(request(seq), scheduler.Done, 10)
		require.Equal(t, "b", p.near.requests[request(seq+1)].endpoint)
	}
	p.advance(loans[0].Term)
	p.near.finish(request(3), scheduler.Done, 10)
	require.Empty(t, p.near.requests[request(4)].endpoint, "the term has ended")
	sendOffer(p.near, p.far)
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent, "lent again, after the first was returned")
}

// Guards against a series of failing requests: the endpoint of a borrowed slot is down,
// and the slot is used again after a failure.
func TestBorrowedSlotIsGivenBackAfterAFailure(t *testing.T) {
	p := newLendingPair(t, 2)
	p.exchange()
	p.near.finish(request(1), scheduler.Unreachable, 0)
	require.Empty(t, p.near.requests[request(2)].endpoint)
}

// Guards against lent slots that idle between terms, or stay lent although a workspace of
// the lender's own zone is further behind: a term ends while both zones have work, and
// is not extended, or is extended regardless of the waiting requests.
func TestLoanIsExtendedWhileItsWorkIsNext(t *testing.T) {
	tests := map[string]struct {
		ahead    uint64 // units by which the borrower's workspace is ahead of the lender's
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
			for _, charged := range []uint64{0, test.ahead} { // a row counts from its first arrival on
				p.far.apply(scheduler.Compared{Zone: "trento-a", Origin: 1, Renewed: []uint64{loans[0].ID}, Totals: []scheduler.Total{
					{Workspace: "one", Charged: charged},
				}})
			}
			p.advance(loans[0].Term - exchangeInterval)
			again := p.exchange()
			if !test.extended {
				require.Empty(t, again)
				return
			}
			require.Equal(t, []scheduler.Loan{{ID: loans[0].ID, Lease: loans[0].Lease, Term: again[0].Term}}, again)
			p.advance(exchangeInterval)
			p.near.finish(request(1), scheduler.Done, 10)
			require.Equal(t, "b", p.near.requests[request(2)].endpoint)
		})
	}
}
