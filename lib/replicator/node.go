package replicator

import (
	"math/rand/v2"
	"time"
)

// Config is what a node needs to know at its start.
type Config struct {
	ID     ID
	Timing Timing
	Limits Limits
	// Random spreads election timeouts. It must be seeded differently in every replica.
	Random *rand.Rand
}

// Restored is what a replica's disk holds.
type Restored struct {
	Ballot   Ballot
	Snapshot Snapshot // zero if there is none; its state is not needed
	Entries  []Entry  // behind the snapshot, without gaps
	// Commit is an index up to which all entries are known to be committed. It
	// lets a replica that starts without a quorum show what it knows.
	Commit uint64
}

// State is a node's part in the current term.
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

// placed is the membership as of an entry.
type placed struct {
	index uint64
	group Group
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	id     ID
	timing Timing
	limits Limits
	random *rand.Rand
	epoch  time.Time

	ballot  Ballot
	journal journal
	groups  []placed // rising by index; the last is in force
	saved   Position // of the latest snapshot on disk

	state    State
	leader   ID
	commit   uint64
	handed   uint64 // the last entry handed out as committed
	stable   uint64 // the last entry known to be synced here
	heard    time.Time
	deadline time.Time // of the election timer
	granted  map[ID]bool

	peers    map[ID]*peer
	since    time.Time // when this node became leader
	beat     time.Time // when the last heartbeat was sent
	pending  int       // bytes that wait to be committed
	transfer transfer

	out          Actions
	ballotOnDisk Ballot
	taken        taken
}

// taken is what the latest Actions made durable.
type taken struct {
	index  uint64
	ballot Ballot
	open   bool
}

// New returns a node that starts with what its disk holds.
func New(config Config, restored Restored, now time.Time) (*Node, error) {
	n := &Node{
		id: config.ID, timing: config.Timing.orDefaults(), limits: config.Limits.orDefaults(),
		random: config.Random, epoch: now,
		ballot: restored.Ballot, ballotOnDisk: restored.Ballot,
		saved: restored.Snapshot.Position,
	}
	n.journal.reset(restored.Snapshot.Position)
	if restored.Snapshot.Index > 0 {
		n.groups = []placed{{index: restored.Snapshot.Index, group: restored.Snapshot.Group}}
	}
	for _, entry := range restored.Entries {
		n.journal.append(entry)
		if err := n.place(entry); err != nil {
			return nil, err
		}
	}
	n.commit = max(restored.Snapshot.Index, min(restored.Commit, n.journal.last().Index))
	n.handed = restored.Snapshot.Index
	n.stable = n.journal.last().Index
	if n.ballot.Term > 0 {
		// In its last life this replica may have acknowledged a leader just now,
		// and that leader counts on its lease. A vote before the lease is over
		// would let two leaders believe in theirs.
		n.heard = now
	}
	n.restartTimer(now)
	return n, nil
}

// Founding returns what the disk of a group's first replica holds. Only one
// replica may found a group, and only after all others said that they are
// blank. It starts a term of its own, because it may have voted before.
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

// Status is a node's view of itself.
type Status struct {
	ID     ID
	State  State
	Leader ID
	Term   uint64
	Commit uint64
	Last   Position
	// Quorum tells whether this node is a leader with a valid lease, or has heard
	// such a leader within the election timeout.
	Quorum bool
	// Group is the membership in force, Settled the last one known to be committed.
	Group   Group
	Settled Group
	// Newcomer tells that this replica was never a committed member.
	Newcomer bool
}

// Known returns the members of either membership: while a change is not
// committed, it is not known which of the two will last.
func (s Status) Known() Group {
	known := s.Settled
	for _, replica := range s.Group {
		known = known.with(replica)
	}
	return known
}

// Status returns the node's view of itself.
func (n *Node) Status(now time.Time) Status {
	return Status{
		ID: n.id, State: n.state, Leader: n.leader, Term: n.ballot.Term,
		Commit: n.commit, Last: n.journal.last(), Quorum: n.contact(now),
		Group: n.Group(), Settled: n.GroupAt(n.commit), Newcomer: n.Newcomer(),
	}
}

func (n *Node) contact(now time.Time) bool {
	if n.state == Leader {
		return n.Lease(now)
	}
	return n.leader != 0 && now.Sub(n.heard) < n.timing.Election
}

