package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/replicator"
)

// trio is a whole network of three members, or more, without any faults but
// those that a test causes.
func trio(t *testing.T, size int) *world {
	t.Helper()
	w := newWorld(7, size)
	w.lossy = false
	w.run(2 * time.Second)
	require.NoError(t, w.problem)
	require.NotNil(t, w.leader())
	return w
}

func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.pass(10 * time.Millisecond)
	}
}

// isolate cuts a member off in both directions.
func (w *world) isolate(m *member) {
	for id := range w.members {
		w.cut[[2]replicator.ID{m.id, id}] = true
		w.cut[[2]replicator.ID{id, m.id}] = true
	}
}

func (w *world) other(than *member) *member {
	for _, id := range w.ids() {
		if m := w.members[id]; m != than && m.node != nil {
			return m
		}
	}
	return nil
}

// Symptom: a leader that was cut off silently goes on answering as if it led.
// Sequence: the leader is cut off in both directions, no connection breaks, the
// others elect. Cause: without a count of answers nothing tells it.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	old := w.leader()
	w.isolate(old)
	w.run(election)
	require.False(t, old.node.Lease(w.now), "the lease must end before another may lead")
	w.run(election)
	require.Equal(t, replicator.Follower, old.node.Status(w.now).State)
	_, err := old.node.Propose(w.now, [][]byte{nil})
	require.ErrorIs(t, err, replicator.ErrNotLeader)
	w.run(2 * time.Second)
	require.NotEqual(t, old.id, w.leader().id)
	require.NoError(t, w.problem)
}

// Symptom: a working leader is deposed whenever a member returns that had been
// cut off. Sequence: a follower hears nothing, campaigns again and again, and
// comes back with a higher term. Cause: no pre-vote.
func TestReturningMemberDeposesNoOne(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	leader := w.leader()
	term := leader.node.Status(w.now).Term
	away := w.other(leader)
	w.isolate(away)
	w.run(5 * time.Second)
	clear(w.cut)
	w.run(time.Second)
	require.Equal(t, leader, w.leader())
	require.Equal(t, term, leader.node.Status(w.now).Term)
}

// Symptom: two leaders believe in their leases. Sequence: a follower crashes
// right after it answered the leader, starts again, and at once helps another
// to be elected. Cause: it no longer knows that it had just heard the leader.
func TestRestartedMemberHoldsItsVote(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	leader := w.leader()
	voter := w.other(leader)
	w.crash(voter)
	w.start(voter)
	term := voter.node.Status(w.now).Term
	voter.node.Step(w.now, replicator.Message{
		Kind: replicator.Vote, From: leader.id + 100, To: voter.id, Term: term + 1,
		Position: replicator.Position{Index: 1000, Term: term},
	})
	require.True(t, voter.node.Actions(w.now).Empty())
	require.Equal(t, term, voter.node.Status(w.now).Term)
}

// Symptom: an accepted change is gone. Sequence: a voter's disk is wiped, the
// voter answers a candidate that lacks the change, and their two votes are a
// majority. Cause: the wiped disk votes in the name of the old one.
func TestWipedDiskDoesNotVote(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	old := w.other(w.leader())
	delete(w.members, old.id)
	fresh := w.add(old.name)
	w.start(fresh)
	fresh.node.Step(w.now, replicator.Message{
		Kind: replicator.Vote, From: 3, To: old.id, Term: 100, Transfer: true,
		Position: replicator.Position{Index: 1000, Term: 99},
	})
	require.True(t, fresh.node.Actions(w.now).Empty())
	for range 100 {
		w.now = w.now.Add(election)
		fresh.node.Tick(w.now)
		require.True(t, fresh.node.Actions(w.now).Empty(), "it must not campaign either")
	}
}

// Symptom: an accepted change is gone after a second disk was lost, right after
// the first was repaired. Sequence: a disk is wiped, its keeper joins anew and
// is promoted, then another voter's disk is lost. Cause: a promotion before the
// newcomer has everything.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	for range 50 {
		w.propose(w.leader())
		w.run(20 * time.Millisecond)
	}
	accepted := len(w.accepted) + len(w.granted)
	require.Positive(t, accepted)
	first := w.other(w.leader())
	w.wipe(first)
	fresh := w.members[w.nextID]
	for !w.repaired() {
		committed := w.leader().node.Status(w.now).Commit
		w.pass(time.Millisecond)
		w.rejoin()
		if replica, _ := w.leader().node.Group().Find(fresh.id); replica.Role == replicator.Voter {
			require.GreaterOrEqual(t, fresh.disk.last(), committed, "promoted before it had everything")
		}
	}
	second := w.members[1+first.id%3]
	if w.members[second.id] != w.leader() {
		second = w.leader()
	}
	w.wipe(second)
	require.NotContains(t, w.members, second.id)
	w.settle()
	require.NoError(t, w.problem)
}

func (w *world) repaired() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	for _, replica := range leader.node.Status(w.now).Settled {
		if w.lost[replica.ID] || replica.Role != replicator.Voter {
			return false
		}
	}
	return len(leader.node.Status(w.now).Settled) == 3
}

// Symptom: a fourth keeper makes a degraded group unable to work. Sequence: one
// of three is dead, a fourth joins and is promoted, now three of four are
// needed, and the newcomer fails.
func TestNewcomerIsNotPromotedIntoDependence(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	w.crash(w.other(w.leader()))
	w.run(time.Second)
	fourth := w.add("fourth")
	w.start(fourth)
	w.rejoin()
	w.run(3 * time.Second)
	replica, found := w.leader().node.Group().Find(fourth.id)
	require.True(t, found)
	require.Equal(t, replicator.Joining, replica.Role)
	require.Equal(t, w.leader().applied, fourth.applied, "it has the log all the same")
}

