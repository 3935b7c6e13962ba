package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// peer is what a leader knows of another replica.
type peer struct {
	match uint64 // the last entry that is surely synced there
	next  uint64 // the first entry to send
	// streaming means that entries are sent ahead of their acknowledgement. It
	// is left at the first rejection or silence, when next is only a guess.
	streaming bool
	asked     bool          // a probe is under way; the next one waits for the heartbeat
	stamp     time.Duration // sent at: of the newest message that was answered
	installed time.Time     // until then an installation is under way
	target    uint64        // the index that it leads to
	seen      time.Time     // when the last answer came
}

// leaseShare is the part of the election timeout that the lease lasts. The
// rest allows for clocks that run at slightly different rates.
const (
	leaseShare    = 9
	leaseShareOf  = 10
	installRounds = 20 // an installation may take that many election timeouts
)

func (n *Node) becomeLeader(now time.Time) {
	n.state = Leader
	n.leader = n.id
	n.since = now
	n.granted = nil
	n.transfer = transfer{}
	n.pending = 0
	n.peers = make(map[ID]*peer)
	n.syncPeers()
	// A leader may only commit entries of its own term by counting replicas
	// (section 5.4.2 of the paper), so it needs one at once.
	n.push(Entry{Index: n.journal.last().Index + 1, Term: n.ballot.Term, Kind: Empty})
	n.heartbeat(now)
}

// syncPeers follows the membership in force.
func (n *Node) syncPeers() {
	group := n.Group()
	for id := range n.peers {
		if _, found := group.Find(id); !found {
			delete(n.peers, id)
		}
	}
	for _, replica := range group {
		if _, found := n.peers[replica.ID]; !found && replica.ID != n.id {
			n.peers[replica.ID] = &peer{next: n.journal.last().Index + 1}
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.since) > n.timing.Election && n.quorumHeard(now) > n.timing.Election {
		// Cut off silently: callers must hear of it, and the others will elect.
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	if n.transfer.to != 0 && now.After(n.transfer.deadline) {
		n.abandonTransfer(now)
		return
	}
	if now.Sub(n.beat) >= n.timing.Heartbeat {
		n.heartbeat(now)
	}
	n.manage(now)
}

// quorumHeard returns how long ago the messages were sent that a majority,
// this node included, has answered last.
func (n *Node) quorumHeard(now time.Time) time.Duration {
	since := now.Sub(n.epoch)
	stamp := agreed(n.Group(), func(id ID) time.Duration {
		if id == n.id {
			return since
		}
		if p, found := n.peers[id]; found {
			return p.stamp
		}
		return 0
	}, cmp.Compare)
	return since - stamp
}

// Lease tells whether no other replica can have become leader. Followers vote
// for no one within an election timeout of hearing this leader, and the lease
// counts from when the message was sent that they answered.
func (n *Node) Lease(now time.Time) bool {
	if n.state != Leader || n.transfer.sent {
		return false
	}
	return n.quorumHeard(now) < n.timing.Election*leaseShare/leaseShareOf
}

// Propose appends commands to the log and returns where the first one stands.
// With an error nothing was appended.
func (n *Node) Propose(now time.Time, commands [][]byte) (Position, error) {
	if n.state != Leader {
		return Position{}, merry.Errorf("%w; ask the leader", ErrNotLeader)
	}
	if n.transfer.to != 0 {
		return Position{}, merry.Errorf("%w: it is handing over; ask again", ErrNotLeader)
	}
	fresh := now.Sub(n.since) < n.timing.Election
	if !fresh && !n.Lease(now) {
		return Position{}, merry.Errorf("%w answers; ask again when the network is whole", ErrNoQuorum)
	}
	size := 0
	for _, command := range commands {
		size += len(command) + entryOverhead
	}
	if n.pending > 0 && n.pending+size > n.limits.PendingBytes {
		return Position{}, merry.Errorf("%w; ask again later", ErrBusy)
	}
	n.pending += size
	first := n.journal.last().Index + 1
	for i, command := range commands {
		n.push(Entry{Index: first + uint64(i), Term: n.ballot.Term, Data: command})
	}
	return Position{Index: first, Term: n.ballot.Term}, nil
}

func (n *Node) heartbeat(now time.Time) {
	n.beat = now
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		p.asked = false
		if now.Sub(p.seen) > n.timing.Election {
			p.streaming = false
		}
		n.sendTo(now, id, p, true)
	}
}

// replicate sends to every follower what it has not been sent yet.
func (n *Node) replicate(now time.Time) {
	if n.state != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		for p.streaming && p.next <= n.journal.last().Index && p.next-p.match <= uint64(n.limits.Window) {
			n.sendTo(now, id, p, false)
		}
	}
}

