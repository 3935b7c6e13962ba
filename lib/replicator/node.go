package replicator

import (
	"math/rand/v2"
	"time"
)

// Config configures a Node.
type Config struct {
	ID     ID
	Timing Timing
	Limits Limits
	// Random randomizes the election timeouts. It must be seeded differently in
	// every replica.
	Random *rand.Rand
}

// Restored is the durable state of a replica, as read from its disk.
type Restored struct {
	Ballot   Ballot
	Snapshot Snapshot // zero if there is none; State is not used
	Entries  []Entry  // the entries after the snapshot, without gaps
	// Commit is an index up to which all entries are known to be committed. With
	// it, a replica that starts without a quorum can already apply these entries.
	Commit uint64
}

// State is a node's role in the current term.
type State uint8

// The states of a node.
const (
	Follower State = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[s]
}

// indexedGroup is the membership as of the entry at an index.
type indexedGroup struct {
	index uint64
	group Group
}

// Node is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Node struct {
	id     ID
	timing Timing
	limits Limits
	random *rand.Rand
	epoch  time.Time

	ballot           Ballot
	journal          journal
	groups           []indexedGroup // in order of index; the last is in force
	snapshotPosition Position       // position of the latest snapshot on disk

	state            State
	leader           ID
	commit           uint64    // commit index
	announced        uint64    // highest commit index that a leader has announced
	delivered        uint64    // index of the last entry returned in Actions.Committed
	stable           uint64    // index of the last entry known to be synced to the local disk
	lastContact      time.Time // when the latest valid message from a leader arrived
	electionDeadline time.Time
	votesGranted     map[ID]bool // voters that granted a vote or pre-vote in the current election

	peers         map[ID]*peer
	leaderSince   time.Time // when this node became leader
	lastHeartbeat time.Time // when this leader last sent heartbeats
	pendingBytes  int       // size of this leader's uncommitted proposals
	transfer      transfer

	out          Actions
	ballotOnDisk Ballot
	pendingSync  pendingSync
}

// pendingSync describes the state that the latest Actions carried and that the
// host has not yet reported as synced.
type pendingSync struct {
	index       uint64
	ballot      Ballot
	outstanding bool
}

// New returns a node that continues from the durable state of its disk. It
// returns an ErrMalformed if a membership entry cannot be decoded.
func New(config Config, restored Restored, now time.Time) (*Node, error) {
	n := &Node{
		id: config.ID, timing: config.Timing.orDefaults(), limits: config.Limits.orDefaults(),
		random: config.Random, epoch: now,
		ballot: restored.Ballot, ballotOnDisk: restored.Ballot,
		snapshotPosition: restored.Snapshot.Position,
	}
	n.journal.reset(restored.Snapshot.Position)
	if restored.Snapshot.Index > 0 {
		n.groups = []indexedGroup{{index: restored.Snapshot.Index, group: restored.Snapshot.Group}}
	}
	for _, entry := range restored.Entries {
		n.journal.append(entry)
		if err := n.recordMembership(entry); err != nil {
			return nil, err
		}
	}
	n.commit = max(restored.Snapshot.Index, min(restored.Commit, n.journal.last().Index))
	n.delivered = restored.Snapshot.Index
	n.stable = n.journal.last().Index
	if n.ballot.Term > 0 {
		// Just before the restart this replica may have acknowledged a leader, whose
		// lease relies on that reply. A vote for another candidate before the lease
		// expires would allow two leaders to hold a lease at once.
		n.lastContact = now
	}
	n.restartTimer(now)
	return n, nil
}

// Founding returns the initial durable state of the replica that founds a group.
// Only one replica may found a group, and only after all others have confirmed
// that they are blank. It starts a new term, because it may already have voted in
// the term of the given ballot.
func Founding(founder ID, before Ballot, group Group) Restored {
	term := before.Term + 1
	return Restored{
		Ballot:  Ballot{Term: term, Vote: founder},
		Entries: []Entry{{Index: 1, Term: term, Kind: Membership, Data: EncodeGroup(group)}},
	}
}

