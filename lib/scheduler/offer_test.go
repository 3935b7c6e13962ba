package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

// newWaitingPool returns a pool with one slot and one request of each of a number of
// workspaces.
func newWaitingPool(t *testing.T, workspaces int) *model {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	for i := range workspaces {
		m.enrol(router1, scheduler.Ticket{Seq: uint64(i + 1), Workspace: fmt.Sprintf("workspace-%03d", i)})
	}
	return m
}

// Guards against exchanges that use up the control budget of all nodes as zones are
// added: with all rows sent to every zone at a fixed interval, the cost grows with the
// square of the number of zones without a bound.
func TestExchangeIntervalGrowsWithCost(t *testing.T) {
	tests := map[string]struct {
		workspaces, zones, pools int
		shortest, longest        time.Duration
	}{
		"quiet":           {workspaces: 0, zones: 2, pools: 1, shortest: time.Second, longest: time.Second},
		"a few":           {workspaces: 2, zones: 1, pools: 1, shortest: scheduler.MinCompareInterval, longest: scheduler.MinCompareInterval},
		"many workspaces": {workspaces: 100, zones: 2, pools: 1, shortest: time.Second, longest: 3 * time.Second},
		"many zones":      {workspaces: 100, zones: 18, pools: 1, shortest: time.Second, longest: 3 * time.Second},
		"many pools":      {workspaces: 100, zones: 18, pools: 2, shortest: 2 * time.Second, longest: 6 * time.Second},
		"upper limit":     {workspaces: 100, zones: 500, pools: 9, shortest: scheduler.MaxCompareInterval, longest: scheduler.MaxCompareInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newWaitingPool(t, test.workspaces)
			m.pool.CompareInterval(m.now, test.zones, test.pools) // sets the number of zones for the first offer
			m.pool.Offer(m.now)
			after := m.pool.CompareInterval(m.now, test.zones, test.pools)
			require.GreaterOrEqual(t, after, test.shortest)
			require.LessOrEqual(t, after, test.longest)
			spent := test.pools * 2 * m.pool.ExchangeBytes()
			if after < scheduler.MaxCompareInterval {
				require.LessOrEqual(t, float64(spent), 1.01*scheduler.DefaultCompareBudget*after.Seconds())
			}
		})
	}
}

// Guards against rows of waiting workspaces that are sent last, so that other zones
// assume too low a counter for them: more rows have changed than a message carries, and
// rows are sent in the order of names.
func TestRowsOfWaitingWorkspacesGoFirst(t *testing.T) {
	m := newWaitingPool(t, 0)
	m.pool.CompareInterval(m.now, 18, 1)
	for i := range 40 {
		id := request(uint64(i + 1))
		m.enrol(router1, scheduler.Ticket{Seq: id.Seq, Workspace: fmt.Sprintf("workspace-%03d", i)})
		m.finish(id, scheduler.Done, 1000)
	}
	m.enrol(router1, scheduler.Ticket{Seq: 100, Workspace: "zebra"}, scheduler.Ticket{Seq: 101, Workspace: "zebra"})
	m.progress(request(100), 50)
	rows, demand, returned, _, _ := m.pool.Offer(m.now)
	require.Empty(t, returned)
	require.Len(t, rows, 8)
	require.Contains(t, rows, scheduler.Total{Workspace: "zebra", Charged: 50, Lifted: rows[len(rows)-1].Lifted})
	require.Equal(t, []scheduler.Demand{{Workspace: "zebra", Model: "draft", Waiting: 1}}, demand)
	sent := len(rows)
	for range 10 { // the other rows follow
		m.now = m.now.Add(time.Millisecond)
		rows, demand, _, _, _ = m.pool.Offer(m.now)
		require.Len(t, demand, 1)
		sent += len(rows)
	}
	require.Equal(t, 41, sent)
}

// Returns and renewals of loans go only to the zone that lent the slot.
func TestLoansAreReportedToTheirLenders(t *testing.T) {
	p := newLendingPair(t, 1)
	loans := p.exchange()
	p.near.apply(scheduler.Lent{Zone: "bolzano-c", Loans: []scheduler.Loan{{ID: 7, Workspace: "one", Model: "draft", Endpoint: "c", Lease: time.Second}}})
	p.near.pool.Offer(p.near.now)
	returned, renewed := p.near.pool.LoansOf("verona-b", p.near.now)
	require.Empty(t, returned)
	require.Equal(t, []uint64{loans[0].ID}, renewed)
	returned, renewed = p.near.pool.LoansOf("bolzano-c", p.near.now)
	require.Equal(t, []uint64{7}, returned, "no waiting request can use it")
	require.Empty(t, renewed)
}

// Packing and unpacking loan ids returns the same ids.
func TestPackedLoansUnpack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOf(rapid.Uint64()).Draw(t, "ids")
		slices.Sort(ids)
		require.Equal(t, ids, scheduler.UnpackLoans(scheduler.PackLoans(ids)))
	})
}