// Ballot returns what this replica must not forget of the elections.
func (n *Node) Ballot() Ballot {
	return n.ballot
}

// Newcomer tells whether this replica has never been a committed member of the
// group, though it may have heard of one. It then has to ask to join.
func (n *Node) Newcomer() bool {
	for _, at := range n.groups {
		if _, member := at.group.Find(n.id); member && at.index <= n.commit {
			return false
		}
	}
	return true
}

// Blank tells whether this replica has never heard of a group.
func (n *Node) Blank() bool {
	return len(n.groups) == 0
}

// TermAt returns the term of an entry that is still in memory.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	return n.journal.term(index)
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) {
	if n.state == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.deadline) {
		return
	}
	n.restartTimer(now)
	if n.mayCampaign() {
		n.preCampaign(now)
	}
}

// Step takes a message from another replica.
func (n *Node) Step(now time.Time, message Message) {
	if message.To != n.id {
		// It was meant for the disk that this replica had before.
		return
	}
	switch message.Kind {
	case PreVote:
		n.answerPreVote(now, message)
	case PreVoteReply:
		n.countPreVote(now, message)
	case Vote:
		n.answerVote(now, message)
	case VoteReply:
		n.countVote(now, message)
	case Append:
		n.follow(now, message)
	case Install:
		n.install(now, message)
	case AppendReply:
		n.acknowledged(now, message)
	case TimeoutNow:
		n.takeOver(now, message)
	}
}

// Actions returns what the host has to do. Until the host has reported Synced,
// the node counts nothing of it as durable.
func (n *Node) Actions(now time.Time) Actions {
	n.replicate(now)
	n.out.Committed = n.journal.between(n.handed, n.commit)
	n.handed = max(n.handed, n.commit)
	if n.ballot != n.ballotOnDisk {
		ballot := n.ballot
		n.out.Ballot = &ballot
	}
	n.taken = taken{index: n.journal.last().Index, ballot: n.ballot, open: true}
	actions := n.out
	n.out = Actions{Fault: actions.Fault}
	return actions
}

// Synced says that everything in the latest Actions is on disk. No message may
// be stepped between Actions and Synced.
func (n *Node) Synced(now time.Time) {
	if !n.taken.open {
		return
	}
	n.stable = n.taken.index
	n.ballotOnDisk = n.taken.ballot
	n.taken = taken{}
	switch n.state {
	case Candidate:
		// The own vote counts only now: a lone voter that became leader earlier and
		// crashed would lead the same term a second time.
		n.granted[n.id] = true
		n.countVotes(now)
	case Leader:
		n.advance(now)
	}
}

// Compacted says that a snapshot at that position is on disk.
func (n *Node) Compacted(position Position) {
	if position.Index <= n.saved.Index || position.Index > n.handed {
		return
	}
	n.saved = position
	n.journal.compact(position.Index, n.limits.TrailingBytes)
	n.forgetGroups(n.journal.base.Index)
}

func (n *Node) forgetGroups(base uint64) {
	for len(n.groups) > 1 && n.groups[1].index <= base {
		n.groups = n.groups[1:]
	}
}

// place notes the membership of an entry.
func (n *Node) place(entry Entry) error {
	if entry.Kind != Membership {
		return nil
	}
	group, err := DecodeGroup(entry.Data)
	if err != nil {
		return err
	}
	n.groups = append(n.groups, placed{index: entry.Index, group: group})
	return nil
}

// push appends an entry to the log and to what is to be made durable.
func (n *Node) push(entry Entry) {
	n.journal.append(entry)
	n.out.Entries = append(n.out.Entries, entry)
	if err := n.place(entry); err != nil {
		n.out.Fault = err
	}
}

// cut drops the entries from an index on, also those not yet handed out.
func (n *Node) cut(index uint64) {
	n.journal.cut(index)
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

func (n *Node) send(message Message) {
	message.From = n.id
	n.out.Messages = append(n.out.Messages, message)
}

func (n *Node) sendEarly(message Message) {
	message.From = n.id
	n.out.Early = append(n.out.Early, message)
}

func (n *Node) restartTimer(now time.Time) {
	spread := time.Duration(n.random.Int64N(int64(n.timing.Election)))
	n.deadline = now.Add(n.timing.Election + spread)
}