// Group returns the membership in force, which is that of the last membership
// entry in the log, committed or not (section 4.1 of the thesis).
func (n *Node) Group() Group {
	if len(n.groups) == 0 {
		return nil
	}
	return n.groups[len(n.groups)-1].group
}

// GroupAt returns the membership as of a committed index, for a snapshot.
func (n *Node) GroupAt(index uint64) Group {
	var group Group
	for _, at := range n.groups {
		if at.index <= index {
			group = at.group
		}
	}
	return group
}

// Status describes a node at one moment.
type Status struct {
	ID     ID
	State  State
	Leader ID // zero if no leader is known
	Term   uint64
	Commit uint64 // commit index
	// Announced is the highest commit index that a leader has announced. It is above Commit
	// while this replica lacks committed entries.
	Announced uint64
	Last      Position // position of the last log entry
	// Quorum is true if this node is a leader with a valid lease, or has received
	// a message from the leader within the election timeout.
	Quorum bool
	// Group is the membership in force, CommittedGroup the latest one known to be
	// committed.
	Group          Group
	CommittedGroup Group
	// Newcomer is true if this replica has never been a member of a committed group.
	Newcomer bool
}

// KnownMembers returns the members of the committed membership and of the one in
// force: while a change is uncommitted, either of the two may survive.
func (s Status) KnownMembers() Group {
	known := s.CommittedGroup
	for _, replica := range s.Group {
		known = known.with(replica)
	}
	return known
}

// Status returns the node's current status.
func (n *Node) Status(now time.Time) Status {
	return Status{
		ID: n.id, State: n.state, Leader: n.leader, Term: n.ballot.Term,
		Commit: n.commit, Announced: n.announced, Last: n.journal.last(), Quorum: n.hasQuorum(now),
		Group: n.Group(), CommittedGroup: n.GroupAt(n.commit), Newcomer: n.Newcomer(),
	}
}

// hasQuorum reports whether this node is a leader with a valid lease or is in
// contact with a leader.
func (n *Node) hasQuorum(now time.Time) bool {
	if n.state == Leader {
		return n.HasLease(now)
	}
	return n.leader != 0 && now.Sub(n.lastContact) < n.timing.ElectionTimeout
}

// Ballot returns the current term and the vote cast in it, whether synced or not.
func (n *Node) Ballot() Ballot {
	return n.ballot
}

// Newcomer reports whether this replica has never been a member of a committed
// group, even if it has received entries of a group. It then has to ask to join.
func (n *Node) Newcomer() bool {
	for _, at := range n.groups {
		if _, member := at.group.Find(n.id); member && at.index <= n.commit {
			return false
		}
	}
	return true
}

// Blank reports whether this replica has no membership at all: neither its disk
// nor a leader has given it one.
func (n *Node) Blank() bool {
	return len(n.groups) == 0
}

// TermAt returns the term of the entry at an index, and false if that entry is no
// longer or not yet in memory.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	return n.journal.term(index)
}

// Tick processes the timers that have expired by now: heartbeats and timeouts of
// a leader, and the election timeout of other replicas.
func (n *Node) Tick(now time.Time) {
	if n.state == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	n.restartTimer(now)
	if n.mayCampaign() {
		n.preCampaign(now)
	}
}

// Step processes a message from another replica.
func (n *Node) Step(now time.Time, message Message) {
	if message.To != n.id {
		// The message is addressed to the previous, lost disk of this keeper.
		return
	}
	switch message.Kind {
	case PreVote:
		n.handlePreVote(now, message)
	case PreVoteReply:
		n.handlePreVoteReply(now, message)
	case Vote:
		n.handleVote(now, message)
	case VoteReply:
		n.handleVoteReply(now, message)
	case Append:
		n.handleAppend(now, message)
	case Install:
		n.handleInstall(now, message)
	case AppendReply:
		n.handleAppendReply(now, message)
	case TimeoutNow:
		n.handleTimeoutNow(now, message)
	}
}

