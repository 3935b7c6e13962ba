package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/replicator"
)

// reliableCluster returns a cluster of the given size with a leader, without any
// faults but those that a test causes.
func reliableCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := newCluster(7, size)
	c.lossy = false
	c.run(2 * time.Second)
	require.NoError(t, c.failure)
	require.NotNil(t, c.leader())
	return c
}

// run lets the cluster work for a time.
func (c *cluster) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.advance(10 * time.Millisecond)
	}
}

// isolate drops all messages from and to a member.
func (c *cluster) isolate(m *member) {
	for id := range c.members {
		c.cutLinks[[2]replicator.ID{m.id, id}] = true
		c.cutLinks[[2]replicator.ID{id, m.id}] = true
	}
}

// memberExcept returns the running member with the lowest ID, except the given one.
func (c *cluster) memberExcept(than *member) *member {
	for _, id := range c.ids() {
		if m := c.members[id]; m != than && m.node != nil {
			return m
		}
	}
	return nil
}

// Guards against a partitioned leader that still acts as the leader after the
// other members have elected a new one. No connection breaks, so only the missing
// replies show the leader that it has lost its quorum.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	old := c.leader()
	c.isolate(old)
	c.run(electionTimeout)
	require.False(t, old.node.HasLease(c.now), "the lease must end before another may lead")
	c.run(electionTimeout)
	require.Equal(t, replicator.Follower, old.node.Status(c.now).State)
	_, err := old.node.Propose(c.now, [][]byte{nil})
	require.ErrorIs(t, err, replicator.ErrNotLeader)
	c.run(2 * time.Second)
	require.NotEqual(t, old.id, c.leader().id)
	require.NoError(t, c.failure)
}

// Guards against a partitioned follower that deposes a working leader when it
// returns. Without pre-vote it would campaign repeatedly and come back with a
// higher term.
func TestReturningMemberDoesNotDeposeLeader(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	leader := c.leader()
	term := leader.node.Status(c.now).Term
	away := c.memberExcept(leader)
	c.isolate(away)
	c.run(5 * time.Second)
	clear(c.cutLinks)
	c.run(time.Second)
	require.Equal(t, leader, c.leader())
	require.Equal(t, term, leader.node.Status(c.now).Term)
}

// Guards against two leaders with a lease at the same time. A follower that
// restarts right after it replied to the leader no longer knows of that reply, and
// must not vote for another candidate before the leader's lease has expired.
func TestRestartedMemberWithholdsItsVote(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	leader := c.leader()
	voter := c.memberExcept(leader)
	c.crash(voter)
	c.start(voter)
	term := voter.node.Status(c.now).Term
	voter.node.Step(c.now, replicator.Message{
		Kind: replicator.Vote, From: leader.id + 100, To: voter.id, Term: term + 1,
		Position: replicator.Position{Index: 1000, Term: term},
	})
	require.True(t, voter.node.Actions(c.now).Empty())
	require.Equal(t, term, voter.node.Status(c.now).Term)
}

// Guards against the loss of an accepted change. If a wiped disk voted under the
// identity of the old one, its vote and that of a candidate that lacks the change
// would be a majority.
func TestWipedDiskDoesNotVote(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	old := c.memberExcept(c.leader())
	delete(c.members, old.id)
	fresh := c.add(old.name)
	c.start(fresh)
	fresh.node.Step(c.now, replicator.Message{
		Kind: replicator.Vote, From: 3, To: old.id, Term: 100, Transfer: true,
		Position: replicator.Position{Index: 1000, Term: 99},
	})
	require.True(t, fresh.node.Actions(c.now).Empty())
	for range 100 {
		c.now = c.now.Add(electionTimeout)
		fresh.node.Tick(c.now)
		require.True(t, fresh.node.Actions(c.now).Empty(), "it must not campaign either")
	}
}

// Guards against the loss of an accepted change when a second disk is lost right
// after the first was replaced: a disk is wiped, its keeper joins again and is
// promoted, then another voter's disk is lost. The promotion must wait until the
// newcomer has every committed entry.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	for range 50 {
		c.propose(c.leader())
		c.run(20 * time.Millisecond)
	}
	accepted := len(c.accepted) + len(c.granted)
	require.Positive(t, accepted)
	first := c.memberExcept(c.leader())
	c.wipe(first)
	fresh := c.members[c.nextID]
	for !c.repaired() {
		committed := c.leader().node.Status(c.now).Commit
		c.advance(time.Millisecond)
		c.rejoin()
		if replica, _ := c.leader().node.Group().Find(fresh.id); replica.Role == replicator.Voter {
			require.GreaterOrEqual(t, fresh.disk.last(), committed, "promoted before it had every committed entry")
		}
	}
	second := c.members[1+first.id%3]
	if c.members[second.id] != c.leader() {
		second = c.leader()
	}
	c.wipe(second)
	require.NotContains(t, c.members, second.id)
	c.heal()
	require.NoError(t, c.failure)
}

