package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// peer is the replication progress of another replica, as tracked by the leader.
type peer struct {
	match uint64 // index of the last entry known to be synced on the peer
	next  uint64 // index of the next entry to send
	// streaming means that entries are pipelined ahead of their acknowledgement.
	// It ends with a rejection, a snapshot transfer or an election timeout without
	// reply, when next is only a guess, and resumes once a reply confirms it.
	streaming       bool
	probing         bool          // a probe is in flight; the next is sent with a heartbeat
	ackedStamp      time.Duration // Stamp of the latest message that the peer has answered
	installDeadline time.Time     // end of the snapshot transfer in progress; zero if there is none
	installIndex    uint64        // index of the snapshot being transferred
	lastReply       time.Time     // when the last reply arrived
}

// The lease lasts leaseNumerator/leaseDenominator of the election timeout. The
// remainder allows for clocks that run at slightly different rates.
const (
	leaseNumerator          = 9
	leaseDenominator        = 10
	installElectionTimeouts = 20 // timeout of a snapshot transfer, in election timeouts
)

// becomeLeader starts this node's leadership of the current term.
func (n *Node) becomeLeader(now time.Time) {
	n.state = Leader
	n.leader = n.id
	n.leaderSince = now
	n.votesGranted = nil
	n.transfer = transfer{}
	n.pendingBytes = 0
	n.peers = make(map[ID]*peer)
	n.syncPeers()
	// A leader may commit only entries of its own term by counting replicas
	// (section 5.4.2 of the paper), so it appends one at once.
	n.appendEntry(Entry{Index: n.journal.last().Index + 1, Term: n.ballot.Term, Kind: NoOp})
	n.sendHeartbeats(now)
}

// syncPeers adds and removes peers to match the membership in force.
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

// tickLeader processes the leader's timers.
func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.leaderSince) > n.timing.ElectionTimeout && n.quorumContactAge(now) > n.timing.ElectionTimeout {
		// This leader has lost contact with a majority. It steps down, so that
		// callers get an error, while the other voters elect a new leader.
		n.becomeFollower(now, n.ballot.Term, 0)
		return
	}
	if n.transfer.target != 0 && now.After(n.transfer.deadline) {
		n.abandonTransfer(now)
		return
	}
	if now.Sub(n.lastHeartbeat) >= n.timing.HeartbeatInterval {
		n.sendHeartbeats(now)
	}
	n.manageMembership(now)
}

// quorumContactAge returns the time since this leader sent the latest message
// that a majority of the voters, including itself, has answered.
func (n *Node) quorumContactAge(now time.Time) time.Duration {
	since := now.Sub(n.epoch)
	stamp := quorumValue(n.Group(), func(id ID) time.Duration {
		if id == n.id {
			return since
		}
		if p, found := n.peers[id]; found {
			return p.ackedStamp
		}
		return 0
	}, cmp.Compare)
	return since - stamp
}

// HasLease reports whether this node is the leader and no other replica can have
// become leader. Followers grant no vote within an election timeout after a
// message from this leader, and the lease starts when the message that a majority
// answered was sent.
func (n *Node) HasLease(now time.Time) bool {
	if n.state != Leader || n.transfer.sent {
		return false
	}
	return n.quorumContactAge(now) < n.timing.ElectionTimeout*leaseNumerator/leaseDenominator
}

// Propose appends commands to the log and returns the position of the first one.
// Its errors are ErrNotLeader, ErrNoQuorum and ErrBusy; with each of them nothing
// was appended.
func (n *Node) Propose(now time.Time, commands [][]byte) (Position, error) {
	if n.state != Leader {
		return Position{}, merry.Errorf("%w; ask the leader", ErrNotLeader)
	}
	if n.transfer.target != 0 {
		return Position{}, merry.Errorf("%w: it is handing over; ask again", ErrNotLeader)
	}
	fresh := now.Sub(n.leaderSince) < n.timing.ElectionTimeout
	if !fresh && !n.HasLease(now) {
		return Position{}, merry.Errorf("%w answers; ask again when the network is whole", ErrNoQuorum)
	}
	size := 0
	for _, command := range commands {
		size += len(command) + entryOverhead
	}
	if n.pendingBytes > 0 && n.pendingBytes+size > n.limits.PendingBytes {
		return Position{}, merry.Errorf("%w; ask again later", ErrBusy)
	}
	n.pendingBytes += size
	first := n.journal.last().Index + 1
	for i, command := range commands {
		n.appendEntry(Entry{Index: first + uint64(i), Term: n.ballot.Term, Data: command})
	}
	return Position{Index: first, Term: n.ballot.Term}, nil
}

