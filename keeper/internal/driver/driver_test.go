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

// newHealthyCluster returns a group with a leader and without random faults: only
// those that the test injects.
func newHealthyCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := newCluster(3, size)
	c.lossy = false
	c.run(2 * time.Second)
	require.NoError(t, c.failure)
	require.NotNil(t, c.leader())
	return c
}

// run advances the time in steps of 10 ms.
func (c *cluster) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.advance(10 * time.Millisecond)
	}
}

// follower returns a running keeper other than the leader, nil if there is none.
func (c *cluster) follower() *keeper {
	for _, k := range c.keepers {
		if k.driver != nil && k != c.leader() {
			return k
		}
	}
	return nil
}

// claimCommand claims a key for one owner.
func claimCommand(key string) *messenger.Command {
	return &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: key, Owner: "one"},
	}}}
}

// answer is the answer that a client has received.
type answer struct {
	received bool
	result   applier.Result
	err      error
}

func (a *answer) done(result applier.Result, err error) {
	a.received, a.result, a.err = true, result, err
}

// endpointChange adds an endpoint object whose name is the id of the change.
func endpointChange(id string) describer.Change {
	return describer.Change{ID: id, Edits: []describer.Edit{{Object: describer.Object{Kind: describer.Endpoint, Name: id}}}}
}

// apply makes a change and waits for its answer.
func (c *cluster) apply(t *testing.T, change describer.Change) configurer.Result {
	t.Helper()
	var got *configurer.Result
	c.leader().driver.Change(c.now, change, false, func(result configurer.Result, err error) {
		require.NoError(t, err)
		got = &result
	})
	c.run(200 * time.Millisecond)
	require.NotNil(t, got)
	return *got
}

// Guards against the loss of an accepted change in a power cut: if a sync fails
// and the keeper continues, it acknowledges data that is not on disk. It must
// stop without having answered.
func TestFailedSyncStopsTheKeeper(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 1)
	leader := c.leader()
	leader.files.FailSyncs = true
	var got answer
	leader.driver.Propose(c.now, claimCommand("k"), got.done)
	require.ErrorIs(t, leader.driver.Flush(c.now), recorder.ErrFailed)
	require.False(t, got.received)
}

// Guards against a group that accepts no changes although two keepers are
// healthy: a leader with a full disk that still exchanges heartbeats would stay
// leader.
func TestFullDiskSuspendsAndResumesKeeper(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	c.apply(t, endpointChange("first"))
	old := c.leader()
	old.files.Capacity = 1
	var got answer
	old.driver.Propose(c.now, claimCommand("k"), got.done)
	c.run(2 * time.Second)
	require.True(t, old.driver.DiskFull())
	require.True(t, got.received)
	require.NotNil(t, c.leader())
	require.NotEqual(t, old, c.leader())
	c.apply(t, endpointChange("second"))
	require.EqualValues(t, 1, old.driver.State().Configuration().Revision(), "a suspended keeper still serves its last state")

	old.files.Capacity = 0
	c.run(3 * time.Second)
	require.False(t, old.driver.DiskFull())
	require.EqualValues(t, 2, old.driver.State().Configuration().Revision())
	require.NoError(t, c.failure)
}

// Guards against a stale configuration for a router that starts in a partitioned
// zone, although the keeper there had seen a newer one accepted: after a restart
// without the commit index on disk, the keeper cannot tell which part of its log
// was committed.
func TestRestartWithoutQuorumShowsAcceptedChanges(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	c.apply(t, endpointChange("first"))
	c.run(2 * time.Second)
	restarted := c.follower()
	for _, k := range c.keepers {
		c.crash(k)
	}
	c.start(restarted)
	c.run(100 * time.Millisecond)
	require.False(t, restarted.driver.Status(c.now).Quorum)
	require.EqualValues(t, 1, restarted.driver.State().Configuration().Revision())
}

// Guards against a router that takes an old configuration for the newest one and refuses valid tokens for
// good: the keeper that it asks has just started, and has heard its leader before it has what it missed.
func TestStartedKeeperIsCurrentOnceItHasCaughtUp(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	c.apply(t, endpointChange("first"))
	restarted := c.follower()
	c.crash(restarted)
	c.apply(t, endpointChange("second"))
	c.start(restarted)
	behind := 0
	for range 200 {
		c.advance(time.Millisecond)
		known := restarted.driver.State().Configuration().Revision()
		if known < 2 && restarted.driver.Status(c.now).Quorum {
			behind++
		}
		require.False(t, known < 2 && restarted.driver.Current(c.now), "current at revision %d of 2", known)
	}
	require.NotZero(t, behind, "it never heard a leader before it had caught up")
	require.True(t, restarted.driver.Current(c.now))
	require.True(t, c.leader().driver.Current(c.now))
	require.NoError(t, c.failure)
}