// Actions returns what the host has to do. The node treats none of it as durable
// until the host calls Synced.
func (n *Node) Actions(now time.Time) Actions {
	n.replicate(now)
	n.out.Committed = n.journal.entriesBetween(n.delivered, n.commit)
	n.delivered = max(n.delivered, n.commit)
	if n.ballot != n.ballotOnDisk {
		ballot := n.ballot
		n.out.Ballot = &ballot
	}
	n.pendingSync = pendingSync{index: n.journal.last().Index, ballot: n.ballot, outstanding: true}
	actions := n.out
	n.out = Actions{Fault: actions.Fault}
	return actions
}

// Synced reports to the node that everything in the latest Actions is on disk.
// The host must not call Step between Actions and Synced.
func (n *Node) Synced(now time.Time) {
	if !n.pendingSync.outstanding {
		return
	}
	n.stable = n.pendingSync.index
	n.ballotOnDisk = n.pendingSync.ballot
	n.pendingSync = pendingSync{}
	switch n.state {
	case Candidate:
		// The candidate's own vote counts only once it is durable. Otherwise a lone
		// voter could become leader, crash, and lead the same term a second time.
		n.votesGranted[n.id] = true
		n.countVotes(now)
	case Leader:
		n.advanceCommit(now)
	}
}

// Compacted reports to the node that a snapshot at that position is on disk. The
// node drops the entries that the snapshot covers, except the latest
// Limits.TrailingBytes of them. It ignores a position that is older than the
// latest snapshot or has not been delivered as committed.
func (n *Node) Compacted(position Position) {
	if position.Index <= n.snapshotPosition.Index || position.Index > n.delivered {
		return
	}
	n.snapshotPosition = position
	n.journal.compact(position.Index, n.limits.TrailingBytes)
	n.pruneGroups(n.journal.base.Index)
}

// pruneGroups drops the memberships that are older than the one in force at base.
func (n *Node) pruneGroups(base uint64) {
	for len(n.groups) > 1 && n.groups[1].index <= base {
		n.groups = n.groups[1:]
	}
}

// recordMembership puts the membership of a Membership entry in force.
func (n *Node) recordMembership(entry Entry) error {
	if entry.Kind != Membership {
		return nil
	}
	group, err := DecodeGroup(entry.Data)
	if err != nil {
		return err
	}
	n.groups = append(n.groups, indexedGroup{index: entry.Index, group: group})
	return nil
}

// appendEntry appends an entry to the log and to the entries that the next
// Actions make durable.
func (n *Node) appendEntry(entry Entry) {
	n.journal.append(entry)
	n.out.Entries = append(n.out.Entries, entry)
	if err := n.recordMembership(entry); err != nil {
		n.out.Fault = err
	}
}

// truncateFrom drops the entries from an index on, including those that the next
// Actions would make durable.
func (n *Node) truncateFrom(index uint64) {
	n.journal.truncateFrom(index)
	for len(n.groups) > 0 && n.groups[len(n.groups)-1].index >= index {
		n.groups = n.groups[:len(n.groups)-1]
	}
	n.stable = min(n.stable, index-1)
	for i, entry := range n.out.Entries {
		if entry.Index >= index {
			n.out.Entries = n.out.Entries[:i:i]
			break
		}
	}
}

// send queues a message that must wait until the next Actions are synced.
func (n *Node) send(message Message) {
	message.From = n.id
	n.out.Messages = append(n.out.Messages, message)
}

// sendEarly queues a message that does not have to wait for the sync.
func (n *Node) sendEarly(message Message) {
	message.From = n.id
	n.out.Early = append(n.out.Early, message)
}

// restartTimer sets the election deadline to a random time between one and two
// election timeouts from now.
func (n *Node) restartTimer(now time.Time) {
	spread := time.Duration(n.random.Int64N(int64(n.timing.ElectionTimeout)))
	n.electionDeadline = now.Add(n.timing.ElectionTimeout + spread)
}
