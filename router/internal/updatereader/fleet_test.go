package updatereader

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/predictor"
)

// Guards against reports that exceed what a link may carry, and against a keeper that takes over and gets
// no running requests and speeds for as long as the intervals.
func TestRunningRequestsAndSpeedsAreReportedAtIntervals(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var crashes localizer.Observer
	r := New(Options{
		Clock: clock, Log: zerolog.Nop(), Crashes: &crashes, Endpoints: func([]lister.Listing) {},
		Loads: func() map[uint64]balancer.Load {
			return map[uint64]balancer.Load{7: {Running: 2, Remaining: 50}, 8: {Unread: 10, Running: 1}}
		},
		Speeds: func() map[uint64]predictor.Sums {
			return map[uint64]predictor.Sums{7: {Waits: 1.5, WaitLog: -0.25}, 9: {Waits: 0.001}}
		},
	})
	withWork, periodic := 0, 0
	report := func() *messenger.FollowRequest {
		request := r.Report(at(1), false)
		for _, load := range request.GetLoads() {
			if load.GetEndpoint() == 7 {
				withWork++
				require.EqualValues(t, 50, load.GetRemaining())
			}
		}
		if request.GetPeriodic() {
			periodic++
			require.Len(t, request.GetSpeeds(), 1, "only engines with observations")
			require.EqualValues(t, 150, request.GetSpeeds()[0].GetWaits())
			require.EqualValues(t, -25, request.GetSpeeds()[0].GetWaitLog())
		}
		return request
	}
	for range 40 { // two seconds
		require.NotEmpty(t, report().GetLoads())
		clock.Advance(50 * time.Millisecond)
	}
	require.Equal(t, 8, withWork)
	require.Equal(t, 2, periodic)
	require.Empty(t, r.Report(at(2), true).GetLoads(), "brief reports carry none")
	report()
	withWork, periodic = 0, 0
	r.Lost(at(1), nil)
	report()
	require.Equal(t, 1, withWork)
	require.Equal(t, 1, periodic)
}

// Guards against sums of a part of the fleet that count as those of all routers, and against speeds that are
// dropped by updates without any.
func TestSumsOfUpdates(t *testing.T) {
	update := &messenger.FollowResponse{
		Reporting: 2, Expected: 4, Periodic: true,
		Loads:  []*messenger.Load{{Endpoint: 7, Unread: 100, Running: 3, Remaining: 250}},
		Speeds: []*messenger.Speed{{Endpoint: 7, Waits: 250, WaitLog: -50, Gaps: 100, GapLog: 25}},
	}
	sums := fleetSumsOf(update)
	require.Equal(t, map[uint64]balancer.Load{7: {Unread: 200, Running: 6, Remaining: 500}}, sums.Loads)
	require.Equal(t, map[uint64]predictor.Sums{7: {Waits: 2.5, WaitLog: -0.5, Gaps: 1, GapLog: 0.25}}, sums.Speeds)
	require.Nil(t, fleetSumsOf(&messenger.FollowResponse{}).Speeds)
}
