package localizer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// reported returns the features that a report names under a lifetime.
func reported(r Report, lifetime Lifetime) []Feature {
	for _, crash := range r.Crashes {
		if crash.Lifetime == lifetime {
			return crash.Features
		}
	}
	return nil
}

// Guards against a broken connection, or a request that was long answered, that counts as a crash.
func TestOnlyEndsOfLifetimesAreReported(t *testing.T) {
	tests := map[string]struct {
		play func(o *Observer)
		want []Feature
	}{
		"nothing is known of the endpoint": {func(o *Observer) { o.Broke(testNow, 5, Profile{Shared: []Feature{1}, Whole: 2}, 0) }, nil},
		"it survives": {func(o *Observer) {
			o.Broke(testNow, 5, Profile{Shared: []Feature{1}, Whole: 2}, 0)
			o.Survived(5)
			o.Ended(testNow, 5)
		}, nil},
		"it has ended": {func(o *Observer) {
			o.Broke(testNow, 5, Profile{Shared: []Feature{1}, Whole: 2}, 0)
			o.Ended(testNow, 5)
			o.Broke(testNow, 5, Profile{Shared: []Feature{3}, Whole: 4}, 0)
		}, []Feature{1, 2, 3, 4}},
		"it ends long after": {func(o *Observer) {
			o.Broke(testNow.Add(-5*time.Minute), 5, Profile{Shared: []Feature{1}, Whole: 2}, 0)
			o.Ended(testNow, 5)
		}, nil},
		"one request was answered for long": {func(o *Observer) {
			o.Broke(testNow, 5, Profile{Shared: []Feature{1}, Whole: 2}, time.Second)
			o.Broke(testNow, 5, Profile{Shared: []Feature{3}, Whole: 4}, 0)
			o.Ended(testNow, 5)
		}, []Feature{3, 4}},
		"one feature is answered later": {func(o *Observer) {
			o.Broke(testNow, 5, Profile{Shared: []Feature{1}, Whole: 2}, 0)
			o.Ended(testNow, 5)
			o.Answered(testNow.Add(time.Millisecond), Profile{Shared: []Feature{1}, Whole: 9})
		}, []Feature{2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o Observer
			test.play(&o)
			require.Equal(t, test.want, reported(o.Report(testNow.Add(time.Second), time.Time{}), 5))
		})
	}
}

// Guards against checks of an endpoint for each of its requests that break off at once.
func TestEndpointIsProbedOnceASecond(t *testing.T) {
	var o Observer
	require.True(t, o.Broke(testNow, 5, Profile{Whole: 1}, 0))
	require.False(t, o.Broke(testNow, 5, Profile{Whole: 2}, 0))
	require.True(t, o.Broke(testNow.Add(probeInterval), 5, Profile{Whole: 3}, 0))
	o.Ended(testNow, 5)
	require.False(t, o.Broke(testNow.Add(3*probeInterval), 5, Profile{Whole: 4}, 0))
}

// Guards against a trial that two requests use, or that tells of two features at once.
func TestTrialIsUsedOnce(t *testing.T) {
	var o Observer
	trial := []Quarantine{{Feature: 1, Left: time.Minute, Trial: true}, {Feature: 2, Left: time.Minute}}
	o.SetQuarantines(testNow, trial)
	both, one := Profile{Shared: []Feature{1, 2}}, Profile{Shared: []Feature{1}}
	verdict, _ := o.Judge(testNow, both)
	require.Equal(t, Quarantined, verdict)
	verdict, _ = o.Judge(testNow, one)
	require.Equal(t, Trial, verdict)
	verdict, quarantine := o.Judge(testNow, one)
	require.Equal(t, Quarantined, verdict)
	require.Equal(t, Quarantine{Feature: 1, Left: time.Minute}, quarantine)
	o.SetQuarantines(testNow, trial)
	verdict, _ = o.Judge(testNow.Add(trialTerm), one)
	require.Equal(t, Quarantined, verdict, "the trial is over")
}

