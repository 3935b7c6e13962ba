// Package replicator implements the Raft consensus protocol, by which the
// keepers agree on a replicated log.
//
// It follows D. Ongaro and J. Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (USENIX ATC 2014), with pre-vote, leader lease,
// leadership transfer, learners and single-server membership changes from D.
// Ongaro's thesis, "Consensus: Bridging Theory and Practice" (Stanford 2014).
//
// A Node is a pure state machine without goroutine, socket, file or clock. The
// host passes in messages, proposals and the time, and takes the resulting
// Actions. It makes their ballot and entries durable before it calls Synced and
// sends the messages that depend on them.
//
// Invariants:
//   - a term has at most one leader;
//   - a committed entry is never lost or changed as long as no more than a
//     minority of the disks is lost;
//   - a replica is identified by its disk, so a wiped disk is a new replica: it
//     does not campaign before it has been promoted to voter, and it is never
//     mistaken for the replica whose log and vote were lost;
//   - a leader that has had no replies from a quorum for an election timeout
//     steps down.
package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// The kinds of error that a proposal or a membership change can return. With
// each of them, nothing was appended to the log. ErrFault is the exception: it
// is reported as Actions.Fault.
var (
	// ErrNotLeader means that this replica is not the leader, or is transferring
	// its leadership.
	ErrNotLeader = merry.Sentinel("this keeper is not the leader")
	// ErrNoQuorum means that the leader has lost contact with a majority of voters.
	ErrNoQuorum = merry.Sentinel("no quorum of keepers")
	// ErrBusy means that the uncommitted proposals have reached Limits.PendingBytes.
	ErrBusy = merry.Sentinel("too many proposals wait for a quorum")
	// ErrMembership means that the membership change is invalid or not possible now.
	ErrMembership = merry.Sentinel("membership cannot be changed so")
	// ErrFault means that the log contradicts a committed entry, because some disk
	// has lost data that it had synced.
	ErrFault = merry.Sentinel("replicated log is broken")
)

// ID identifies a replica by its disk. Zero means no replica.
type ID uint64

// Position is the index and term of a log entry. The zero position precedes the
// first entry.
type Position struct {
	Index uint64
	Term  uint64
}

// upToDateWith reports whether a log that ends at p is at least as up-to-date as
// one that ends at other (section 5.4.1 of the paper).
func (p Position) upToDateWith(other Position) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Index >= other.Index
}

// EntryKind is the kind of data that an entry carries.
type EntryKind uint8

// The kinds of entry.
const (
	// Command holds a command of the host's state machine.
	Command EntryKind = iota
	// NoOp holds no data. A new leader appends one, so that it can commit the
	// entries of earlier terms.
	NoOp
	// Membership holds an encoded Group.
	Membership
)

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

func (e Entry) position() Position {
	return Position{Index: e.Index, Term: e.Term}
}

// Ballot is the current term and the vote cast in it. It must be durable before
// the replica acts on it, and must survive restarts.
type Ballot struct {
	Term uint64
	Vote ID
}

// Snapshot is the state that results from the log up to and including its
// position, and replaces those entries.
type Snapshot struct {
	Position
	Group Group
	// State is the encoded state of the host's state machine. The node never
	// interprets it, and omits it from an Install message: the host attaches the
	// state of its latest snapshot when it sends the message.
	State []byte
}

// MessageKind is the kind of a Message.
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

// Message is a request or reply that one replica sends to another.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Position is the entry before Entries in an Append, and the last entry of the
	// candidate's log in a PreVote or Vote. In an AppendReply its index is the
	// highest known to match the leader's log, or, with Reject, the highest that
	// may match.
	Position Position
	// Commit is the leader's commit index.
	Commit uint64
	// Stamp is the time on the leader's clock at which it sent the Append or
	// Install, echoed in the reply. The lease starts when a message was sent, not
	// when its reply arrived.
	Stamp  time.Duration
	Reject bool
	// Transfer marks a Vote request caused by a leadership transfer. Voters grant
	// it in spite of the old leader's lease, which that leader has given up.
	Transfer bool
	Entries  []Entry
	Snapshot *Snapshot
}

// Actions lists what the host has to do, in the order of the fields.
type Actions struct {
	// Early messages may be sent before anything is durable.
	Early []Message
	// Install, if set, replaces the log and the host's state by a snapshot.
	Install *Snapshot
	// Ballot, if set, and Entries are to be made durable. An entry whose index is
	// already in the log replaces that entry and all later ones.
	Ballot  *Ballot
	Entries []Entry
	// Messages may be sent only after the snapshot, ballot and entries have been
	// synced.
	Messages []Message
	// Committed entries are to be applied to the host's state machine.
	Committed []Entry
	// Fault, if set, is an unrecoverable error: the host must stop.
	Fault error
}

// Durable reports whether there is anything to sync.
func (a Actions) Durable() bool {
	return a.Install != nil || a.Ballot != nil || len(a.Entries) > 0
}

// Empty reports whether there is nothing to do. It does not consider Fault.
func (a Actions) Empty() bool {
	return !a.Durable() && len(a.Early) == 0 && len(a.Messages) == 0 && len(a.Committed) == 0
}

// Timing holds the protocol's intervals and timeouts. A zero HeartbeatInterval or
// ElectionTimeout means its default.
type Timing struct {
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact from a leader before a
	// replica campaigns; a random time up to the same length is added. The leader
	// lease derives from it. It must be several heartbeat intervals.
	ElectionTimeout time.Duration
	// RetireAfter is the time without replies from a voter after which the leader
	// removes it, provided that this does not weaken the group. 0 leaves all
	// removals to operators.
	RetireAfter time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeatInterval = 50 * time.Millisecond
	DefaultElectionTimeout   = 300 * time.Millisecond
)

func (t Timing) orDefaults() Timing {
	if t.HeartbeatInterval == 0 {
		t.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if t.ElectionTimeout == 0 {
		t.ElectionTimeout = DefaultElectionTimeout
	}
	return t
}

// Limits bound the node's memory. Zero values mean the defaults.
type Limits struct {
	BatchEntries  int // maximum number of entries in one message
	BatchBytes    int // maximum bytes of entry data in one message that has several entries
	Window        int // maximum number of unacknowledged entries in flight to a follower
	PendingBytes  int // maximum bytes of uncommitted proposals
	TrailingBytes int // bytes of compacted entries that stay in memory for slow followers
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
