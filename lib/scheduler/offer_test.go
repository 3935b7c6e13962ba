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

// newOfferer is a pool at which many workspaces wait for one slot.
func newOfferer(t *testing.T, workspaces int) *model {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	for i := range workspaces {
		m.enrol(router1, scheduler.Ticket{Seq: uint64(i + 1), Workspace: fmt.Sprintf("workspace-%03d", i)})
	}
	return m
}

// Symptom: with more zones, nodes spend their whole control budget on comparing.
// Sequence: every pool tells every zone all it has, at a fixed interval. Cause:
// the cost grows with the square of the zones and nothing bounds it.
func TestExchangesGetRarerWithTheirCost(t *testing.T) {
	tests := map[string]struct {
		workspaces, zones, pools int
		least, most              time.Duration
	}{
		"quiet":             {workspaces: 0, zones: 2, pools: 1, least: time.Second, most: time.Second},
		"a few":             {workspaces: 2, zones: 1, pools: 1, least: scheduler.MinCompareInterval, most: scheduler.MinCompareInterval},
		"many workspaces":   {workspaces: 100, zones: 2, pools: 1, least: time.Second, most: 3 * time.Second},
		"many zones":        {workspaces: 100, zones: 18, pools: 1, least: time.Second, most: 3 * time.Second},
		"many pools":        {workspaces: 100, zones: 18, pools: 2, least: 2 * time.Second, most: 6 * time.Second},
		"as much as can be": {workspaces: 100, zones: 500, pools: 9, least: scheduler.MaxCompareInterval, most: scheduler.MaxCompareInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newOfferer(t, test.workspaces)
			m.pool.CompareInterval(m.now, test.zones, test.pools) // the host tells how many zones there are
			m.pool.Offer(m.now)
			after := m.pool.CompareInterval(m.now, test.zones, test.pools)
			require.GreaterOrEqual(t, after, test.least)
			require.LessOrEqual(t, after, test.most)
			spent := test.pools * 2 * m.pool.ExchangeBytes()
			if after < scheduler.MaxCompareInterval {
				require.LessOrEqual(t, float64(spent), 1.01*scheduler.DefaultCompareBudget*after.Seconds())
			}
		})
	}
}

// Symptom: a workspace that waits is told last, and other zones take it for
// behind. Sequence: more rows have changed than a message carries. Cause: rows go
// in the order of names.
func TestRowsOfThoseThatWaitGoFirst(t *testing.T) {
	m := newOfferer(t, 0)
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
	told := len(rows)
	for range 10 { // the others have their turn
		m.now = m.now.Add(time.Millisecond)
		rows, demand, _, _, _ = m.pool.Offer(m.now)
		require.Len(t, demand, 1)
		told += len(rows)
	}
	require.Equal(t, 41, told)
}

// Each zone is told of its own loans only.
func TestLoansAreToldToTheirLenders(t *testing.T) {
	p := newLendingPair(t, 1)
	loans := p.exchange()
	p.near.apply(scheduler.Lent{Zone: "bolzano-c", Origin: 3, Loans: []scheduler.Loan{{ID: 7, Workspace: "one", Model: "draft", Endpoint: "c", Lease: time.Second}}})
	p.near.pool.Offer(p.near.now)
	returned, renewed := p.near.pool.LoansOf("verona-b", p.near.now)
	require.Empty(t, returned)
	require.Equal(t, []uint64{loans[0].ID}, renewed)
	returned, renewed = p.near.pool.LoansOf("bolzano-c", p.near.now)
	require.Equal(t, []uint64{7}, returned, "nothing waits that could use it")
	require.Empty(t, renewed)
}

func TestPackedLoansUnpack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOf(rapid.Uint64()).Draw(t, "ids")
		slices.Sort(ids)
		require.Equal(t, ids, scheduler.UnpackLoans(scheduler.PackLoans(ids)))
	})
}