// Guards against a router whose memory grows with the requests that it sees.
func TestObserverIsBounded(t *testing.T) {
	var o Observer
	now := testNow
	for n := range 4 * maxAnswered {
		profile := Profile{Service: Feature(n), Shared: []Feature{Feature(2 * n), Feature(2*n + 1)}, Whole: Feature(n)}
		o.Answered(now, profile)
		o.Broke(now, Lifetime(n), profile, 0)
		o.Broke(now, 1, profile, 0)
		o.EndedUnframed(now, now, Lifetime(n), profile)
		o.EndedUnframed(now, now, 1, profile)
		o.Ask(now, []Feature{Feature(n)})
		o.SetQuarantines(now, []Quarantine{{Feature: Feature(n), Left: time.Minute}})
		now = now.Add(time.Microsecond)
	}
	require.LessOrEqual(t, len(o.answers.newer)+len(o.answers.older), 2*maxAnswered)
	require.LessOrEqual(t, len(o.broken), maxBroken)
	require.LessOrEqual(t, len(o.unframed), maxBroken)
	require.LessOrEqual(t, len(o.asked), 2*MaxSuspects)
	require.LessOrEqual(t, len(o.quarantined), maxQuarantined)
	for lifetime := range o.broken {
		require.LessOrEqual(t, len(o.broken[lifetime].features), maxBrokenFeatures)
	}
	features := 0
	for _, crash := range o.Report(now, time.Time{}).Crashes {
		features += len(crash.Features)
	}
	require.LessOrEqual(t, features, maxReported)
}

// Guards against crashes that are never reported because one report has no room for them.
func TestCrashesBeyondTheBoundFollowInLaterReports(t *testing.T) {
	var o Observer
	x := Exchange{Observer: &o, Clock: clockwork.NewFakeClockAt(testNow), Log: zerolog.Nop()}
	keeper := netip.MustParseAddrPort("10.0.0.1:1")
	const lifetimes, features = 40, 60
	for lifetime := range lifetimes {
		for feature := range features {
			o.Broke(testNow, Lifetime(lifetime+1), Profile{Service: 1, Whole: Feature(features*lifetime + feature + 10)}, 0)
		}
		o.Ended(testNow, Lifetime(lifetime+1))
	}
	told := make(map[uint64]int)
	for range lifetimes {
		request := &messenger.FollowRequest{}
		x.AddReport(keeper, request)
		count := 0
		for _, crash := range request.GetCrashes() {
			told[crash.GetEndpoint()] += len(crash.GetFeatures())
			count += len(crash.GetFeatures())
		}
		require.LessOrEqual(t, count, maxReported)
		x.Answered(keeper, &messenger.FollowResponse{Epoch: 1})
		if x.Reported() {
			break
		}
	}
	require.True(t, x.Reported())
	require.Len(t, told, lifetimes)
	for lifetime, count := range told {
		require.GreaterOrEqual(t, count, features, "lifetime %d", lifetime)
	}
}

// Guards against a keeper that starts again between two polls and is told the latest crashes only.
func TestRestartedKeeperIsToldAllCrashes(t *testing.T) {
	var o Observer
	clock := clockwork.NewFakeClockAt(testNow)
	x := Exchange{Observer: &o, Clock: clock, Log: zerolog.Nop()}
	keeper := netip.MustParseAddrPort("10.0.0.1:1")
	poll := func(epoch uint64) int {
		request := &messenger.FollowRequest{}
		x.AddReport(keeper, request)
		clock.Advance(time.Second)
		x.Answered(keeper, &messenger.FollowResponse{Epoch: epoch})
		return len(request.GetCrashes())
	}
	o.Broke(testNow, 5, Profile{Service: 1, Whole: 2}, 0)
	o.Ended(testNow, 5)
	require.False(t, x.Reported())
	require.Equal(t, 1, poll(1))
	require.True(t, x.Reported())
	clock.Advance(5 * time.Minute)
	require.Zero(t, poll(1))
	require.Zero(t, poll(2), "it has started again since the last answer")
	require.False(t, x.Reported())
	require.Equal(t, 1, poll(2))
	require.Zero(t, poll(2))
	x.Lost(keeper)
	require.Equal(t, 1, poll(2))
}

// Guards against a feature that is reported as unanswered once its answer is forgotten here.
func TestAnsweredFeaturesStayOutOfLaterReports(t *testing.T) {
	var o Observer
	o.Broke(testNow, 5, Profile{Service: 1, Shared: []Feature{2, 3}, Whole: 4}, 0)
	o.Ended(testNow, 5)
	o.Answered(testNow.Add(time.Second), Profile{Service: 1, Shared: []Feature{2}, Whole: 4})
	now := testNow.Add(2 * time.Second)
	for n := range 3 * maxAnswered {
		o.Answered(now, Profile{Service: 1, Shared: []Feature{Feature(100 + n)}})
	}
	require.True(t, o.answers.latest(2).IsZero(), "the answer is forgotten")
	require.Equal(t, []Feature{3}, reported(o.Report(testNow.Add(reportRetention), time.Time{}), 5))
	require.Empty(t, o.Report(testNow.Add(reportRetention+time.Second), time.Time{}).Crashes)
	require.Empty(t, o.blamed)
}
