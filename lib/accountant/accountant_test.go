package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/accountant"
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Exchanges that are lost, repeated and reordered change nothing in the end:
// two ledgers that have heard each other's last rows agree.
func TestExchangesInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"one", "two", "three"}
		var ledgers [2]accountant.Ledger
		var sent [2][][]accountant.Entry
		now := zero
		for from := range 2 {
			for _, name := range names { // both know each other from the start
				ledgers[from].Account(name).Charge(1)
			}
			sent[from] = append(sent[from], ledgers[from].Due(now))
			ledgers[1-from].Merge(now, uint64(from), sent[from][0])
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, 1).Draw(t, "ledger")
			account := ledgers[from].Account(rapid.SampledFrom(names).Draw(t, "workspace"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				account.Charge(rapid.Uint64Range(1, 1000).Draw(t, "units"))
			case 1:
				account.LiftTo(account.Counter() + rapid.Float64Range(0, 500).Draw(t, "lift"))
			case 2:
				account.ForgiveTo(account.Counter() - rapid.Float64Range(0, 500).Draw(t, "forgiven"))
			case 3:
				now = now.Add(time.Second)
				sent[from] = append(sent[from], ledgers[from].Due(now))
			case 4:
				ledgers[1-from].Merge(now, uint64(from), rapid.SampledFrom(sent[from]).Draw(t, "message"))
			}
		}
		for range 2 { // a lift raised by one shows in the other's own row after it
			for from := range 2 {
				now = now.Add(time.Minute)
				ledgers[from].ResendAll()
				ledgers[1-from].Merge(now, uint64(from), ledgers[from].Due(now))
			}
		}
		for _, name := range names {
			require.InDelta(t, ledgers[0].Account(name).Counter(), ledgers[1].Account(name).Counter(), 1e-6)
		}
	})
}

// A change of weight counts from now on and never rewrites what was charged.
func TestWeightCountsFromNowOn(t *testing.T) {
	var l accountant.Ledger
	a := l.Account("one")
	a.Charge(100)
	a.SetWeight(4)
	require.InDelta(t, 100, a.Counter(), 1e-9)
	a.Charge(100)
	require.InDelta(t, 125, a.Counter(), 1e-9)
}

// A row that stopped changing is sent again less and less often, and at once
// when a cut has ended.
func TestRowsAreSentAgainLessOften(t *testing.T) {
	var l accountant.Ledger
	l.Account("one").Charge(5)
	sent := 0
	for now := zero; now.Before(zero.Add(10 * time.Minute)); now = now.Add(200 * time.Millisecond) {
		sent += len(l.Due(now))
	}
	require.Greater(t, sent, 10)
	require.Less(t, sent, 25)
	l.ResendAll()
	require.Len(t, l.Due(zero.Add(10*time.Minute)), 1)
}
