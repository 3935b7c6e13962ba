package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// poolPair is the pools of one service in two zones.
type poolPair struct{ near, far *model }

// newPair returns the pools of zones trento-a, the near one, and verona-b, the far one,
// without endpoints.
func newPair(t *testing.T) poolPair {
	p := poolPair{near: newModel(t, scheduler.Options{Origin: 1}), far: newModel(t, scheduler.Options{Origin: 2})}
	p.far.pool = scheduler.New(scheduler.Options{Zone: "verona-b", Service: "modelli", Origin: 2})
	p.far.apply(scheduler.Configured{Rules: rules{}})
	return p
}

// sendOffer applies an offer of one pool to the other and returns the loans in the
// answer.
func sendOffer(from, to *model) []scheduler.Loan {
	totals, demand, returned, renewed, idle := from.pool.Offer(from.now)
	actions := to.apply(scheduler.Compared{
		Zone: from.pool.Stats(from.now).Zone, Origin: from.pool.Stats(from.now).Origin,
		Totals: totals, Demand: demand, Returned: returned, Renewed: renewed, Idle: idle,
	})
	var loans []scheduler.Loan
	for _, action := range actions {
		if lend, ok := action.(scheduler.Lend); ok {
			loans = append(loans, lend.Loans...)
		}
	}
	return loans
}

// applyLoans applies loans of zone verona-b to the borrowing pool and returns its
// actions, without a check of grants, as they name endpoints of the other zone.
func applyLoans(to *model, loans []scheduler.Loan) []scheduler.Action {
	return to.pool.Apply(to.now, scheduler.Lent{Zone: "verona-b", Loans: loans})
}

// An idle slot is lent once, renewed while the loan is in use, and returned after its
// request. The borrower charges the request.
func TestIdleSlotsAreLentAndReturned(t *testing.T) {
	p := newPair(t)
	p.near.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
	loans := sendOffer(p.near, p.far)
	require.Len(t, loans, 1)
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	actions := applyLoans(p.near, loans)
	require.Len(t, actions, 1)
	require.Equal(t, "b", actions[0].(scheduler.Grant).Endpoint)
	require.Empty(t, applyLoans(p.near, loans), "a repeated answer changes nothing")
	require.Empty(t, sendOffer(p.near, p.far))
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent, "renewed")
	p.near.finish(request(2), scheduler.Done, 30)
	sendOffer(p.near, p.far)
	sendOffer(p.near, p.far)
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
	stats := p.far.pool.Stats(p.far.now)
	require.Zero(t, stats.Workspaces[0].Charged, "the borrower charges")
}

// Guards against a slot that stays lent forever because only the borrower can end the
// loan, and the borrower's zone is partitioned or its scheduler restarts.
func TestLoanEndsUnlessRenewed(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	applyLoans(p.near, sendOffer(p.near, p.far))
	for range 4 {
		p.far.now = p.far.now.Add(scheduler.DefaultLease / 2)
		sendOffer(p.near, p.far)
		require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	}
	p.far.now = p.far.now.Add(scheduler.DefaultLease - time.Millisecond)
	p.far.apply(scheduler.Tick{})
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	p.far.now = p.far.now.Add(time.Millisecond)
	p.far.apply(scheduler.Tick{})
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
}

// A loan that no ticket can use any more is returned at once.
func TestUnusableLoanIsReturned(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	loans := sendOffer(p.near, p.far)
	p.near.finish(request(1), scheduler.Cancelled, 0)
	require.Empty(t, applyLoans(p.near, loans))
	sendOffer(p.near, p.far)
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
}

// Guards against a workspace that waits, after a partition in which both sides served
// it, until all others have caught up: workspace one is served in the far zone during
// the partition, workspace two waits in the near zone, and at the rejoin one's whole
// lead counts.
func TestDebtIsBoundedAtRejoin(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1, MaxDebt: 500})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	far := func(charged uint64) scheduler.Compared {
		return scheduler.Compared{Zone: "verona-b", Origin: 2, Totals: []scheduler.Total{{Workspace: "one", Charged: charged}}}
	}
	m.apply(far(1000))
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "two"}, scheduler.Ticket{Seq: 2, Workspace: "two"},
		scheduler.Ticket{Seq: 3, Workspace: "one"})
	m.now = m.now.Add(time.Minute)
	m.apply(far(1000 + 100_000))
	m.apply(far(1000 + 100_000)) // repeated
	m.apply(far(900))            // late
	stats := m.pool.Stats(m.now)
	require.Equal(t, "one", stats.Workspaces[0].Workspace)
	require.InDelta(t, 500, stats.Workspaces[0].Counter, 1)
	require.Contains(t, m.pool.History(), scheduler.Total{Workspace: "one", Charged: 100_000, Forgiven: 99_500})
}

