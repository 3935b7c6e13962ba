package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/replicator"
)

const retireAfter = 2 * electionTimeout

// retiringCluster returns a cluster with a leader, without random faults, whose
// leaders remove voters that are silent for retireAfter.
func retiringCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := newRetiringCluster(7, size, retireAfter)
	c.lossy = false
	c.run(2 * time.Second)
	require.NotNil(t, c.leader())
	return c
}

func (c *cluster) voterCount() int {
	return len(c.leader().node.Group().Voters())
}

// Guards against a group that stops permanently with the next loss after an
// instance was replaced by another at a new address: one of three members never
// returns, a newcomer of another name joins, and later another member is lost. If
// the silent member still counted toward every majority, the newcomer would never
// be promoted.
func TestNewcomerReplacesSilentVoter(t *testing.T) {
	t.Parallel()
	c := retiringCluster(t, 3)
	dead := c.memberExcept(c.leader())
	c.crash(dead)
	c.run(time.Second)
	require.Equal(t, 3, c.voterCount(), "a group of three keeps its silent voter")
	fresh := c.add("fourth")
	c.start(fresh)
	c.rejoin()
	c.run(time.Second)
	replica, found := c.leader().node.Group().Find(fresh.id)
	require.True(t, found)
	require.Equal(t, replicator.Voter, replica.Role)
	require.Equal(t, 3, c.voterCount())
	_, found = c.leader().node.Group().Find(dead.id)
	require.False(t, found, "the silent voter must be removed")
	c.crash(c.memberExcept(c.leader()))
	c.run(2 * time.Second)
	require.NotNil(t, c.leader(), "the group must tolerate the next loss")
	require.NoError(t, c.failure)
}

// Guards against a group of four that has lost one member and stops with the next
// loss: a majority of four is three, a majority of three only two.
func TestEvenGroupRetiresSilentVoter(t *testing.T) {
	t.Parallel()
	c := retiringCluster(t, 4)
	c.crash(c.memberExcept(c.leader()))
	c.run(2 * time.Second)
	require.Equal(t, 3, c.voterCount())
	c.crash(c.memberExcept(c.leader()))
	c.run(2 * time.Second)
	require.NotNil(t, c.leader())
	require.Equal(t, 3, c.voterCount(), "a group of three must not shrink")
	require.NoError(t, c.failure)
}

// Guards against an instance that is never readmitted: it is partitioned for some
// seconds, removed as a silent voter, and then returns with its disk.
func TestRetiredVoterComesBack(t *testing.T) {
	t.Parallel()
	c := retiringCluster(t, 4)
	away := c.memberExcept(c.leader())
	c.isolate(away)
	c.run(2 * time.Second)
	require.Equal(t, 3, c.voterCount())
	clear(c.cutLinks)
	c.run(time.Second)
	c.rejoin()
	c.run(time.Second)
	require.Equal(t, 4, c.voterCount())
	require.NoError(t, c.failure)
}
