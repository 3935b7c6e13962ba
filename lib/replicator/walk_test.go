package replicator_test

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

const (
	// seedsEnv sets the number of seeds; SHALLOTKEEL_SEEDS=1000000 takes a night.
	seedsEnv     = "SHALLOTKEEL_SEEDS"
	firstSeedEnv = "SHALLOTKEEL_FIRST_SEED"
	seedsInCI    = 2000
	stepsPerWalk = 250
	// convergenceTimeout is the maximum time without faults until the group is
	// repaired and all members have the complete log.
	convergenceTimeout = 20 * time.Second
)

// fromEnv returns the number in an environment variable, or the default.
func fromEnv(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err)
	return number
}

// TestRandomWalk guards against two leaders in one term, an accepted change or
// claim that is lost or counted twice, and a group that does not recover. Each seed
// produces a random sequence of lost, duplicated, delayed and reordered messages,
// one-way partitions, crashes at every step between deciding and sending, restarts
// with the synced state, lost disks, and membership changes.
func TestRandomWalk(t *testing.T) {
	t.Parallel()
	seeds := fromEnv(t, seedsEnv, seedsInCI)
	first := fromEnv(t, firstSeedEnv, 0)
	var next, proved atomic.Int64
	var group sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		group.Go(func() {
			for !t.Failed() {
				seed := next.Add(1) - 1
				if seed >= int64(seeds) {
					return
				}
				accepted, err := walk(uint64(first) + uint64(seed))
				proved.Add(int64(accepted))
				if err != nil {
					t.Errorf("seed %d: %v", int64(first)+seed, err)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d seeds, %d accepted changes and claims", seeds, proved.Load())
	// Walks in which no proposal is accepted would prove nothing.
	require.Greater(t, proved.Load(), int64(seeds))
}

// walk runs the random walk of a seed and returns the number of accepted changes
// and granted claims. The seed determines the size of the group and whether silent
// voters are removed.
func walk(seed uint64) (accepted int, err error) {
	c := newRetiringCluster(seed, 1+2*int(seed%3), time.Duration(seed/3%2)*2*electionTimeout)
	for range stepsPerWalk {
		c.randomStep()
		if c.failure != nil {
			return 0, c.failure
		}
	}
	c.heal()
	return len(c.granted) + len(c.accepted), c.failure
}

// randomStep lets a random time pass and causes one random event.
func (c *cluster) randomStep() {
	c.advance(time.Duration(c.random.Int64N(int64(40 * time.Millisecond))))
	m := c.pick()
	switch c.random.IntN(40) {
	case 0:
		c.crash(m)
	case 1, 2, 3:
		if m.node == nil {
			c.start(m)
		}
	case 4:
		other := c.pick()
		c.cutLinks[[2]replicator.ID{m.id, other.id}] = true
	case 5, 6:
		clear(c.cutLinks)
	case 7:
		c.wipe(m)
	case 8:
		c.changeMembership(m)
	case 9:
		if m.node != nil {
			m.node.Transfer(c.now)
		}
	case 10:
		c.freeze(m)
	case 11, 12:
		c.rejoin()
	case 13:
		c.lossy = !c.lossy
	default:
		for range c.random.IntN(6) {
			c.propose(m)
		}
	}
	if m.node != nil {
		c.flush(m)
	}
}

// freeze suspends a member for a random time, as SIGSTOP does: it gets no messages
// and no ticks while the other members continue. Then all delayed messages reach
// it at once.
func (c *cluster) freeze(m *member) {
	if m.node == nil {
		return
	}
	m.frozen = true
	for range c.random.IntN(20) {
		c.advance(time.Duration(c.random.Int64N(int64(40 * time.Millisecond))))
	}
	m.frozen = false
}

// wipe replaces a member's disk by an empty one, unless more than a minority of the
// disks of some possible membership would then be lost.
func (c *cluster) wipe(m *member) {
	if len(c.committed) == 0 {
		return // nothing is committed, so the group would have to be founded again
	}
	c.lostDisks[m.id] = true
	for _, group := range c.possibleGroups() {
		if !c.isTolerable(group) {
			delete(c.lostDisks, m.id)
			return
		}
	}
	delete(c.members, m.id)
	c.start(c.add(m.name))
}

// possibleGroups returns the last committed membership and every later one that
// is on some disk or in some message.
func (c *cluster) possibleGroups() []replicator.Group {
	groups := []replicator.Group{c.group}
	add := func(entries []replicator.Entry) {
		for _, entry := range entries {
			if entry.Kind == replicator.Membership && entry.Index > c.groupIndex {
				groups = append(groups, c.decode(entry))
			}
		}
	}
	for _, m := range c.members {
		add(m.disk.entries)
	}
	for _, at := range c.network {
		add(at.message.Entries)
	}
	return groups
}

// isTolerable reports whether at most a minority of the voters has lost its disk. A
// joining member counts as a voter, because it may be promoted at any moment, but
// only once together with the voter of the same name, which it replaces. Two voters
// tolerate no loss, and a lone voter becomes two with the first newcomer.
func (c *cluster) isTolerable(group replicator.Group) bool {
	voters := len(group.Voters())
	lostNames := make(map[string]bool)
	for _, replica := range group {
		if replica.Role != replicator.Learner && c.lostDisks[replica.ID] {
			lostNames[replica.Name] = true
		}
	}
	return len(lostNames) <= (voters-1)/2
}

// changeMembership adds or removes a keeper, as operators do.
func (c *cluster) changeMembership(m *member) {
	leader := c.leader()
	switch {
	case leader == nil:
	case c.random.IntN(2) == 0 && len(c.members) < 6:
		c.start(c.add(fmt.Sprint("extra-", c.nextID)))
	case c.isTolerable(slices.DeleteFunc(slices.Clone(leader.node.Group()), func(r replicator.Replica) bool { return r.ID == m.id })):
		// The removal of a working keeper right after another has lost its disk
		// leaves a group that cannot be repaired, so the walk does not do that.
		_, _ = leader.node.Remove(c.now, m.id) // the leader may refuse the removal
		c.flush(leader)
	}
}

// rejoin lets newcomers, and members that were removed as silent, ask the leader to
// add them. Every third extra keeper joins as a permanent learner.
func (c *cluster) rejoin() {
	leader := c.leader()
	if leader == nil {
		return
	}
	for _, id := range c.ids() {
		m := c.members[id]
		if m.node == nil {
			continue
		}
		_, listed := leader.node.Group().Find(id)
		retired := c.retire > 0 && !listed
		if !m.node.Newcomer() && !retired {
			continue
		}
		role := replicator.Joining
		if strings.HasPrefix(m.name, "extra") && id%3 == 0 {
			role = replicator.Learner
		}
		_, _ = leader.node.Join(replicator.Replica{ID: id, Name: m.name, Role: role}) // if refused, a later call retries
	}
	c.flush(leader)
}

// heal ends all faults and checks that the group recovers, that all members reach
// the same state, and that no acknowledged change or claim is lost.
func (c *cluster) heal() {
	c.lossy = false
	clear(c.cutLinks)
	for _, m := range c.members {
		if m.node == nil {
			c.start(m)
		}
	}
	for end := c.now.Add(convergenceTimeout); c.now.Before(end) && c.failure == nil; {
		c.advance(20 * time.Millisecond)
		c.replaceRemoved()
		c.rejoin()
		if c.converged() {
			c.checkStates(c.leader())
			c.checkAnswers(c.leader())
			return
		}
	}
	c.fail("the group did not recover within %s:%s", convergenceTimeout, c.describe())
}

// describe returns the status of all members, for failure messages.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, id := range c.ids() {
		m := c.members[id]
		fmt.Fprintf(&text, "\n%d %s applied %d", id, m.name, m.applied)
		if m.node != nil {
			fmt.Fprintf(&text, ": %+v", m.node.Status(c.now))
		}
	}
	return text.String()
}

// replaceRemoved gives removed members an empty disk, as operators do to add them
// again.
func (c *cluster) replaceRemoved() {
	leader := c.leader()
	if leader == nil {
		return
	}
	known := leader.node.Status(c.now)
	for _, id := range c.ids() {
		m := c.members[id]
		_, listed := known.KnownMembers().Find(id)
		informed := len(known.CommittedGroup) > 0 && known.Commit >= m.node.Status(c.now).Commit
		if informed && !listed && !m.node.Newcomer() {
			delete(c.members, id)
			c.start(c.add(m.name))
		}
	}
}

// converged reports whether there is a leader and all members of its group have
// applied the complete log.
func (c *cluster) converged() bool {
	leader := c.leader()
	if leader == nil || leader.applied < leader.node.Status(c.now).Last.Index {
		return false
	}
	for _, replica := range leader.node.Group() {
		if c.lostDisks[replica.ID] && replica.Role != replicator.Voter {
			continue // operators remove a learner whose disk was lost
		}
		m, found := c.members[replica.ID]
		if !found || replica.Role == replicator.Joining || m.applied != leader.applied {
			return false
		}
	}
	return true
}

// checkStates checks that all members of the group have the same state.
func (c *cluster) checkStates(leader *member) {
	want := string(leader.state.encode())
	for _, replica := range leader.node.Group() {
		if m, found := c.members[replica.ID]; found && string(m.state.encode()) != want {
			c.fail("members %d and %d differ at entry %d", m.id, leader.id, m.applied)
		}
	}
}

// checkAnswers checks that every acknowledged change and claim is still in the
// leader's state: a resend of it gets the same answer.
func (c *cluster) checkAnswers(leader *member) {
	for id, revision := range c.accepted {
		again := leader.state.configuration.Check(describer.Change{ID: id})
		if !again.Resent || again.Revision != revision {
			c.fail("change %s was accepted as revision %d and is now %+v", id, revision, again)
		}
	}
	for key, owner := range c.granted {
		results := leader.state.claims.Claim(0, claimer.Policy{}, []*messenger.ClaimEntry{
			{Workspace: "club", Key: key, Owner: owner + " again"},
		})
		if results[0].GetOutcome() != messenger.ClaimOutcome_CLAIM_SPENT {
			c.fail("key %s was granted and is now %s", key, results[0].GetOutcome())
		}
	}
}