// Guards against counting all service of a scheduler twice: another scheduler restarts
// without state, gets the collapsed history from this peer, and then the peer's own
// rows, which the history contains already, and adds both.
func TestJoiningCountsNothingTwice(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.far.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	p.far.progress(request(1), 5000)
	p.near.apply(scheduler.History{Totals: p.far.pool.History()})
	sendOffer(p.far, p.near)
	require.EqualValues(t, 5000, p.near.pool.History()[0].Charged)
	p.far.progress(request(1), 5300)
	p.far.now = p.far.now.Add(time.Second)
	sendOffer(p.far, p.near)
	require.EqualValues(t, 5300, p.near.pool.History()[0].Charged)
}

// Guards against a workspace that was idle in the whole fleet and then takes all slots
// of another zone: its own zone has had no slots and no work for long, workspaces of
// the other zone wait at high counters, and it is lifted only to the counter that its own
// zone has seen.
func TestNewcomerIsLiftedToRemoteDemand(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.apply(scheduler.History{Totals: []scheduler.Total{{Workspace: "two", Charged: 9000}}})
	m.apply(scheduler.Compared{Zone: "verona-b", Origin: 2, Demand: []scheduler.Demand{{Workspace: "two", Model: "draft", Waiting: 3}}})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	for _, w := range m.pool.Stats(m.now).Workspaces {
		require.InDelta(t, 9000, w.Counter, 1, w.Workspace)
	}
}

// Guards against a workspace that starves in one zone, or starves all others there: a
// zone's scheduler is replaced without a history, so that all its counters start at
// zero, and a zone with a long history lifts or forgives a workspace. Lifts and
// forgiveness are sent as sums and are wrong when measured from another base.
func TestRemoteLiftsAreBounded(t *testing.T) {
	const past = 1_000_000
	tests := map[string]struct {
		totals  []scheduler.Total
		lowest  float64
		highest float64
	}{
		"lifted before it was seen":   {totals: []scheduler.Total{{Workspace: "one", Lifted: past}}},
		"lifted since":                {totals: []scheduler.Total{{Workspace: "one"}, {Workspace: "one", Lifted: past}}, lowest: 500, highest: 500},
		"forgiven before it was seen": {totals: []scheduler.Total{{Workspace: "one", Forgiven: past}}},
		"forgiven since":              {totals: []scheduler.Total{{Workspace: "one"}, {Workspace: "one", Forgiven: past}}, lowest: -500, highest: -500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, scheduler.Options{Origin: 1, MaxDebt: 500})
			m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
			m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "two"}, scheduler.Ticket{Seq: 2, Workspace: "two"},
				scheduler.Ticket{Seq: 3, Workspace: "one"})
			for _, total := range test.totals {
				m.apply(scheduler.Compared{Zone: "verona-b", Origin: 2, Totals: []scheduler.Total{total}})
			}
			counter := m.pool.Stats(m.now).Workspaces[0].Counter
			require.GreaterOrEqual(t, counter, test.lowest)
			require.LessOrEqual(t, counter, test.highest)
		})
	}
}

// Guards against more requests than slots at an endpoint: the answer with a loan is
// repeated or late, and the borrower uses the loan although it was returned or has
// expired at its lender.
func TestLateLoanAnswersAreIgnored(t *testing.T) {
	const late = scheduler.DefaultLease - time.Millisecond
	for name, used := range map[string]bool{"used and returned": true, "lapsed": false} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
			p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
			answer := scheduler.Lent{Zone: "verona-b", Loans: sendOffer(p.near, p.far), RequestedAt: p.near.now}
			p.near.now = p.near.now.Add(time.Millisecond)
			if used {
				require.Len(t, p.near.pool.Apply(p.near.now, answer), 1)
				p.near.finish(request(1), scheduler.Failed, 0)
				p.near.now = p.near.now.Add(late - time.Millisecond)
				p.near.pool.Offer(p.near.now)
				require.Empty(t, p.near.pool.Apply(p.near.now, answer))
			}
			p.near.now = testStart.Add(scheduler.DefaultLease)
			require.Empty(t, p.near.pool.Apply(p.near.now, answer))
		})
	}
}