// Symptom: a planned stop costs an election timeout. Cause: the leader goes
// without handing over.
func TestTransferIsFasterThanAnElection(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	old := w.leader()
	require.True(t, old.node.Transfer(w.now))
	w.flush(old)
	start := w.now
	for w.leader() == nil || w.leader() == old {
		w.pass(time.Millisecond)
		require.Less(t, w.now.Sub(start), election)
	}
	require.NoError(t, w.problem)
}

// Symptom: after a handover that seemed to fail, two leaders believe in their
// leases. Sequence: the leader tells its successor to campaign, the message is
// late, the leader takes its lease up again, then the message arrives and the
// others vote in spite of the lease. Cause: a lease that was given up is not
// given back.
func TestLateHandoverFindsNoLease(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	old := w.leader()
	term := old.node.Status(w.now).Term
	require.True(t, old.node.Transfer(w.now))
	late := old.node.Actions(w.now).Messages
	old.node.Synced(w.now)
	for range 60 {
		w.pass(10 * time.Millisecond)
		require.False(t, old.node.Lease(w.now) && old.node.Status(w.now).Term == term)
	}
	w.sendAll(old, late)
	w.run(2 * time.Second)
	require.NoError(t, w.problem)
	require.NotNil(t, w.leader())
}

// Symptom: an entry that was committed is replaced (figure 8 of the paper).
// Sequence: a new leader counts replicas of an entry of an earlier term, says
// that it is committed, and crashes before an entry of its own term is there to
// keep a candidate without it from winning.
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

// Symptom: an accepted change is gone after a handover. Sequence: a member that
// lacks the change is asked to campaign, and a voter helps it although its own
// log is longer.
func TestVoteComparesLogs(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	leader := w.leader()
	voter := w.other(leader)
	status := voter.node.Status(w.now)
	voter.node.Step(w.now, replicator.Message{
		Kind: replicator.Vote, From: leader.id, To: voter.id, Term: status.Term + 1, Transfer: true,
		Position: replicator.Position{Index: status.Last.Index - 1, Term: status.Last.Term},
	})
	replies := voter.node.Actions(w.now).Messages
	require.Len(t, replies, 1)
	require.True(t, replies[0].Reject)
}

// Symptom: a group has two leaders of one term. Sequence: a lone voter votes for
// itself, leads and sends at once, and crashes before its vote is on disk; in
// its next life it leads the same term again with other entries.
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

// TestSeeds walks the seeds in which the walk once found a fault.
func TestSeeds(t *testing.T) {
	t.Parallel()
	tests := map[string]uint64{
		// Symptom: a follower never catches up. Sequence: it acknowledges a part of a
		// term, then rejects what follows with the start of that term, which the
		// leader takes for old news.
		"a rejection that skips behind the acknowledged": 18823,
	}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := walk(seed)
			require.NoError(t, err)
		})
	}
}

// Symptom: the memory of a leader without quorum grows until it is killed.
func TestProposalsAreBounded(t *testing.T) {
	t.Parallel()
	w := trio(t, 3)
	leader := w.leader()
	big := make([]byte, 1<<20)
	var err error
	for range 100 {
		if _, err = leader.node.Propose(w.now, [][]byte{big}); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, replicator.ErrBusy)
}

func TestMembershipIsGuarded(t *testing.T) {
	t.Parallel()
	tests := map[string]func(w *world, leader *member) error{
		"a follower cannot change it": func(w *world, leader *member) error {
			_, err := w.other(leader).node.Remove(w.now, leader.id)
			return err
		},
		"an unknown member cannot be removed": func(w *world, leader *member) error {
			_, err := leader.node.Remove(w.now, 99)
			return err
		},
		"a second change waits for the first": func(_ *world, leader *member) error {
			_, err := leader.node.Join(replicator.Replica{ID: 99, Name: "x"})
			require.NoError(t, err)
			_, err = leader.node.Join(replicator.Replica{ID: 98, Name: "y"})
			return err
		},
		"a working member cannot be removed while another is down": func(w *world, leader *member) error {
			w.crash(w.other(leader))
			w.run(2 * election)
			_, err := leader.node.Remove(w.now, w.other(leader).id)
			return err
		},
		"a new leader waits until it has committed something": func(w *world, leader *member) error {
			w.crash(leader)
			var next *member
			for next == nil {
				w.pass(time.Millisecond)
				for _, m := range w.members {
					if m.node != nil && m.node.Status(w.now).State == replicator.Leader {
						next = m
					}
				}
			}
			_, err := next.node.Join(replicator.Replica{ID: 99, Name: "x"})
			return err
		},
		"a replica without identity cannot join": func(_ *world, leader *member) error {
			_, err := leader.node.Join(replicator.Replica{Name: "x"})
			return err
		},
	}
	for name, refused := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := trio(t, 3)
			require.Error(t, refused(w, w.leader()))
		})
	}
}

func TestDecodeRefusesWhatANodeCannotTake(t *testing.T) {
	t.Parallel()
	tests := map[string][]byte{
		"no protobuf":               []byte("\xff\xff"),
		"entries with gaps":         replicator.EncodeMessages([]replicator.Message{{Kind: replicator.Append, Entries: []replicator.Entry{{Index: 7}}}}),
		"installation of a nothing": replicator.EncodeMessages([]replicator.Message{{Kind: replicator.Install}}),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := replicator.DecodeMessages(data)
			require.ErrorIs(t, err, replicator.ErrMalformed)
		})
	}
}