// peerIDs lists the peers in a fixed order, so that a run can be repeated.
func (n *Node) peerIDs() []ID {
	ids := make([]ID, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendTo sends one Append, or an Install if the follower needs entries that
// are no longer in the log.
func (n *Node) sendTo(now time.Time, id ID, p *peer, beat bool) {
	message := Message{Kind: Append, To: id, Term: n.ballot.Term, Stamp: now.Sub(n.epoch)}
	if p.next <= n.journal.base.Index {
		n.sendInstall(now, p, message)
		return
	}
	term, _ := n.journal.term(p.next - 1)
	message.Position = Position{Index: p.next - 1, Term: term}
	message.Commit = n.commit
	switch {
	case p.streaming:
		if p.next-p.match <= uint64(n.limits.Window) {
			message.Entries = n.journal.from(p.next, n.limits.BatchEntries, n.limits.BatchBytes)
			p.next += uint64(len(message.Entries))
		}
	case !beat:
		return
	}
	n.sendEarly(message)
}

// sendInstall starts an installation, or only beats while one is under way:
// position zero matches every log.
func (n *Node) sendInstall(now time.Time, p *peer, message Message) {
	if now.Before(p.installed) {
		n.sendEarly(message)
		return
	}
	p.streaming = false
	p.installed = now.Add(installRounds * n.timing.Election)
	p.target = n.saved.Index
	message.Kind = Install
	message.Snapshot = &Snapshot{Position: n.saved, Group: n.GroupAt(n.saved.Index)}
	n.sendEarly(message)
}

// acknowledged takes a follower's answer.
func (n *Node) acknowledged(now time.Time, m Message) {
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	p, found := n.peers[m.From]
	if n.state != Leader || m.Term != n.ballot.Term || !found {
		return
	}
	p.seen = now
	p.stamp = max(p.stamp, m.Stamp)
	if m.Reject {
		n.rejected(now, m, p)
		return
	}
	if m.Position.Index > p.match {
		p.match = m.Position.Index
		n.advance(now)
	}
	if p.match >= p.target {
		p.installed = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	if !p.streaming && p.next > n.journal.base.Index && m.Position.Index+1 >= p.next {
		p.streaming = true
	}
	n.handOver()
	n.manage(now)
}

// rejected steps back to where the logs may agree, but not behind what the
// follower has acknowledged: its answer skips a whole term, of which it may have
// acknowledged a part.
func (n *Node) rejected(now time.Time, m Message, p *peer) {
	next := max(m.Position.Index, p.match) + 1
	if next >= p.next {
		return
	}
	p.streaming = false
	p.next = next
	if !p.asked {
		p.asked = true
		n.sendTo(now, m.From, p, true)
	}
}

// advance commits what a majority has synced. Entries of earlier terms are
// only committed along with one of the own term.
func (n *Node) advance(now time.Time) {
	reached := agreed(n.Group(), func(id ID) uint64 {
		if id == n.id {
			return n.stable
		}
		if p, found := n.peers[id]; found {
			return p.match
		}
		return 0
	}, cmp.Compare)
	term, known := n.journal.term(reached)
	if reached <= n.commit || !known || term != n.ballot.Term {
		return
	}
	for _, entry := range n.journal.between(n.commit, reached) {
		if entry.Kind == Command && entry.Term == n.ballot.Term {
			n.pending = max(0, n.pending-len(entry.Data)-entryOverhead)
		}
	}
	n.commit = reached
	n.manage(now)
}
