package indexer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

var first, second = netip.MustParseAddrPort("10.0.0.1:7400"), netip.MustParseAddrPort("10.0.0.2:7400")

// report returns a report to a keeper.
func report(x *Exchange, now time.Time, keeper netip.AddrPort) *messenger.FollowRequest {
	request := &messenger.FollowRequest{}
	x.AddReport(now, keeper, request)
	return request
}

// Guards against a prefix that no keeper learns because the poll with its report got lost, or its keeper
// failed.
func TestReportsAreSentUntilAKeeperAnswers(t *testing.T) {
	var x Exchange
	x.Add(start, Holding{1, 10}, true)
	require.Len(t, report(&x, start, first).GetHoldings(), 1)
	require.Len(t, report(&x, start, first).GetHoldings(), 1, "the poll was not answered")
	x.Add(start, Holding{2, 10}, true)
	x.Lost(first)
	require.Len(t, report(&x, start, second).GetHoldings(), 2)
	x.Add(start, Holding{3, 10}, true)
	x.Answered(start, second, &messenger.FollowResponse{HoldingsNext: 5})
	request := report(&x, start, second)
	require.Equal(t, []Holding{{3, 10}}, FromWire(request.GetHoldings()), "was added after the report")
	require.EqualValues(t, 5, request.GetHoldingsAfter())
	require.Zero(t, report(&x, start, first).GetHoldingsAfter(), "another keeper's revisions differ")
	x.Answered(start, second, &messenger.FollowResponse{HoldingsNext: 6})
	require.Empty(t, report(&x, start, second).GetHoldings())
	x.Lost(second)
	require.Zero(t, report(&x, start, second).GetHoldingsAfter(), "it may have restarted")
}

// Guards against a report that tells of an old use as of a new one, after all keepers were away.
func TestOldEntriesAreNotReported(t *testing.T) {
	var x Exchange
	x.Add(start, Holding{1, 10}, true)
	x.Add(start.Add(time.Second), Holding{2, 10}, true)
	request := report(&x, start.Add(reportRetention), first)
	require.Equal(t, []Holding{{2, 10}}, FromWire(request.GetHoldings()))
	x.Answered(start.Add(reportRetention), first, &messenger.FollowResponse{})
	require.Empty(t, x.unreported)
}

// Guards against a report for each request, and against a prefix in use that is reported once only.
func TestUsesAreReportedOncePerInterval(t *testing.T) {
	var x Exchange
	reported := 0
	for i := range 100 { // 10 s
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		x.Add(now, Holding{1, 10}, true)
		x.Add(now, Holding{2, 10}, false)
		reported += len(report(&x, now, first).GetHoldings())
		x.Answered(now, first, &messenger.FollowResponse{})
	}
	require.Equal(t, 5, reported)
	now := start.Add(20 * time.Second)
	x.Answered(now, first, &messenger.FollowResponse{Holdings: ToWire([]Holding{{1, 10}})})
	x.Add(now.Add(time.Second), Holding{1, 10}, true)
	require.Empty(t, report(&x, now.Add(time.Second), first).GetHoldings(), "another router has just reported it")
	x.Add(now.Add(RefreshInterval), Holding{1, 10}, true)
	require.Len(t, report(&x, now.Add(RefreshInterval), first).GetHoldings(), 1)
}

// Guards against a report that an engine holds a prefix after its connection broke or it restarted.
func TestRemovedEntriesAreNotReported(t *testing.T) {
	var x Exchange
	x.Add(start, Holding{1, 10}, true)
	x.Add(start, Holding{1, 20}, true)
	x.RemoveEndpoint(10)
	require.Equal(t, []Holding{{1, 20}}, FromWire(report(&x, start, first).GetHoldings()))
	x.Add(start, Holding{1, 10}, true) // it has prefilled the prefix again
	x.Answered(start, first, &messenger.FollowResponse{})
	require.Equal(t, []Holding{{1, 10}}, FromWire(report(&x, start, first).GetHoldings()))
}

// Guards against a router that hears no keeper and whose metrics don't show it, because it sends requests.
func TestSilenceOfKeepersIsShown(t *testing.T) {
	var x Exchange
	require.Zero(t, x.Silence(start))
	now := start
	for range 10 {
		x.Add(now, Holding{1, 10}, true)
		x.Answered(now, first, &messenger.FollowResponse{})
		now = now.Add(time.Second)
	}
	require.Equal(t, 10*time.Second, x.Silence(now))
	x.Answered(now, first, &messenger.FollowResponse{Holdings: ToWire([]Holding{{1, 10}})})
	require.Zero(t, x.Silence(now))
	x.Add(now.Add(3*time.Second), Holding{2, 10}, true)
	require.Equal(t, 4*time.Second, x.Silence(now.Add(4*time.Second)))
	require.Zero(t, x.Silence(now.Add(time.Minute)), "nothing is in use")
}

// Guards against reports that grow while no keeper answers.
func TestUnreportedEntriesAreBounded(t *testing.T) {
	var x Exchange
	for prefix := range uint64(10 * MaxReported) {
		x.Add(start, Holding{prefix, 10}, true)
	}
	holdings := FromWire(report(&x, start, first).GetHoldings())
	require.Len(t, holdings, MaxReported)
	require.Contains(t, holdings, Holding{10*MaxReported - 1, 10}, "the newest are kept")
	x.Add(start, Holding{1 << 40, 10}, true) // drops the oldest, which is in the report
	x.Answered(start, first, &messenger.FollowResponse{})
	require.Len(t, report(&x, start, first).GetHoldings(), 1)
}
