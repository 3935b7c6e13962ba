package replicator

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxReplicas is the maximum number of members of the group, including learners.
const MaxReplicas = 64

// Join adds a replica to the group: as a permanent learner if its role is Learner,
// otherwise as a learner that is promoted to voter as soon as it has caught up. If
// a replica with another disk but the same name is a member, the new one takes
// its role and replaces it once it has caught up, because a new disk under that
// name means that the old one is lost. For a member whose address is unchanged,
// Join changes nothing. It returns the position of the membership entry. Its
// errors are ErrNotLeader and ErrMembership.
func (n *Node) Join(replica Replica) (Position, error) {
	if err := n.checkChangeable(); err != nil {
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
	return n.appendGroup(n.Group().with(replica)), nil
}

// joiningRole returns the role with which a replica joins: Learner if it asks for
// that or replaces a learner of the same name, otherwise Joining.
func (n *Node) joiningRole(replica Replica) Role {
	if old := n.Group().Named(replica.Name); len(old) > 0 {
		replica.Role = old[0].Role
	}
	if replica.Role == Learner {
		return Learner
	}
	return Joining
}

// Remove removes a replica from the group and returns the position of the
// membership entry. Its errors are ErrNotLeader and ErrMembership.
func (n *Node) Remove(now time.Time, id ID) (Position, error) {
	if err := n.checkChangeable(); err != nil {
		return Position{}, err
	}
	if _, found := n.Group().Find(id); !found {
		return Position{}, merry.Errorf("%w: there is no such member; look at the status for their names", ErrMembership)
	}
	changed := n.Group().without(id)
	if len(changed.Voters()) == 0 {
		return Position{}, merry.Errorf("%w: the last voter cannot be removed; add another first", ErrMembership)
	}
	if !n.hasReachableQuorum(now, changed) {
		return Position{}, merry.Errorf("%w: too few of the remaining voters answer; start them first", ErrMembership)
	}
	return n.appendGroup(changed), nil
}

// hasReachableQuorum reports whether a majority of a group's voters has replied
// within the election timeout. A smaller group in which too many voters are down
// could neither commit its own membership entry nor return to the previous one.
func (n *Node) hasReachableQuorum(now time.Time, group Group) bool {
	return n.countReachable(now, group) >= group.quorum()
}

// countReachable returns the number of a group's voters that have replied within
// the election timeout, including this node.
func (n *Node) countReachable(now time.Time, group Group) int {
	count := 0
	for _, replica := range group {
		p, found := n.peers[replica.ID]
		reachable := replica.ID == n.id || (found && now.Sub(p.lastReply) < n.timing.ElectionTimeout)
		if replica.Role == Voter && reachable {
			count++
		}
	}
	return count
}

// checkChangeable returns an error if the membership may not change now. Only one
// change may be uncommitted at a time, and the leader must first have committed an
// entry of its own term. Without the second rule, two leaders could each commit a
// change with majorities that do not overlap (D. Ongaro, "bug in single-server membership changes", 2015).
func (n *Node) checkChangeable() error {
	if n.state != Leader || n.transfer.target != 0 {
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

// appendGroup appends a membership entry, which is in force at once, and returns
// its position.
func (n *Node) appendGroup(group Group) Position {
	n.appendEntry(Entry{
		Index: n.journal.last().Index + 1, Term: n.ballot.Term,
		Kind: Membership, Data: EncodeGroup(group),
	})
	n.syncPeers()
	return n.journal.last()
}

// manageMembership makes the next membership change that is due: it promotes
// replicas that have caught up and removes silent voters. If this leader itself
// has been removed, it steps down.
func (n *Node) manageMembership(now time.Time) {
	if n.state != Leader || n.checkChangeable() != nil {
		return
	}
	if _, member := n.Group().Find(n.id); !member {
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	for _, replica := range n.Group() {
		if replica.Role != Voter && n.caughtUp(now, replica.ID) && n.completeJoin(now, replica) {
			return
		}
	}
	n.retireSilentVoter(now)
}

// retireSilentVoter removes a voter that has sent no reply for Timing.RetireAfter,
// for deployments in which no operator manages the members. Otherwise an instance
// that was replaced by another at a new address would count toward every majority
// permanently, and the next loss would stop the group.
//
// It does so only while the number of voters is even and above minVoters, so that
// the smaller group needs one vote less for a majority. A group of three with one
// silent voter stays as it is: a group of two could not tolerate the loss of a
// disk, and the silent voter may return.
func (n *Node) retireSilentVoter(now time.Time) {
	voters := n.Group().Voters()
	if len(voters)%2 != 0 || len(voters) <= minVoters {
		return
	}
	for _, replica := range voters {
		if !n.isSilent(now, replica.ID) {
			continue
		}
		if _, err := n.Remove(now, replica.ID); err == nil {
			return
		}
	}
}

// minVoters is the size of the smallest group that tolerates the loss of a disk.
const minVoters = 3

// isSilent reports whether a voter has sent no reply for Timing.RetireAfter. It is
// always false if removals are left to operators, and until this node has been
// leader for that long.
func (n *Node) isSilent(now time.Time, id ID) bool {
	p, found := n.peers[id]
	return n.timing.RetireAfter > 0 && found &&
		now.Sub(p.lastReply) >= n.timing.RetireAfter && now.Sub(n.leaderSince) >= n.timing.RetireAfter
}

// canReplaceSilent reports whether a newcomer may replace a silent voter at once.
// The newcomer is promoted before the silent voter is removed. In between, the
// silent voter still counts toward the majority, so that the loss of another disk
// at that moment can be repaired when the silent voter returns.
func (n *Node) canReplaceSilent(now time.Time, newcomer Replica) bool {
	hasSilent := slices.ContainsFunc(n.Group().Voters(), func(r Replica) bool { return n.isSilent(now, r.ID) })
	newcomer.Role = Voter
	group := n.Group().with(newcomer)
	return hasSilent && n.countReachable(now, group) >= group.quorum()
}

// completeJoin makes the next change for a replica that has caught up, and reports
// whether it appended one. The member with the old disk of the same name is
// removed first, in a separate change, because the majorities before and after
// two changes at once need not overlap.
func (n *Node) completeJoin(now time.Time, replica Replica) bool {
	for _, other := range n.Group().Named(replica.Name) {
		if other.ID != replica.ID {
			_, err := n.Remove(now, other.ID)
			return err == nil
		}
	}
	if replica.Role != Joining || !n.keepsQuorumWithout(now, replica) && !n.canReplaceSilent(now, replica) {
		return false
	}
	replica.Role = Voter
	n.appendGroup(n.Group().with(replica))
	return true
}

// caughtUp reports whether a replica is reachable and has synced every committed
// entry. A voter that lacks some would count toward majorities although only the
// other voters hold these entries, and the loss of a second disk right after the
// repair would lose them.
func (n *Node) caughtUp(now time.Time, id ID) bool {
	p, found := n.peers[id]
	return found && p.match >= n.commit && now.Sub(p.lastReply) < n.timing.ElectionTimeout
}

// keepsQuorumWithout reports whether the group would still have a majority if the
// newcomer were lost right after its promotion. Otherwise a fourth voter would
// reduce availability, as in a group of three with one voter down: the majority
// would be three of four, which is every voter that is up. A group of one voter is
// exempt, because it can grow only by depending on its second voter.
func (n *Node) keepsQuorumWithout(now time.Time, newcomer Replica) bool {
	if len(n.Group().Voters()) == 1 {
		return true
	}
	newcomer.Role = Voter
	needed := n.Group().with(newcomer).quorum()
	return n.countReachable(now, n.Group().without(newcomer.ID)) >= needed
}

// transfer is a leadership transfer in progress. It is zero if there is none.
type transfer struct {
	target   ID
	deadline time.Time
	sent     bool // TimeoutNow was sent, so the lease is given up
}

// Transfer starts a transfer of leadership to the reachable voter whose log is the
// most complete, so that a planned stop costs one round trip instead of an
// election timeout. It returns false if this node is not the leader or no other
// voter is reachable.
func (n *Node) Transfer(now time.Time) bool {
	if n.state != Leader {
		return false
	}
	best := ID(0)
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if !n.Group().isVoter(id) || now.Sub(p.lastReply) > n.timing.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > n.peers[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	n.transfer = transfer{target: best, deadline: now.Add(n.timing.ElectionTimeout)}
	n.sendTimeoutNow()
	return true
}

// sendTimeoutNow sends TimeoutNow to the target of the transfer once its log is
// complete. From then on the leader has no lease.
func (n *Node) sendTimeoutNow() {
	if n.transfer.target == 0 || n.transfer.sent {
		return
	}
	p, found := n.peers[n.transfer.target]
	if !found || p.match < n.journal.last().Index {
		return
	}
	n.transfer.sent = true
	n.send(Message{Kind: TimeoutNow, To: n.transfer.target, Term: n.ballot.Term})
}

// abandonTransfer ends a leadership transfer that has timed out. If TimeoutNow was
// sent, it may still arrive and start an election in which followers vote in spite
// of this leader's lease. The lease cannot be resumed in this term, so the node
// steps down.
func (n *Node) abandonTransfer(now time.Time) {
	if n.transfer.sent {
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	n.transfer = transfer{}
}