// Guards against slow claims under load, which result if each claim waits for a
// sync of its own.
func TestBurstSharesOneSync(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 1)
	leader := c.leader().driver
	before := leader.Counters().Syncs
	answers := make([]answer, 100)
	for i := range answers {
		leader.Propose(c.now, claimCommand(fmt.Sprint(i)), answers[i].done)
	}
	require.NoError(t, leader.Flush(c.now))
	require.Equal(t, before+1, leader.Counters().Syncs)
	for _, got := range answers {
		require.True(t, got.received)
		require.Equal(t, messenger.ClaimOutcome_CLAIM_GRANTED, got.result.Claims[0].GetOutcome())
	}
}

// Guards against two services that offer the same model: the changes of two
// operators, each valid alone, arrive together.
func TestChangesAreValidatedOneAfterAnother(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	service := func(name string) describer.Change {
		return describer.Change{ID: name, Edits: []describer.Edit{{Object: describer.Object{
			Kind: describer.Service, Name: name,
			Labels: labeler.Labels{describer.LabelType: describer.TypeModel, describer.PrefixModel + "draft": describer.Yes},
		}}}}
	}
	var outcomes []configurer.Outcome
	for _, name := range []string{"one", "two"} {
		c.leader().driver.Change(c.now, service(name), false, func(result configurer.Result, err error) {
			require.NoError(t, err)
			outcomes = append(outcomes, result.Outcome)
		})
	}
	c.run(200 * time.Millisecond)
	require.Equal(t, []configurer.Outcome{configurer.Accepted, configurer.Invalid}, outcomes)
}

// Guards against a dry run that is replicated and takes effect.
func TestDryRunChangesNothing(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 1)
	answered := false
	c.leader().driver.Change(c.now, endpointChange("first"), true, func(result configurer.Result, err error) {
		require.NoError(t, err)
		require.Equal(t, configurer.Accepted, result.Outcome)
		require.EqualValues(t, 1, result.Revision)
		answered = true
	})
	c.run(100 * time.Millisecond)
	require.True(t, answered)
	require.Zero(t, c.leader().driver.State().Configuration().Revision())
}

// Guards against a request that runs twice because its claim was refused, sent
// again with another key, and then committed after all. This happens if a leader
// that loses its followers refuses the claims in flight. Only a claim that can
// never be committed may be refused.
func TestFollowersAndIsolatedLeadersRefuseAtOnce(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	var refused answer
	c.follower().driver.Propose(c.now, claimCommand("k"), refused.done)
	require.ErrorIs(t, refused.err, replicator.ErrNotLeader)
	leader := c.leader()
	for _, k := range c.keepers {
		if k != leader {
			c.crash(k)
		}
	}
	var inFlight, later answer
	leader.driver.Propose(c.now, claimCommand("k"), inFlight.done)
	c.run(time.Second)
	require.False(t, inFlight.received, "the claim may still be committed")
	leader.driver.Propose(c.now, claimCommand("l"), later.done)
	require.Error(t, later.err)
	for _, k := range c.keepers {
		if k != leader {
			c.start(k)
		}
	}
	c.run(3 * time.Second)
	require.True(t, inFlight.received)
}

// Guards against claims that expire before the end of their window, so that a
// request runs twice: the leader changes, and the new one does not continue the
// replicated clock from the value in the state.
func TestNewLeaderContinuesTheReplicatedClock(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	last := time.Duration(0)
	for range 4 {
		var got answer
		c.leader().driver.Propose(c.now, claimCommand("k"), got.done)
		c.run(time.Second)
		require.True(t, got.received)
		for _, k := range c.keepers {
			require.GreaterOrEqual(t, k.driver.State().Clock(), last)
		}
		last = c.leader().driver.State().Clock()
		require.LessOrEqual(t, last, c.now.Sub(time.Unix(1000, 0)), "the replicated clock must not run faster than real time")
		require.True(t, c.leader().driver.Transfer(c.now))
		c.run(time.Second)
	}
	require.Greater(t, last, 2*time.Second, "the replicated clock must advance")
}

// Guards against a log that grows without bound, and against a keeper that cannot
// catch up after a long outage because the entries it lacks were truncated.
func TestSnapshotsBoundTheLogAndRestoreLaggingKeeper(t *testing.T) {
	t.Parallel()
	c := newHealthyCluster(t, 3)
	lagging := c.follower()
	c.crash(lagging)
	for i := range 60 {
		c.apply(t, endpointChange(fmt.Sprint("endpoint-", i)))
	}
	require.Positive(t, c.leader().driver.Counters().Snapshots)
	require.Less(t, c.leader().driver.DiskBytes(), int64(20_000))
	c.start(lagging)
	c.run(2 * time.Second)
	require.EqualValues(t, 60, lagging.driver.State().Configuration().Revision())
	require.NoError(t, c.failure)
}
