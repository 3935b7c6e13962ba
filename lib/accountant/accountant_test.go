package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/accountant"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Lost, repeated and reordered exchanges don't change the final result: two ledgers that have
// received each other's last rows agree.
func TestExchangesInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"one", "two", "three"}
		var ledgers [2]accountant.Ledger
		var sent [2][][]accountant.Entry
		now := epoch
		for from := range 2 {
			for _, name := range names { // each ledger receives the other's rows from the start
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
		for range 2 { // a lift merged by one ledger is in its own row only afterwards
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

// A change of weight applies to later charges only.
func TestWeightCountsFromNowOn(t *testing.T) {
	var l accountant.Ledger
	a := l.Account("one")
	a.Charge(100)
	a.SetWeight(4)
	require.InDelta(t, 100, a.Counter(), 1e-9)
	a.Charge(100)
	require.InDelta(t, 125, a.Counter(), 1e-9)
}

// A row that has stopped changing is resent at growing intervals, and at once after ResendAll.
func TestResendIntervalGrows(t *testing.T) {
	var l accountant.Ledger
	l.Account("one").Charge(5)
	sent := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(200 * time.Millisecond) {
		sent += len(l.Due(now))
	}
	require.Greater(t, sent, 10)
	require.Less(t, sent, 25)
	l.ResendAll()
	require.Len(t, l.Due(epoch.Add(10*time.Minute)), 1)
}
