package driver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// healthy is a group without any faults but those that a test causes.
func healthy(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(3, size)
	f.lossy = false
	f.run(2 * time.Second)
	require.NoError(t, f.problem)
	require.NotNil(t, f.leader())
	return f
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.pass(10 * time.Millisecond)
	}
}

func (f *fleet) follower() *keeper {
	for _, k := range f.keepers {
		if k.driver != nil && k != f.leader() {
			return k
		}
	}
	return nil
}

func claims(key string) *messenger.Command {
	return &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: key, Owner: "one"},
	}}}
}

// answer is what a client was told.
type answer struct {
	told   bool
	result applier.Result
	err    error
}

func (a *answer) done(result applier.Result, err error) {
	a.told, a.result, a.err = true, result, err
}

func endpoint(id string) describer.Change {
	return describer.Change{ID: id, Edits: []describer.Edit{{Object: describer.Object{Kind: describer.Endpoint, Name: id}}}}
}

// apply makes a change and waits for its answer.
func (f *fleet) apply(t *testing.T, change describer.Change) configurer.Result {
	t.Helper()
	var got *configurer.Result
	f.leader().driver.Change(f.now, change, false, func(result configurer.Result, err error) {
		require.NoError(t, err)
		got = &result
	})
	f.run(200 * time.Millisecond)
	require.NotNil(t, got)
	return *got
}

// Symptom: a change that was accepted is gone after a power cut. Sequence: a
// sync fails, and the keeper goes on. It must stop and have answered no one.
func TestFailedSyncStopsTheKeeper(t *testing.T) {
	t.Parallel()
	f := healthy(t, 1)
	leader := f.leader()
	leader.files.FailSyncs = true
	var got answer
	leader.driver.Propose(f.now, claims("k"), got.done)
	require.ErrorIs(t, leader.driver.Flush(f.now), recorder.ErrFailed)
	require.False(t, got.told)
}

// Symptom: nothing can be changed although two keepers are well. Sequence: the
// leader's disk fills up, it still answers heartbeats, and so it stays leader.
func TestFullDiskStepsAsideAndComesBack(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	f.apply(t, endpoint("first"))
	old := f.leader()
	old.files.Capacity = 1
	var got answer
	old.driver.Propose(f.now, claims("k"), got.done)
	f.run(2 * time.Second)
	require.True(t, old.driver.Full())
	require.True(t, got.told)
	require.NotNil(t, f.leader())
	require.NotEqual(t, old, f.leader())
	f.apply(t, endpoint("second"))
	require.EqualValues(t, 1, old.driver.State().Configuration().Revision(), "it still shows what it knew")

	old.files.Capacity = 0
	f.run(3 * time.Second)
	require.False(t, old.driver.Full())
	require.EqualValues(t, 2, old.driver.State().Configuration().Revision())
	require.NoError(t, f.problem)
}

// Symptom: a router that starts in a cut-off zone gets an old configuration
// although a keeper beside it has seen a newer one accepted. Sequence: that
// keeper restarted and does not know what of its log was committed.
func TestRestartWithoutQuorumShowsWhatWasAccepted(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	f.apply(t, endpoint("first"))
	f.run(2 * time.Second)
	alone := f.follower()
	for _, k := range f.keepers {
		f.crash(k)
	}
	f.start(alone)
	f.run(100 * time.Millisecond)
	require.False(t, alone.driver.Status(f.now).Quorum)
	require.EqualValues(t, 1, alone.driver.State().Configuration().Revision())
}

// Symptom: claims are slow under load. Cause: each waits for a sync of its own.
func TestBurstSharesOneSync(t *testing.T) {
	t.Parallel()
	f := healthy(t, 1)
	leader := f.leader().driver
	before := leader.Counters().Syncs
	answers := make([]answer, 100)
	for i := range answers {
		leader.Propose(f.now, claims(fmt.Sprint(i)), answers[i].done)
	}
	require.NoError(t, leader.Flush(f.now))
	require.Equal(t, before+1, leader.Counters().Syncs)
	for _, at := range answers {
		require.True(t, at.told)
		require.Equal(t, messenger.ClaimOutcome_CLAIM_GRANTED, at.result.Claims[0].GetOutcome())
	}
}

