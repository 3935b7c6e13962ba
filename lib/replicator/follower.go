package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// obey enters the leader's term and restarts the election timer. It returns
// false, and tells the sender, if its term is over.
func (n *Node) obey(now time.Time, m Message) bool {
	if m.Term < n.ballot.Term {
		n.send(Message{Kind: AppendReply, To: m.From, Term: n.ballot.Term, Reject: true})
		return false
	}
	if m.Term > n.ballot.Term || n.state != Follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.heard = now
	n.restartTimer(now)
	return true
}

// follow takes entries from the leader.
func (n *Node) follow(now time.Time, m Message) {
	if !n.obey(now, m) {
		return
	}
	reply := Message{Kind: AppendReply, To: m.From, Term: n.ballot.Term, Stamp: m.Stamp}
	if m.Position.Index >= n.journal.base.Index && !n.journal.matches(m.Position) {
		reply.Reject = true
		reply.Position.Index = n.journal.conflict(m.Position.Index)
		n.send(reply)
		return
	}
	for _, entry := range m.Entries {
		n.take(entry)
	}
	matched := m.Position.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, matched))
	reply.Position.Index = matched
	n.send(reply)
}

// take appends one entry behind a matching log. An entry that conflicts with
// it is dropped with all that follow: it was never committed.
func (n *Node) take(entry Entry) {
	if entry.Index <= n.journal.base.Index || n.journal.matches(entry.position()) {
		return
	}
	if entry.Index <= n.journal.last().Index {
		if entry.Index <= n.commit {
			n.out.Fault = merry.Errorf(
				"%w: entry %d of term %d contradicts a committed one; a disk lost synced data, set its data folder aside and let it join anew",
				ErrFault, entry.Index, entry.Term)
			return
		}
		n.cut(entry.Index)
	}
	n.push(entry)
}

// install replaces the log by a snapshot, unless the log reaches behind it.
func (n *Node) install(now time.Time, m Message) {
	if !n.obey(now, m) {
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
		n.adopt(*m.Snapshot)
		reply.Position.Index = m.Snapshot.Index
	}
	n.send(reply)
}

func (n *Node) adopt(snapshot Snapshot) {
	n.journal.reset(snapshot.Position)
	n.groups = []placed{{index: snapshot.Index, group: snapshot.Group}}
	n.saved = snapshot.Position
	n.commit = snapshot.Index
	n.handed = snapshot.Index
	n.stable = snapshot.Index
	n.out.Entries = nil
	n.out.Install = &snapshot
}
