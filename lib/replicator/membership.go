package replicator

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxReplicas bounds the group, voters and learners together.
const MaxReplicas = 64

// Join adds a replica: as a learner that stays one if its role is Learner,
// otherwise as one that is promoted as soon as it has caught up. If another
// disk of the same name is a member, the new one inherits its part and replaces
// it once it has caught up: the name's new disk shows that the old one is gone.
// Joining twice does nothing. It returns where the change stands in the log.
func (n *Node) Join(replica Replica) (Position, error) {
	if err := n.changeable(); err != nil {
		return Position{}, err
	}
	known, found := n.Group().Find(replica.ID)
	if found && known.Address == replica.Address {
		return n.journal.last(), nil
	}
	if len(n.Group()) >= MaxReplicas {
		return Position{}, merry.Errorf("%w: %d members are the most; remove one first", ErrMembership, MaxReplicas)
	}
	if replica.ID == 0 {
		return Position{}, merry.Errorf("%w: the replica has no disk identity; start it first", ErrMembership)
	}
	if found {
		replica.Role = known.Role
	} else {
		replica.Role = n.joiningRole(replica)
	}
	return n.regroup(n.Group().with(replica)), nil
}

func (n *Node) joiningRole(replica Replica) Role {
	if old := n.Group().Named(replica.Name); len(old) > 0 {
		replica.Role = old[0].Role
	}
	if replica.Role == Learner {
		return Learner
	}
	return Joining
}

// Remove takes a replica out of the group. It returns where the change stands
// in the log.
func (n *Node) Remove(now time.Time, id ID) (Position, error) {
	if err := n.changeable(); err != nil {
		return Position{}, err
	}
	if _, found := n.Group().Find(id); !found {
		return Position{}, merry.Errorf("%w: there is no such member; look at the status for their names", ErrMembership)
	}
	changed := n.Group().without(id)
	if len(changed.Voters()) == 0 {
		return Position{}, merry.Errorf("%w: the last voter cannot be removed; add another first", ErrMembership)
	}
	if !n.reaches(now, changed) {
		return Position{}, merry.Errorf("%w: too few of the remaining voters answer; start them first", ErrMembership)
	}
	return n.regroup(changed), nil
}

// reaches tells whether a majority of a group's voters has answered of late. A
// smaller group of which too many are down could neither commit its own
// membership nor go back.
func (n *Node) reaches(now time.Time, group Group) bool {
	return n.answering(now, group) >= group.quorum()
}

// answering counts the voters that have answered of late.
func (n *Node) answering(now time.Time, group Group) int {
	count := 0
	for _, replica := range group {
		p, found := n.peers[replica.ID]
		answers := replica.ID == n.id || (found && now.Sub(p.seen) < n.timing.Election)
		if replica.Role == Voter && answers {
			count++
		}
	}
	return count
}

// changeable tells whether the membership may change now: one change at a time,
// and not before this leader has committed an entry of its own term. Without
// the second rule two leaders could each commit a change with majorities that
// do not overlap (D. Ongaro, "bug in single-server membership changes", 2015).
func (n *Node) changeable() error {
	if n.state != Leader || n.transfer.to != 0 {
		return merry.Errorf("%w; ask the leader", ErrNotLeader)
	}
	if term, _ := n.journal.term(n.commit); term != n.ballot.Term {
		return merry.Errorf("%w: the leader is new; ask again", ErrMembership)
	}
	if n.groups[len(n.groups)-1].index > n.commit {
		return merry.Errorf("%w: another change is under way; ask again", ErrMembership)
	}
	return nil
}

func (n *Node) regroup(group Group) Position {
	n.push(Entry{
		Index: n.journal.last().Index + 1, Term: n.ballot.Term,
		Kind: Membership, Data: EncodeGroup(group),
	})
	n.syncPeers()
	return n.journal.last()
}

