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
	// seedsEnv sets how many seeds are walked: SHALLOTKEEL_SEEDS=1000000 for a night.
	seedsEnv     = "SHALLOTKEEL_SEEDS"
	firstSeedEnv = "SHALLOTKEEL_FIRST_SEED"
	seedsInCI    = 2000
	stepsOfWalk  = 250
	// settleTime is how long a whole network may take until everything is
	// repaired and every member has everything.
	settleTime = 20 * time.Second
)

func fromEnv(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err)
	return number
}

// TestRandomWalk: the symptoms would be two leaders of a term, an accepted
// change or claim that is lost or counted twice, or a group that does not
// recover. The events are any sequence of lost, repeated, late and reordered
// messages, one-way cuts, crashes at every step between deciding and sending,
// restarts with what was synced, lost disks, and changes of membership.
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
	// A walk in which nothing is accepted would prove nothing.
	require.Greater(t, proved.Load(), int64(seeds))
}

func walk(seed uint64) (accepted int, err error) {
	w := newRetiringWorld(seed, 1+2*int(seed%3), time.Duration(seed/3%2)*2*election)
	for range stepsOfWalk {
		w.act()
		if w.problem != nil {
			return 0, w.problem
		}
	}
	w.settle()
	return len(w.granted) + len(w.accepted), w.problem
}

// act lets one random thing happen.
func (w *world) act() {
	w.pass(time.Duration(w.random.Int64N(int64(40 * time.Millisecond))))
	m := w.pick()
	switch w.random.IntN(40) {
	case 0:
		w.crash(m)
	case 1, 2, 3:
		if m.node == nil {
			w.start(m)
		}
	case 4:
		other := w.pick()
		w.cut[[2]replicator.ID{m.id, other.id}] = true
	case 5, 6:
		clear(w.cut)
	case 7:
		w.wipe(m)
	case 8:
		w.alter(m)
	case 9:
		if m.node != nil {
			m.node.Transfer(w.now)
		}
	case 10:
		w.freeze(m)
	case 11, 12:
		w.rejoin()
	case 13:
		w.lossy = !w.lossy
	default:
		for range w.random.IntN(6) {
			w.propose(m)
		}
	}
	if m.node != nil {
		w.flush(m)
	}
}

// freeze lets all others go on for a while: nothing reaches the member and its
// clock stands, as after SIGSTOP. Then everything reaches it at once.
func (w *world) freeze(m *member) {
	if m.node == nil {
		return
	}
	m.frozen = true
	for range w.random.IntN(20) {
		w.pass(time.Duration(w.random.Int64N(int64(40 * time.Millisecond))))
	}
	m.frozen = false
}

// wipe loses a member's disk and starts it with an empty one, unless more disks
// than a minority of some membership would then be gone.
func (w *world) wipe(m *member) {
	if len(w.committed) == 0 {
		return // the group would have to be founded again
	}
	w.lost[m.id] = true
	for _, group := range w.groupsInForce() {
		if !w.bearable(group) {
			delete(w.lost, m.id)
			return
		}
	}
	delete(w.members, m.id)
	w.start(w.add(m.name))
}

// groupsInForce lists the last committed membership and every later one that
// some disk holds or some message carries.
func (w *world) groupsInForce() []replicator.Group {
	groups := []replicator.Group{w.group}
	add := func(entries []replicator.Entry) {
		for _, entry := range entries {
			if entry.Kind == replicator.Membership && entry.Index > w.groupIndex {
				groups = append(groups, w.decode(entry))
			}
		}
	}
	for _, m := range w.members {
		add(m.disk.entries)
	}
	for _, at := range w.network {
		add(at.message.Entries)
	}
	return groups
}

// bearable tells whether at most a minority of the voters is lost. A joining
// member counts as if it were one, because it may be promoted at any moment, but
// once with the voter whose name it takes over. Two voters bear no loss, and a
// lone voter's newcomer makes two.
func (w *world) bearable(group replicator.Group) bool {
	voters := len(group.Voters())
	gone := make(map[string]bool)
	for _, replica := range group {
		if replica.Role != replicator.Learner && w.lost[replica.ID] {
			gone[replica.Name] = true
		}
	}
	return len(gone) <= (voters-1)/2
}

