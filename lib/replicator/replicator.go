// Package replicator agrees on a replicated log among the keepers.
//
// It follows Raft: D. Ongaro and J. Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (USENIX ATC 2014), with pre-vote, leader lease,
// leadership transfer, learners and one-at-a-time membership changes from D.
// Ongaro's thesis, "Consensus: Bridging Theory and Practice" (Stanford 2014).
//
// A Node is a pure state machine. The host passes in messages, proposals and
// the time, takes the Actions, makes them durable, and only then reports Synced
// and sends what had to wait. The node has no goroutine, socket, file or clock.
//
// Invariants:
//   - a term has at most one leader;
//   - an entry that has been committed is never lost or changed, whatever
//     minority of disks is lost;
//   - a replica is named by the identity of its disk, so a wiped disk is another
//     replica: it never campaigns before it has been promoted, and it is never
//     taken for the replica whose memory it lost;
//   - a leader that has not heard a quorum for an election timeout steps down.
package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// The kinds of error that a proposal can meet. In every one of them nothing
// was appended to the log.
var (
	// ErrNotLeader means that another replica must be asked.
	ErrNotLeader = merry.Sentinel("this keeper is not the leader")
	// ErrNoQuorum means that the leader has lost contact with a majority.
	ErrNoQuorum = merry.Sentinel("no quorum of keepers")
	// ErrBusy means that too many proposals wait to be committed.
	ErrBusy = merry.Sentinel("too many proposals wait for a quorum")
	// ErrMembership means that a change of membership cannot be made now.
	ErrMembership = merry.Sentinel("membership cannot be changed so")
	// ErrFault means that the log contradicts itself: a disk lost what it had synced.
	ErrFault = merry.Sentinel("replicated log is broken")
)

// ID names a replica by the identity of its disk. Zero is no replica.
type ID uint64

// Position is a place in the log. The zero position lies before the first entry.
type Position struct {
	Index uint64
	Term  uint64
}

// newer tells whether a log that ends at p is at least as up to date as one
// that ends at other (section 5.4.1 of the paper).
func (p Position) newer(other Position) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Index >= other.Index
}

// EntryKind says what an entry's data is.
type EntryKind uint8

// The kinds of entry.
const (
	// Command is the host's.
	Command EntryKind = iota
	// Empty is appended by a new leader, so that it can commit what came before.
	Empty
	// Membership holds an encoded Group.
	Membership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) position() Position {
	return Position{Index: e.Index, Term: e.Term}
}

// Ballot is what a replica must never forget of the elections.
type Ballot struct {
	Term uint64
	Vote ID
}

// Snapshot replaces the log up to and including its position.
type Snapshot struct {
	Position
	Group Group
	// State is the host's. The node never looks into it, and leaves it out of
	// an Install message: the host attaches its latest snapshot.
	State []byte
}

// MessageKind says what a message is.
type MessageKind uint8

// The kinds of message.
const (
	Append MessageKind = iota + 1
	AppendReply
	PreVote
	PreVoteReply
	Vote
	VoteReply
	Install
	TimeoutNow
)

// Message is what replicas say to one another.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Position is the entry before Entries in an Append, the end of the
	// candidate's log in a vote, and in an AppendReply the highest index known to
	// match, or with Reject the highest that may.
	Position Position
	Commit   uint64
	// Stamp is the sending leader's own time, echoed in the reply: the lease
	// counts from when a message was sent, not from when its reply came.
	Stamp    time.Duration
	Reject   bool
	Transfer bool // the vote was asked for by the old leader: its lease is given up
	Entries  []Entry
	Snapshot *Snapshot
}

// Actions is what the host has to do, in the order of the fields.
type Actions struct {
	// Early messages may leave before anything is durable.
	Early []Message
	// Install replaces the log and the host's state.
	Install *Snapshot
	// Ballot and Entries are to be made durable. An entry whose index exists
	// already replaces it and everything behind it.
	Ballot  *Ballot
	Entries []Entry
	// Messages may leave only after all of that has been synced.
	Messages []Message
	// Committed entries are to be applied.
	Committed []Entry
	// Fault, if set, means that the host must stop.
	Fault error
}

// Durable tells whether there is something to sync.
func (a Actions) Durable() bool {
	return a.Install != nil || a.Ballot != nil || len(a.Entries) > 0
}

// Empty tells whether there is nothing to do.
func (a Actions) Empty() bool {
	return !a.Durable() && len(a.Early) == 0 && len(a.Messages) == 0 && len(a.Committed) == 0
}

// Timing sets the pace. Zero values mean the defaults.
type Timing struct {
	// Heartbeat is the pause between a leader's messages to an idle follower.
	Heartbeat time.Duration
	// Election is the least time without a leader before a replica campaigns,
	// and the length of the lease. It must be several heartbeats.
	Election time.Duration
	// Retire is how long a voter may be silent before the leader removes it, where
	// that does not weaken the group. 0 leaves all removals to operators.
	Retire time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeat = 50 * time.Millisecond
	DefaultElection  = 300 * time.Millisecond
)

func (t Timing) orDefaults() Timing {
	if t.Heartbeat == 0 {
		t.Heartbeat = DefaultHeartbeat
	}
	if t.Election == 0 {
		t.Election = DefaultElection
	}
	return t
}

// Limits bound the node's memory. Zero values mean the defaults.
type Limits struct {
	BatchEntries  int // entries in one message
	BatchBytes    int // bytes of data in one message, but at least one entry
	Window        int // entries sent to a follower and not acknowledged
	PendingBytes  int // bytes of proposals that wait to be committed
	TrailingBytes int // bytes of entries kept behind a snapshot for slow followers
}

func (l Limits) orDefaults() Limits {
	standard := Limits{
		BatchEntries: 512, BatchBytes: 512 << 10, Window: 4096,
		PendingBytes: 8 << 20, TrailingBytes: 2 << 20,
	}
	for _, field := range []struct{ have, standard *int }{
		{&l.BatchEntries, &standard.BatchEntries},
		{&l.BatchBytes, &standard.BatchBytes},
		{&l.Window, &standard.Window},
		{&l.PendingBytes, &standard.PendingBytes},
		{&l.TrailingBytes, &standard.TrailingBytes},
	} {
		if *field.have == 0 {
			*field.have = *field.standard
		}
	}
	return l
}