// repaired reports whether the committed membership consists of three voters that
// all have their disks.
func (c *cluster) repaired() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	for _, replica := range leader.node.Status(c.now).CommittedGroup {
		if c.lostDisks[replica.ID] || replica.Role != replicator.Voter {
			return false
		}
	}
	return len(leader.node.Status(c.now).CommittedGroup) == 3
}

// Guards against a fourth keeper that makes a degraded group unavailable: one of
// three members is down and a fourth is promoted, so that the majority is three of
// four; then the newcomer fails.
func TestNewcomerIsNotPromotedIntoDependence(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	c.crash(c.memberExcept(c.leader()))
	c.run(time.Second)
	fourth := c.add("fourth")
	c.start(fourth)
	c.rejoin()
	c.run(3 * time.Second)
	replica, found := c.leader().node.Group().Find(fourth.id)
	require.True(t, found)
	require.Equal(t, replicator.Joining, replica.Role)
	require.Equal(t, c.leader().applied, fourth.applied, "the learner must still receive the log")
}

// Guards against a planned stop of the leader that costs an election timeout,
// because the leadership is not transferred.
func TestTransferIsFasterThanAnElection(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	old := c.leader()
	require.True(t, old.node.Transfer(c.now))
	c.flush(old)
	start := c.now
	for c.leader() == nil || c.leader() == old {
		c.advance(time.Millisecond)
		require.Less(t, c.now.Sub(start), electionTimeout)
	}
	require.NoError(t, c.failure)
}

// Guards against two leaders with a lease after a leadership transfer that timed
// out. If the leader resumed its lease while TimeoutNow is delayed, the message
// could still arrive and the other members would vote in spite of the lease.
func TestSentTransferEndsLease(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	old := c.leader()
	term := old.node.Status(c.now).Term
	require.True(t, old.node.Transfer(c.now))
	late := old.node.Actions(c.now).Messages
	old.node.Synced(c.now)
	for range 60 {
		c.advance(10 * time.Millisecond)
		require.False(t, old.node.HasLease(c.now) && old.node.Status(c.now).Term == term)
	}
	c.sendAll(old, late)
	c.run(2 * time.Second)
	require.NoError(t, c.failure)
	require.NotNil(t, c.leader())
}

// Guards against the replacement of a committed entry (figure 8 of the paper). If
// a new leader committed an entry of an earlier term by counting its replicas and
// then crashed, a candidate without that entry could win, because no entry of the
// new term prevents it.
func TestEntriesOfEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	group := replicator.Group{{ID: 1, Role: replicator.Voter}, {ID: 2, Role: replicator.Voter}, {ID: 3, Role: replicator.Voter}}
	restored := replicator.Founding(1, replicator.Ballot{}, group)
	restored.Entries = append(restored.Entries, replicator.Entry{Index: 2, Term: 1})
	node, err := replicator.New(replicator.Config{ID: 1, Random: rand.New(rand.NewPCG(1, 1))}, restored, now)
	require.NoError(t, err)
	flush := func() {
		node.Actions(now)
		node.Synced(now)
	}
	now = now.Add(time.Second)
	node.Tick(now)
	node.Step(now, replicator.Message{Kind: replicator.PreVoteReply, From: 2, To: 1, Term: 2})
	flush()
	node.Step(now, replicator.Message{Kind: replicator.VoteReply, From: 2, To: 1, Term: 2})
	flush()
	require.Equal(t, replicator.Leader, node.Status(now).State)
	acknowledge := func(index uint64) {
		node.Step(now, replicator.Message{
			Kind: replicator.AppendReply, From: 2, To: 1, Term: 2, Position: replicator.Position{Index: index},
		})
	}
	acknowledge(2)
	require.Zero(t, node.Status(now).Commit)
	acknowledge(3)
	require.EqualValues(t, 3, node.Status(now).Commit)
}

