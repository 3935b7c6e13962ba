package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
)

// badFeature is the feature that crashes endpoints in these tests.
const badFeature = 7

// reportCrash has a router report the crash of one lifetime under the bad feature.
func reportCrash(d *directory, now time.Time, node string, lifetime uint64) (changed bool) {
	report := &messenger.FollowRequest{Node: node, Crashes: []*messenger.Crash{{Endpoint: lifetime, Service: 1, Features: []uint64{badFeature}}}}
	return d.follow(now, report)
}

// quarantine has three routers report a crash each, and returns the time at which the feature is
// quarantined.
func quarantine(t *testing.T, d *directory) time.Time {
	t.Helper()
	now, changed := testStart, false
	for n, node := range []string{"a", "b", "c"} {
		require.False(t, reportCrash(d, now, node, uint64(n+1)))
		require.False(t, reportCrash(d, now, "other", uint64(n+1)), "another router saw the same crash")
		require.Empty(t, quarantinedIn(d, now))
		now = now.Add(2 * time.Second)
		changed = d.expire(now)
	}
	require.True(t, changed, "the quarantine is sent to all followers at once")
	return now
}

// quarantinedIn returns the quarantines in the answer to the first poll of a router.
func quarantinedIn(d *directory, now time.Time) []*messenger.Fingerprint {
	first := &messenger.FollowRequest{Node: "first", Epoch: epoch}
	delete(d.followers, first.Node)
	d.follow(now, first)
	return d.updatesFor(now, first, epoch).GetQuarantined()
}

// Guards against crashes that each router counts for itself, so that none has enough of them.
func TestCrashesAreCountedOverAllRouters(t *testing.T) {
	var d directory
	now := quarantine(t, &d)
	require.Len(t, quarantinedIn(&d, now), 1)
	require.Equal(t, []localizer.Quarantine{{Feature: badFeature, Left: localizer.QuarantineTime}}, d.takeUnreplicated())
	require.Empty(t, d.takeUnreplicated(), "each change is replicated once")
	d.follow(now, &messenger.FollowRequest{Node: "late"})
	request := &messenger.FollowRequest{Node: "late", Epoch: epoch, After: d.list.Revision()}
	require.True(t, d.hasFollowUpdate(request, epoch), "the quarantine is sent to followers that join later, too")
	d.updatesFor(now, request, epoch)
	require.False(t, d.hasFollowUpdate(request, epoch))
	now = now.Add(localizer.QuarantineTime + time.Second)
	d.expire(now)
	require.Empty(t, quarantinedIn(&d, now), "a quarantine expires")
}

// Guards against keepers that know only what routers reported to them, and against relays of relays.
func TestReportsOfCrashesAreRelayedOnce(t *testing.T) {
	var first, second directory
	reportCrash(&first, testStart, "a", 1)
	relay := func(d *directory, since time.Time) *messenger.FollowRequest {
		report := &messenger.FollowRequest{Node: "keeper", Keeper: true}
		d.summarize(testStart.Add(time.Second), since, false, report)
		return report
	}
	report := relay(&first, testStart)
	require.Len(t, report.GetCrashes(), 1)
	require.EqualValues(t, 1000, report.GetCrashes()[0].GetAgeMs())
	second.follow(testStart.Add(time.Second), report)
	require.Empty(t, relay(&second, time.Time{}).GetCrashes())
	require.Empty(t, relay(&first, testStart.Add(time.Millisecond)).GetCrashes(), "the other keeper has got it")
}

