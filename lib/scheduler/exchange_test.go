package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// pair is two zones' pools of one service.
type pair struct{ near, far *model }

func newPair(t *testing.T) pair {
	p := pair{near: newModel(t, scheduler.Options{Origin: 1}), far: newModel(t, scheduler.Options{Origin: 2})}
	p.far.pool = scheduler.New(scheduler.Options{Zone: "verona-b", Service: "modelli", Origin: 2})
	p.far.apply(scheduler.Configured{Rules: rules{}})
	return p
}

// compare carries one exchange from one pool to the other and back.
func compare(from, to *model) []scheduler.Loan {
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

// take gives loans to the borrowing pool; its grants name foreign endpoints.
func take(to *model, loans []scheduler.Loan) []scheduler.Action {
	return to.pool.Apply(to.now, scheduler.Lent{Zone: "verona-b", Origin: 2, Loans: loans})
}

func TestIdleSlotsAreLentAndReturned(t *testing.T) {
	p := newPair(t)
	p.near.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
	loans := compare(p.near, p.far)
	require.Len(t, loans, 1)
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	actions := take(p.near, loans)
	require.Len(t, actions, 1)
	require.Equal(t, "b", actions[0].(scheduler.Grant).Endpoint)
	require.Empty(t, take(p.near, loans), "a repeated answer changes nothing")
	require.Empty(t, compare(p.near, p.far))
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent, "renewed")
	p.near.finish(request(2), scheduler.Done, 30)
	compare(p.near, p.far)
	compare(p.near, p.far)
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
	stats := p.far.pool.Stats(p.far.now)
	require.Zero(t, stats.Workspaces[0].Charged, "the borrower charges")
}

// Symptom: a slot stays lent for ever. Sequence: the borrower's zone is cut off
// or its scheduler restarts. Cause: only the borrower ends the loan.
func TestLoanEndsUnlessRenewed(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	take(p.near, compare(p.near, p.far))
	for range 4 {
		p.far.now = p.far.now.Add(scheduler.DefaultLease / 2)
		compare(p.near, p.far)
		require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	}
	p.far.now = p.far.now.Add(scheduler.DefaultLease - time.Millisecond)
	p.far.apply(scheduler.Tick{})
	require.Equal(t, 1, p.far.pool.Stats(p.far.now).Lent)
	p.far.now = p.far.now.Add(time.Millisecond)
	p.far.apply(scheduler.Tick{})
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
}

// A loan that no ticket can use any more goes back at once.
func TestUselessLoanIsReturned(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	loans := compare(p.near, p.far)
	p.near.finish(request(1), scheduler.Cancelled, 0)
	require.Empty(t, take(p.near, loans))
	compare(p.near, p.far)
	require.Zero(t, p.far.pool.Stats(p.far.now).Lent)
}

// Symptom: after a cut a workspace that both halves served waits until all
// others have caught up. Sequence: one is served in the far zone during the
// cut, then rejoins a near zone where two waits. Cause: its whole lead counts.
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

// Symptom: the service of a scheduler's whole life counts twice. Sequence: a
// scheduler restarts without memory, gets the collapsed history from a peer, and
// then the peer's own rows, which that history contains. Cause: both are added.
func TestJoiningCountsNothingTwice(t *testing.T) {
	p := newPair(t)
	p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
	p.far.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	p.far.progress(request(1), 5000)
	p.near.apply(scheduler.History{Totals: p.far.pool.History()})
	compare(p.far, p.near)
	require.EqualValues(t, 5000, p.near.pool.History()[0].Charged)
	p.far.progress(request(1), 5300)
	p.far.now = p.far.now.Add(time.Second)
	compare(p.far, p.near)
	require.EqualValues(t, 5300, p.near.pool.History()[0].Charged)
}

// Symptom: a workspace that was idle in the whole fleet takes all of another
// zone's slots. Sequence: its zone has had no work for long, and no slots; far
// workspaces wait at high counters. Cause: it is lifted only to what its own
// zone has seen.
func TestNewcomerIsLiftedToThoseThatWaitAbroad(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.apply(scheduler.History{Totals: []scheduler.Total{{Workspace: "two", Charged: 9000}}})
	m.apply(scheduler.Compared{Zone: "verona-b", Origin: 2, Demand: []scheduler.Demand{{Workspace: "two", Model: "draft", Waiting: 3}}})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	for _, w := range m.pool.Stats(m.now).Workspaces {
		require.InDelta(t, 9000, w.Counter, 1, w.Workspace)
	}
}

// Symptom: a workspace starves in one zone, or starves all others there. Sequence:
// a zone's scheduler is replaced and gets no history, so that all its counters
// start at zero; another zone, which remembers a whole past, lifts a workspace to
// its level or forgives it. Cause: lifts and forgiveness are told as sums, and
// count although they are measured from another base.
func TestLiftsOfALongerPastAreBounded(t *testing.T) {
	const past = 1_000_000
	tests := map[string]struct {
		totals []scheduler.Total
		least  float64
		most   float64
	}{
		"lifted before it was seen":   {totals: []scheduler.Total{{Workspace: "one", Lifted: past}}},
		"lifted since":                {totals: []scheduler.Total{{Workspace: "one"}, {Workspace: "one", Lifted: past}}, least: 500, most: 500},
		"forgiven before it was seen": {totals: []scheduler.Total{{Workspace: "one", Forgiven: past}}},
		"forgiven since":              {totals: []scheduler.Total{{Workspace: "one"}, {Workspace: "one", Forgiven: past}}, least: -500, most: -500},
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
			require.GreaterOrEqual(t, counter, test.least)
			require.LessOrEqual(t, counter, test.most)
		})
	}
}

// Symptom: an engine runs more requests than it has slots. Sequence: the answer
// with a loan is repeated or late, and arrives when the loan has been given back
// or has lapsed at its lender. Cause: the borrower uses it all the same.
func TestLateAnswersLendNothing(t *testing.T) {
	const late = scheduler.DefaultLease - time.Millisecond
	for name, used := range map[string]bool{"used and given back": true, "lapsed": false} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.far.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1, TTL: time.Hour})
			p.near.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
			answer := scheduler.Lent{Zone: "verona-b", Origin: 2, Loans: compare(p.near, p.far), RequestedAt: p.near.now}
			p.near.now = p.near.now.Add(time.Millisecond)
			if used {
				require.Len(t, p.near.pool.Apply(p.near.now, answer), 1)
				p.near.finish(request(1), scheduler.Failed, 0)
				p.near.now = p.near.now.Add(late - time.Millisecond)
				p.near.pool.Offer(p.near.now)
				require.Empty(t, p.near.pool.Apply(p.near.now, answer))
			}
			p.near.now = zero.Add(scheduler.DefaultLease)
			require.Empty(t, p.near.pool.Apply(p.near.now, answer))
		})
	}
}