// Symptom: two services offer one model. Sequence: two operators' changes, each
// valid alone, arrive together.
func TestChangesAreValidatedOneAfterAnother(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	service := func(name string) describer.Change {
		return describer.Change{ID: name, Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Service, Name: name,
			Labels: labeler.Labels{describer.LabelType: describer.TypeModel, describer.PrefixModel + "draft": describer.Yes},
		}}}}
	}
	var outcomes []configurer.Outcome
	for _, name := range []string{"one", "two"} {
		f.leader().driver.Change(f.now, service(name), false, func(result configurer.Result, err error) {
			require.NoError(t, err)
			outcomes = append(outcomes, result.Outcome)
		})
	}
	f.run(200 * time.Millisecond)
	require.Equal(t, []configurer.Outcome{configurer.Accepted, configurer.Invalid}, outcomes)
}

func TestDryRunChangesNothing(t *testing.T) {
	t.Parallel()
	f := healthy(t, 1)
	told := false
	f.leader().driver.Change(f.now, endpoint("first"), true, func(result configurer.Result, err error) {
		require.NoError(t, err)
		require.Equal(t, configurer.Accepted, result.Outcome)
		require.EqualValues(t, 1, result.Revision)
		told = true
	})
	f.run(100 * time.Millisecond)
	require.True(t, told)
	require.Zero(t, f.leader().driver.State().Configuration().Revision())
}

// Symptom: a caller hears that nothing was accepted, sends it again with another
// key, and it runs twice. Sequence: the leader is cut off with a claim in
// flight. Only a claim that can never be committed may be refused.
func TestFollowersAndLonelyLeadersRefuseAtOnce(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	var at answer
	f.follower().driver.Propose(f.now, claims("k"), at.done)
	require.ErrorIs(t, at.err, replicator.ErrNotLeader)
	leader := f.leader()
	for _, k := range f.keepers {
		if k != leader {
			f.crash(k)
		}
	}
	var flying, late answer
	leader.driver.Propose(f.now, claims("k"), flying.done)
	f.run(time.Second)
	require.False(t, flying.told, "it may still be committed")
	leader.driver.Propose(f.now, claims("l"), late.done)
	require.Error(t, late.err)
	for _, k := range f.keepers {
		if k != leader {
			f.start(k)
		}
	}
	f.run(3 * time.Second)
	require.True(t, flying.told)
}

// Symptom: keys are free again before their window is over, and a request runs
// twice. Sequence: leaders change, and each counts by a clock of its own.
func TestLeadersCarryTheClockOn(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	last := time.Duration(0)
	for range 4 {
		var got answer
		f.leader().driver.Propose(f.now, claims("k"), got.done)
		f.run(time.Second)
		require.True(t, got.told)
		for _, k := range f.keepers {
			require.GreaterOrEqual(t, k.driver.State().Clock(), last)
		}
		last = f.leader().driver.State().Clock()
		require.LessOrEqual(t, last, f.now.Sub(time.Unix(1000, 0)), "it runs no faster than time")
		require.True(t, f.leader().driver.Transfer(f.now))
		f.run(time.Second)
	}
	require.Greater(t, last, 2*time.Second, "and it does run")
}

// Symptom: a keeper's log grows without end, or a keeper that was away for long
// cannot come back.
func TestSnapshotsBoundTheLogAndBringBackWhoWasAway(t *testing.T) {
	t.Parallel()
	f := healthy(t, 3)
	away := f.follower()
	f.crash(away)
	for i := range 60 {
		f.apply(t, endpoint(fmt.Sprint("endpoint-", i)))
	}
	require.Positive(t, f.leader().driver.Counters().Snapshots)
	require.Less(t, f.leader().driver.DiskBytes(), int64(20_000))
	f.start(away)
	f.run(2 * time.Second)
	require.EqualValues(t, 60, away.driver.State().Configuration().Revision())
	require.NoError(t, f.problem)
}