// manage carries running changes on: it promotes what has caught up, and steps
// down when this leader itself has been removed.
func (n *Node) manage(now time.Time) {
	if n.state != Leader || n.changeable() != nil {
		return
	}
	if _, member := n.Group().Find(n.id); !member {
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	for _, replica := range n.Group() {
		if replica.Role != Voter && n.caughtUp(now, replica.ID) && n.settleIn(now, replica) {
			return
		}
	}
	n.retire(now)
}

// retire removes a voter that has been silent for long, where nobody looks after
// the members by hand. An instance that was replaced by another at a new address
// would otherwise count for every majority for good, and the next loss would
// stop the group.
//
// It is done only while the voters are an even number above leastVoters, so that
// one fewer needs one fewer for a majority. A group of three with one silent
// stays as it is: as two it could not bear the loss of a disk, and the silent one
// may be back.
func (n *Node) retire(now time.Time) {
	voters := n.Group().Voters()
	if len(voters)%2 != 0 || len(voters) <= leastVoters {
		return
	}
	for _, replica := range voters {
		if !n.silent(now, replica.ID) {
			continue
		}
		if _, err := n.Remove(now, replica.ID); err == nil {
			return
		}
	}
}

// leastVoters is the smallest group that bears the loss of a disk.
const leastVoters = 3

// silent tells whether a voter has not answered for so long that the group goes
// on without it. It never does where removals are left to operators.
func (n *Node) silent(now time.Time, id ID) bool {
	p, found := n.peers[id]
	return n.timing.Retire > 0 && found &&
		now.Sub(p.seen) >= n.timing.Retire && now.Sub(n.since) >= n.timing.Retire
}

// replaces tells whether a newcomer may take the place of a silent voter at once.
// It is promoted before the silent one is removed: for the moment between, the
// silent one still counts, so that the loss of another disk just then can be
// repaired when it is back.
func (n *Node) replaces(now time.Time, newcomer Replica) bool {
	gone := slices.ContainsFunc(n.Group().Voters(), func(r Replica) bool { return n.silent(now, r.ID) })
	newcomer.Role = Voter
	group := n.Group().with(newcomer)
	return gone && n.answering(now, group) >= group.quorum()
}

// settleIn lets a replica that has caught up take its place, and tells whether
// there was something to do. The old disk of its name goes first, in a change
// of its own, because two changes at once need not share a majority.
func (n *Node) settleIn(now time.Time, replica Replica) bool {
	for _, other := range n.Group().Named(replica.Name) {
		if other.ID != replica.ID {
			_, err := n.Remove(now, other.ID)
			return err == nil
		}
	}
	if replica.Role != Joining || !n.standsWithout(now, replica) && !n.replaces(now, replica) {
		return false
	}
	replica.Role = Voter
	n.regroup(n.Group().with(replica))
	return true
}

// caughtUp asks for everything that is committed: a voter that lacks it would
// count for majorities while only the others hold the entries, and the loss of
// a second disk right after the repair would lose them.
func (n *Node) caughtUp(now time.Time, id ID) bool {
	p, found := n.peers[id]
	return found && p.match >= n.commit && now.Sub(p.seen) < n.timing.Election
}

// standsWithout tells whether the group would still have a majority if the
// newcomer were lost right after its promotion. Otherwise, as in a group of
// three with one dead, a fourth voter would make things worse: three of four
// would be needed, all that is alive. A lone voter can only grow by depending on
// its second.
func (n *Node) standsWithout(now time.Time, newcomer Replica) bool {
	if len(n.Group().Voters()) == 1 {
		return true
	}
	newcomer.Role = Voter
	needed := n.Group().with(newcomer).quorum()
	return n.answering(now, n.Group().without(newcomer.ID)) >= needed
}

// transfer is a handover of leadership under way.
type transfer struct {
	to       ID
	deadline time.Time
	sent     bool
}

// Transfer hands leadership to the voter that is furthest, so that a planned
// stop costs one round trip and no election timeout. It returns false if this
// node is not leader or there is no one to hand over to.
func (n *Node) Transfer(now time.Time) bool {
	if n.state != Leader {
		return false
	}
	best := ID(0)
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if !n.Group().votes(id) || now.Sub(p.seen) > n.timing.Election {
			continue
		}
		if best == 0 || p.match > n.peers[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	n.transfer = transfer{to: best, deadline: now.Add(n.timing.Election)}
	n.handOver()
	return true
}

// handOver tells the chosen successor to campaign once it has the whole log.
// From then on the lease is given up.
func (n *Node) handOver() {
	if n.transfer.to == 0 || n.transfer.sent {
		return
	}
	p, found := n.peers[n.transfer.to]
	if !found || p.match < n.journal.last().Index {
		return
	}
	n.transfer.sent = true
	n.send(Message{Kind: TimeoutNow, To: n.transfer.to, Term: n.ballot.Term})
}

// abandonTransfer ends a handover that took too long. Once the successor has
// been told, the message may still arrive and start an election that followers
// answer in spite of this leader's lease. The lease can't be taken up again in
// this term, so the node steps down.
func (n *Node) abandonTransfer(now time.Time) {
	if n.transfer.sent {
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	n.transfer = transfer{}
}
