package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// acceptLeader enters the term of the leader that sent m and restarts the election
// timer. If that term is stale, it replies with the current term and returns
// false.
func (n *Node) acceptLeader(now time.Time, m Message) bool {
	if m.Term < n.ballot.Term {
		n.send(Message{Kind: AppendReply, To: m.From, Term: n.ballot.Term, Reject: true})
		return false
	}
	if m.Term > n.ballot.Term || n.state != Follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.lastContact = now
	n.restartTimer(now)
	return true
}

// handleAppend appends the leader's entries to the log and advances the commit
// index. It rejects the message if the entry before them does not match the log.
func (n *Node) handleAppend(now time.Time, m Message) {
	if !n.acceptLeader(now, m) {
		return
	}
	n.announced = max(n.announced, m.Commit)
	reply := Message{Kind: AppendReply, To: m.From, Term: n.ballot.Term, Stamp: m.Stamp}
	if m.Position.Index >= n.journal.base.Index && !n.journal.matches(m.Position) {
		reply.Reject = true
		reply.Position.Index = n.journal.conflictHint(m.Position.Index)
		n.send(reply)
		return
	}
	for _, entry := range m.Entries {
		n.acceptEntry(entry)
	}
	matched := m.Position.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, matched))
	reply.Position.Index = matched
	n.send(reply)
}

// acceptEntry appends one entry of the leader, whose predecessor matches the log.
// An uncommitted entry that conflicts with it is dropped with all later entries.
// A conflict with a committed entry is an ErrFault.
func (n *Node) acceptEntry(entry Entry) {
	if entry.Index <= n.journal.base.Index || n.journal.matches(entry.position()) {
		return
	}
	if entry.Index <= n.journal.last().Index {
		if entry.Index <= n.commit {
			n.out.Fault = merry.Errorf(
				"%w: entry %d of term %d contradicts a committed one; a disk lost synced data: set its data folder aside and let it join as a new member",
				ErrFault, entry.Index, entry.Term)
			return
		}
		n.truncateFrom(entry.Index)
	}
	n.appendEntry(entry)
}

// handleInstall replaces the log by the leader's snapshot, unless the log already
// contains everything up to the snapshot's position.
func (n *Node) handleInstall(now time.Time, m Message) {
	if !n.acceptLeader(now, m) {
		return
	}
	reply := Message{Kind: AppendReply, To: m.From, Term: n.ballot.Term, Stamp: m.Stamp}
	switch {
	case m.Snapshot.Index <= n.commit:
		reply.Position.Index = n.commit
	case n.journal.matches(m.Snapshot.Position):
		n.commit = m.Snapshot.Index
		reply.Position.Index = n.commit
	default:
		n.restoreSnapshot(*m.Snapshot)
		reply.Position.Index = m.Snapshot.Index
	}
	n.send(reply)
}

// restoreSnapshot resets the log to a snapshot, which the next Actions install.
func (n *Node) restoreSnapshot(snapshot Snapshot) {
	n.journal.reset(snapshot.Position)
	n.groups = []indexedGroup{{index: snapshot.Index, group: snapshot.Group}}
	n.snapshotPosition = snapshot.Position
	n.commit = snapshot.Index
	n.delivered = snapshot.Index
	n.stable = snapshot.Index
	n.out.Entries = nil
	n.out.Install = &snapshot
}