// alter adds a keeper or removes one, as operators do.
func (w *world) alter(m *member) {
	leader := w.leader()
	switch {
	case leader == nil:
	case w.random.IntN(2) == 0 && len(w.members) < 6:
		w.start(w.add(fmt.Sprint("extra-", w.nextID)))
	case w.bearable(slices.DeleteFunc(slices.Clone(leader.node.Group()), func(r replicator.Replica) bool { return r.ID == m.id })):
		// An operator who removes a working keeper while another has just lost its
		// disk leaves a group that nothing can repair; the walk doesn't do that.
		_, _ = leader.node.Remove(w.now, m.id) // refused now and then, as it should be
		w.flush(leader)
	}
}

// rejoin lets newcomers ask the leader to add them. Every third stays a learner.
func (w *world) rejoin() {
	leader := w.leader()
	if leader == nil {
		return
	}
	for _, id := range w.ids() {
		m := w.members[id]
		if m.node == nil {
			continue
		}
		_, listed := leader.node.Group().Find(id)
		retired := w.retire > 0 && !listed
		if !m.node.Newcomer() && !retired {
			continue
		}
		role := replicator.Joining
		if strings.HasPrefix(m.name, "extra") && id%3 == 0 {
			role = replicator.Learner
		}
		_, _ = leader.node.Join(replicator.Replica{ID: id, Name: m.name, Role: role}) // tried again later
	}
	w.flush(leader)
}

// settle heals everything and checks that the group repairs itself and that
// nothing that was answered is missing.
func (w *world) settle() {
	w.lossy = false
	clear(w.cut)
	for _, m := range w.members {
		if m.node == nil {
			w.start(m)
		}
	}
	for end := w.now.Add(settleTime); w.now.Before(end) && w.problem == nil; {
		w.pass(20 * time.Millisecond)
		w.renew()
		w.rejoin()
		if w.whole() {
			w.checkStates(w.leader())
			w.checkAnswers(w.leader())
			return
		}
	}
	w.fail("the group did not recover within %s:%s", settleTime, w.describe())
}

func (w *world) describe() string {
	var text strings.Builder
	for _, id := range w.ids() {
		m := w.members[id]
		fmt.Fprintf(&text, "\n%d %s applied %d", id, m.name, m.applied)
		if m.node != nil {
			fmt.Fprintf(&text, ": %+v", m.node.Status(w.now))
		}
	}
	return text.String()
}

// renew gives members that were removed an empty disk, as operators do who want
// them back.
func (w *world) renew() {
	leader := w.leader()
	if leader == nil {
		return
	}
	known := leader.node.Status(w.now)
	for _, id := range w.ids() {
		m := w.members[id]
		_, listed := known.Known().Find(id)
		informed := len(known.Settled) > 0 && known.Commit >= m.node.Status(w.now).Commit
		if informed && !listed && !m.node.Newcomer() {
			delete(w.members, id)
			w.start(w.add(m.name))
		}
	}
}

// whole tells whether there is a leader and all of its group has everything.
func (w *world) whole() bool {
	leader := w.leader()
	if leader == nil || leader.applied < leader.node.Status(w.now).Last.Index {
		return false
	}
	for _, replica := range leader.node.Group() {
		if w.lost[replica.ID] && replica.Role != replicator.Voter {
			continue // a learner whose disk was lost is removed by operators
		}
		m, found := w.members[replica.ID]
		if !found || replica.Role == replicator.Joining || m.applied != leader.applied {
			return false
		}
	}
	return true
}

// checkStates checks that the members of the group have reached the same state.
func (w *world) checkStates(leader *member) {
	want := string(leader.state.encode())
	for _, replica := range leader.node.Group() {
		if m, found := w.members[replica.ID]; found && string(m.state.encode()) != want {
			w.fail("members %d and %d differ at entry %d", m.id, leader.id, m.applied)
		}
	}
}

func (w *world) checkAnswers(leader *member) {
	for id, revision := range w.accepted {
		again := leader.state.configuration.Check(describer.Change{ID: id})
		if !again.Resent || again.Revision != revision {
			w.fail("change %s was accepted as revision %d and is now %+v", id, revision, again)
		}
	}
	for key, owner := range w.granted {
		results := leader.state.claims.Claim(0, claimer.Policy{}, []*messenger.ClaimEntry{
			{Workspace: "club", Key: key, Owner: owner + " again"},
		})
		if results[0].GetOutcome() != messenger.ClaimOutcome_CLAIM_SPENT {
			w.fail("key %s was granted and is now %s", key, results[0].GetOutcome())
		}
	}
}