// Guards against a sound feature that stays quarantined, or is again by another keeper.
func TestAnswerLiftsTheQuarantineEverywhere(t *testing.T) {
	var d, other directory
	now := quarantine(t, &d)
	replicated := []*messenger.Fingerprint{{Digest: badFeature, LeftMs: 60_000}}
	require.False(t, d.applyReplicated(now, replicated), "this keeper has begun it")
	require.True(t, other.applyReplicated(now, replicated))
	require.Len(t, quarantinedIn(&other, now), 1)

	now = now.Add(2 * time.Second)
	answered := &messenger.FollowRequest{Node: "a", Answered: []*messenger.Answered{{Feature: badFeature, AgeMs: 100}}}
	require.True(t, d.follow(now, answered))
	require.Equal(t, []localizer.Quarantine{{Feature: badFeature}}, d.takeUnreplicated()[1:])
	require.Zero(t, quarantinedIn(&d, now)[0].GetLeftMs(), "routers are told that it is lifted")
	require.False(t, d.applyReplicated(now, replicated), "the order to lift it is on its way")
	require.True(t, other.applyReplicated(now, nil))
	require.Zero(t, quarantinedIn(&other, now)[0].GetLeftMs())
}

// Guards against answers that repeat all quarantines, and against routers that lost the one answer.
func TestQuarantinesAreSentOnChangeAndNowAndThen(t *testing.T) {
	var d directory
	now := quarantine(t, &d)
	poll := &messenger.FollowRequest{Node: "a", Epoch: epoch}
	sent := func() int {
		d.follow(now, poll)
		return len(d.updatesFor(now, poll, epoch).GetQuarantined())
	}
	require.Equal(t, 1, sent())
	require.Zero(t, sent())
	now = now.Add(quarantineRefresh)
	require.Equal(t, 1, sent())
	d.crashes.judge.Lift(now, badFeature)
	require.Equal(t, 1, sent())
	require.Zero(t, sent())
}

// Guards against trials that every keeper grants, or that follow each other: each may crash an endpoint.
func TestOnlyTheLeaderGrantsTrials(t *testing.T) {
	var d directory
	now := quarantine(t, &d)
	refusing := &messenger.FollowRequest{Node: "a", Epoch: epoch, Refused: []uint64{badFeature}}
	trials := func(during time.Duration) int {
		granted := 0
		for until := now.Add(during); now.Before(until); now = now.Add(500 * time.Millisecond) {
			d.follow(now, refusing)
			for _, q := range d.updatesFor(now, refusing, epoch).GetQuarantined() {
				if q.GetTrial() {
					granted++
				}
			}
		}
		return granted
	}
	require.Zero(t, trials(40*time.Second))
	d.setLeads(now, true)
	require.Zero(t, trials(30*time.Second), "the leader before may have granted the trial that was due")
	require.Equal(t, 1, trials(40*time.Second))
	refusing.Refused = nil
	require.Zero(t, trials(5*time.Minute), "it refuses nothing")
}

// Guards against further trials of a quarantined request with each keeper that begins to lead.
func TestNewLeadersGrantNoFurtherTrials(t *testing.T) {
	tests := map[string]struct {
		restarts bool // the new leader has just started and knows only what is replicated
	}{
		"keepers that ran all the time": {},
		"keepers that start again":      {restarts: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var leader directory
			now := quarantine(t, &leader)
			begun := now
			refusing := &messenger.FollowRequest{Node: "a", Epoch: epoch, Refused: []uint64{badFeature}}
			next := &directory{}
			quarantine(t, next)
			current, granted := &leader, 0
			current.setLeads(now, true)
			for ; now.Sub(begun) < 2*time.Minute; now = now.Add(500 * time.Millisecond) {
				if elapsed := now.Sub(begun); elapsed > 0 && elapsed%(17*time.Second) == 0 {
					current.setLeads(now, false)
					current, next = next, current
					if test.restarts {
						current = &directory{}
						current.setLeads(now, true) // its log is applied later
						left := (localizer.QuarantineTime - elapsed).Milliseconds()
						current.applyReplicated(now, []*messenger.Fingerprint{{Digest: badFeature, LeftMs: uint32(left)}})
					}
					current.setLeads(now, true)
				}
				current.follow(now, refusing)
				for _, q := range current.updatesFor(now, refusing, epoch).GetQuarantined() {
					if q.GetTrial() {
						granted++
					}
				}
			}
			require.Equal(t, 2, granted, "after 20 and 80 s")
		})
	}
}