// Guards against the loss of an accepted change in a leadership transfer: a member
// that lacks the change campaigns, and a voter whose log is longer must reject it.
func TestVoteComparesLogs(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	leader := c.leader()
	voter := c.memberExcept(leader)
	status := voter.node.Status(c.now)
	voter.node.Step(c.now, replicator.Message{
		Kind: replicator.Vote, From: leader.id, To: voter.id, Term: status.Term + 1, Transfer: true,
		Position: replicator.Position{Index: status.Last.Index - 1, Term: status.Last.Term},
	})
	replies := voter.node.Actions(c.now).Messages
	require.Len(t, replies, 1)
	require.True(t, replies[0].Reject)
}

// Guards against two leaders in one term. If a lone voter became leader and sent
// messages before its own vote is durable, it could crash, restart, and lead the
// same term again with other entries.
func TestLoneVoterLeadsOnlyOnceItsVoteIsDurable(t *testing.T) {
	t.Parallel()
	founding := replicator.Founding(1, replicator.Ballot{}, replicator.Group{{ID: 1, Role: replicator.Voter}})
	now := time.Unix(0, 0)
	node, err := replicator.New(replicator.Config{ID: 1, Random: rand.New(rand.NewPCG(1, 1))}, founding, now)
	require.NoError(t, err)
	now = now.Add(time.Second)
	node.Tick(now)
	actions := node.Actions(now)
	require.NotNil(t, actions.Ballot)
	require.Equal(t, replicator.Candidate, node.Status(now).State)
	node.Synced(now)
	require.Equal(t, replicator.Leader, node.Status(now).State)
}

// TestRegressionSeeds repeats the random walks that need a particular sequence of
// events to reach a fault.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	tests := map[string]uint64{
		// Guards against a follower that never catches up: it acknowledges a part of
		// a term, then rejects the following entries with a hint at the start of that
		// term, which the leader ignores as stale.
		"a rejection with a hint before the acknowledged entries": 18823,
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := walk(seed)
			require.NoError(t, err)
		})
	}
}

// Guards against unbounded memory growth in a leader that has no quorum and cannot
// commit its proposals.
func TestProposalsAreBounded(t *testing.T) {
	t.Parallel()
	c := reliableCluster(t, 3)
	leader := c.leader()
	big := make([]byte, 1<<20)
	var err error
	for range 100 {
		if _, err = leader.node.Propose(c.now, [][]byte{big}); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, replicator.ErrBusy)
}

func TestInvalidMembershipChangeIsRefused(t *testing.T) {
	t.Parallel()
	tests := map[string]func(c *cluster, leader *member) error{
		"a follower cannot change it": func(c *cluster, leader *member) error {
			_, err := c.memberExcept(leader).node.Remove(c.now, leader.id)
			return err
		},
		"an unknown member cannot be removed": func(c *cluster, leader *member) error {
			_, err := leader.node.Remove(c.now, 99)
			return err
		},
		"a second change waits for the first": func(_ *cluster, leader *member) error {
			_, err := leader.node.Join(replicator.Replica{ID: 99, Name: "x"})
			require.NoError(t, err)
			_, err = leader.node.Join(replicator.Replica{ID: 98, Name: "y"})
			return err
		},
		"a working member cannot be removed while another is down": func(c *cluster, leader *member) error {
			c.crash(c.memberExcept(leader))
			c.run(2 * electionTimeout)
			_, err := leader.node.Remove(c.now, c.memberExcept(leader).id)
			return err
		},
		"a new leader must first commit an entry of its term": func(c *cluster, leader *member) error {
			c.crash(leader)
			var next *member
			for next == nil {
				c.advance(time.Millisecond)
				for _, m := range c.members {
					if m.node != nil && m.node.Status(c.now).State == replicator.Leader {
						next = m
					}
				}
			}
			_, err := next.node.Join(replicator.Replica{ID: 99, Name: "x"})
			return err
		},
		"a replica without identity cannot join": func(_ *cluster, leader *member) error {
			_, err := leader.node.Join(replicator.Replica{Name: "x"})
			return err
		},
	}
	for name, refused := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := reliableCluster(t, 3)
			require.Error(t, refused(c, c.leader()))
		})
	}
}

func TestDecodeRefusesInvalidMessages(t *testing.T) {
	t.Parallel()
	tests := map[string][]byte{
		"no protobuf":              []byte("\xff\xff"),
		"entries with gaps":        replicator.EncodeMessages([]replicator.Message{{Kind: replicator.Append, Entries: []replicator.Entry{{Index: 7}}}}),
		"install without snapshot": replicator.EncodeMessages([]replicator.Message{{Kind: replicator.Install}}),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := replicator.DecodeMessages(data)
			require.ErrorIs(t, err, replicator.ErrMalformed)
		})
	}
}