// sendHeartbeats sends a message to every peer. It also allows the next probe, and
// stops streaming to peers that have not replied for an election timeout.
func (n *Node) sendHeartbeats(now time.Time) {
	n.lastHeartbeat = now
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		p.probing = false
		if now.Sub(p.lastReply) > n.timing.ElectionTimeout {
			p.streaming = false
		}
		n.sendAppend(now, id, p, true)
	}
}

// replicate sends the entries that have not been sent yet to every peer in
// streaming mode, up to its window.
func (n *Node) replicate(now time.Time) {
	if n.state != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		for p.streaming && p.next <= n.journal.last().Index && p.next-p.match <= uint64(n.limits.Window) {
			n.sendAppend(now, id, p, false)
		}
	}
}

// peerIDs returns the peers in a fixed order, so that runs are reproducible.
func (n *Node) peerIDs() []ID {
	ids := make([]ID, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendAppend sends one Append, or an Install if the follower needs entries that
// are no longer in memory. To a peer that is not streaming, it sends an Append
// without entries, and only if heartbeat is true.
func (n *Node) sendAppend(now time.Time, id ID, p *peer, heartbeat bool) {
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
			message.Entries = n.journal.entriesFrom(p.next, n.limits.BatchEntries, n.limits.BatchBytes)
			p.next += uint64(len(message.Entries))
		}
	case !heartbeat:
		return
	}
	n.sendEarly(message)
}

// sendInstall starts a snapshot transfer. While one is in progress it sends only a
// heartbeat, whose position zero matches every log.
func (n *Node) sendInstall(now time.Time, p *peer, message Message) {
	if now.Before(p.installDeadline) {
		n.sendEarly(message)
		return
	}
	p.streaming = false
	p.installDeadline = now.Add(installElectionTimeouts * n.timing.ElectionTimeout)
	p.installIndex = n.snapshotPosition.Index
	message.Kind = Install
	message.Snapshot = &Snapshot{Position: n.snapshotPosition, Group: n.GroupAt(n.snapshotPosition.Index)}
	n.sendEarly(message)
}

// handleAppendReply updates the progress of a peer from its reply to an Append or
// Install, and advances the commit index.
func (n *Node) handleAppendReply(now time.Time, m Message) {
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	p, found := n.peers[m.From]
	if n.state != Leader || m.Term != n.ballot.Term || !found {
		return
	}
	p.lastReply = now
	p.ackedStamp = max(p.ackedStamp, m.Stamp)
	if m.Reject {
		n.handleRejection(now, m, p)
		return
	}
	if m.Position.Index > p.match {
		p.match = m.Position.Index
		n.advanceCommit(now)
	}
	if p.match >= p.installIndex {
		p.installDeadline = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	if !p.streaming && p.next > n.journal.base.Index && m.Position.Index+1 >= p.next {
		p.streaming = true
	}
	n.sendTimeoutNow()
	n.manageMembership(now)
}

// handleRejection moves next back to the entry after the last one that may match,
// but not before the entries that the follower has acknowledged: the hint in the
// reply skips a whole term, of which the follower may have acknowledged a part.
func (n *Node) handleRejection(now time.Time, m Message, p *peer) {
	next := max(m.Position.Index, p.match) + 1
	if next >= p.next {
		return
	}
	p.streaming = false
	p.next = next
	if !p.probing {
		p.probing = true
		n.sendAppend(now, m.From, p, true)
	}
}

// advanceCommit advances the commit index to the last entry that a majority of the
// voters has synced. Entries of earlier terms are committed only along with an
// entry of the current term.
func (n *Node) advanceCommit(now time.Time) {
	reached := quorumValue(n.Group(), func(id ID) uint64 {
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
	for _, entry := range n.journal.entriesBetween(n.commit, reached) {
		if entry.Kind == Command && entry.Term == n.ballot.Term {
			n.pendingBytes = max(0, n.pendingBytes-len(entry.Data)-entryOverhead)
		}
	}
	n.commit = reached
	n.manageMembership(now)
}
