package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// Guards against running requests or speeds that count twice, or remain, when reports without them
// arrive, a router moves to another keeper, a router falls silent, or a keeper is lost.
func TestOccasionalReportsStayInTheSums(t *testing.T) {
	var a, b directory
	full := func(node string) *messenger.FollowRequest {
		return &messenger.FollowRequest{
			Node: node, Epoch: epoch, Periodic: true,
			Loads:  []*messenger.Load{{Endpoint: 7, Unread: 100, Running: 3, Remaining: 300}},
			Speeds: []*messenger.Speed{{Endpoint: 7, Waits: 200, WaitLog: -50, Gaps: 100, GapLog: 20}},
		}
	}
	unreadOnly := func(node string) *messenger.FollowRequest {
		return &messenger.FollowRequest{Node: node, Epoch: epoch, Loads: []*messenger.Load{{Endpoint: 7, Unread: 100}}}
	}
	exchange := func(now time.Time, from, to *directory) {
		report := &messenger.FollowRequest{Node: "keeper", Keeper: true}
		from.summarize(now, time.Time{}, false, report)
		from.addOccasionalTo(now, &occasional{}, report)
		to.follow(now, report)
	}
	ask := func(now time.Time, d *directory, node string) (work workSum, speed *messenger.Speed) {
		request := unreadOnly(node)
		request.Periodic = true
		d.followers[node].occasional.sentWorkAt = time.Time{}
		response := d.updatesFor(now, request, epoch)
		require.True(t, response.GetPeriodic())
		for _, load := range response.GetLoads() {
			work = workSum{int64(load.GetRunning()), int64(load.GetRemaining())}
		}
		for _, at := range response.GetSpeeds() {
			speed = at
		}
		return work, speed
	}
	now := testStart
	for range 2 {
		for _, node := range []string{"r-1", "r-2", "r-3"} {
			a.follow(now, full(node))
			a.follow(now, unreadOnly(node))
		}
		exchange(now, &a, &b)
	}
	work, speed := ask(now, &a, "r-1")
	require.Equal(t, workSum{6, 600}, work)
	require.True(t, proto.Equal(&messenger.Speed{Endpoint: 7, Waits: 400, WaitLog: -100, Gaps: 200, GapLog: 40}, speed))

	b.follow(now, full("r-3"))
	a.follow(now, &messenger.FollowRequest{Node: "r-3", Brief: true})
	exchange(now, &a, &b)
	exchange(now, &b, &a)
	work, speed = ask(now, &a, "r-1")
	require.Equal(t, workSum{6, 600}, work, "a router has moved to another keeper")
	require.EqualValues(t, 400, speed.GetWaits())
	work, speed = ask(now, &b, "r-3")
	require.Equal(t, workSum{6, 600}, work)
	require.EqualValues(t, 400, speed.GetWaits())

	now = now.Add(reportTTL + 1)
	a.follow(now, unreadOnly("r-1"))
	a.expire(now)
	work, speed = ask(now, &a, "r-1")
	require.Zero(t, work, "stale running requests do not count")
	require.EqualValues(t, 400, speed.GetWaits(), "speeds count for longer")
	now = now.Add(followerMemory)
	a.follow(now, unreadOnly("r-1"))
	a.expire(now)
	require.Empty(t, a.totalSums.work)
	require.Empty(t, a.totalSums.speeds, "a router that is late and a keeper that is lost are forgotten")
	require.Empty(t, a.directSums.speeds)
}

// Guards against running requests in each answer to each router: they would exceed what its link may carry.
func TestRunningRequestsAreSentAtIntervals(t *testing.T) {
	var d directory
	d.follow(testStart, &messenger.FollowRequest{Node: "other", Loads: []*messenger.Load{{Endpoint: 7, Running: 3, Remaining: 300}}})
	sent := 0
	for poll := range 20 { // one second
		now := testStart.Add(time.Duration(poll) * 50 * time.Millisecond)
		request := &messenger.FollowRequest{Node: "r", Epoch: epoch}
		d.follow(now, request)
		response := d.updatesFor(now, request, epoch)
		require.False(t, response.GetPeriodic())
		require.Empty(t, response.GetSpeeds())
		sent += len(response.GetLoads())
	}
	require.Equal(t, 4, sent)
}

// Guards against control traffic of a router that grows beyond its bound in the largest deployment: running
// requests four times and speeds once a second, of 140 engines.
func TestOccasionalReportsAreSmall(t *testing.T) {
	const maxBytesPerSecond = 9 << 10
	plain, full := &messenger.FollowResponse{}, &messenger.FollowResponse{}
	speeds := &messenger.FollowResponse{}
	for i := range uint64(140) {
		plain.Loads = append(plain.Loads, &messenger.Load{Endpoint: i << 50, Unread: 6000})
		full.Loads = append(full.Loads, &messenger.Load{Endpoint: i << 50, Unread: 6000, Running: 14, Remaining: 3000})
		speeds.Speeds = append(speeds.Speeds, &messenger.Speed{Endpoint: i << 50, Waits: 12_000, WaitLog: -6000, Gaps: 40_000, GapLog: 20_000})
	}
	added := 4*(proto.Size(full)-proto.Size(plain)) + proto.Size(speeds)
	require.LessOrEqual(t, added, maxBytesPerSecond, fmt.Sprint(added))
	t.Log(added)
}
