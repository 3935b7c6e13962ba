package replicator

import "time"

// leaderLeaseHolds reports whether this node is a leader with a valid lease, or
// received a message from a leader less than an election timeout ago. While it
// holds, the node grants no votes, so that a replica that was partitioned cannot
// depose a working leader when it returns (section 4.2.3 of the thesis), and so
// that the leader can rely on its lease.
func (n *Node) leaderLeaseHolds(now time.Time) bool {
	if n.state == Leader {
		return n.HasLease(now)
	}
	return !n.lastContact.IsZero() && now.Sub(n.lastContact) < n.timing.ElectionTimeout
}

// becomeFollower makes the node a follower in the given term, which may be the
// current one, of the given leader, or of none if that is zero.
func (n *Node) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > n.ballot.Term {
		n.ballot = Ballot{Term: term}
	}
	if n.state == Leader {
		n.restartTimer(now)
	}
	n.state = Follower
	n.leader = leader
	n.votesGranted = nil
	n.peers = nil
	n.pendingBytes = 0
	n.transfer = transfer{}
}

// mayCampaign reports whether this replica is a voter in the membership in force
// or in the one before, because the one in force may be uncommitted. A leader
// that has removed itself and lost contact may hold the only copy of that entry:
// if it could not campaign, it would refuse its vote to the other voters, whose
// logs are shorter, and they could never win (section 4.2.2 of the thesis).
func (n *Node) mayCampaign() bool {
	for _, at := range n.groups[max(0, len(n.groups)-2):] {
		if at.group.isVoter(n.id) {
			return true
		}
	}
	return false
}

// preCampaign starts a pre-vote, which finds out whether an election could be won
// and does not change the term. Without it, a replica that cannot receive
// messages would raise its term again and again and depose the leader when it
// returns (section 9.6 of the thesis).
func (n *Node) preCampaign(now time.Time) {
	n.state = PreCandidate
	n.leader = 0
	n.votesGranted = map[ID]bool{n.id: true}
	n.requestVotes(Message{Kind: PreVote, Term: n.ballot.Term + 1, Position: n.journal.last()})
	n.countPreVotes(now)
}

// campaign starts an election in a new term. transferred marks an election that
// the old leader has requested.
func (n *Node) campaign(now time.Time, transferred bool) {
	n.state = Candidate
	n.leader = 0
	n.votesGranted = make(map[ID]bool)
	n.ballot = Ballot{Term: n.ballot.Term + 1, Vote: n.id}
	n.restartTimer(now)
	n.requestVotes(Message{Kind: Vote, Term: n.ballot.Term, Position: n.journal.last(), Transfer: transferred})
}

// requestVotes sends a PreVote or Vote to all other voters.
func (n *Node) requestVotes(message Message) {
	for _, replica := range n.Group() {
		if replica.Role == Voter && replica.ID != n.id {
			message.To = replica.ID
			n.send(message)
		}
	}
}

// handlePreVote replies to a pre-vote request and leaves the node's own term and
// vote unchanged.
func (n *Node) handlePreVote(now time.Time, m Message) {
	granted := m.Term > n.ballot.Term && !n.leaderLeaseHolds(now) && m.Position.upToDateWith(n.journal.last())
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = n.ballot.Term
	}
	n.send(reply)
}

// handlePreVoteReply counts a granted pre-vote, or enters the higher term of a
// rejection.
func (n *Node) handlePreVoteReply(now time.Time, m Message) {
	if m.Reject && m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	if n.state != PreCandidate || m.Reject || m.Term != n.ballot.Term+1 {
		return
	}
	n.votesGranted[m.From] = true
	n.countPreVotes(now)
}

// countPreVotes starts the election once a majority has granted the pre-vote.
func (n *Node) countPreVotes(now time.Time) {
	if n.wonElection() {
		n.campaign(now, false)
	}
}

// handleVote replies to a vote request. It may grant the vote even if this replica
// does not know yet that it has been promoted to voter: the candidate knows, and
// without this vote there might be no majority. The request is addressed to the
// identity of this disk, so a wiped disk never grants a vote in its place.
func (n *Node) handleVote(now time.Time, m Message) {
	if !m.Transfer && n.leaderLeaseHolds(now) {
		return
	}
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
	}
	canVote := n.ballot.Vote == 0 || n.ballot.Vote == m.From
	granted := m.Term == n.ballot.Term && n.state == Follower && canVote && m.Position.upToDateWith(n.journal.last())
	if granted {
		n.ballot.Vote = m.From
		n.restartTimer(now)
	}
	n.send(Message{Kind: VoteReply, To: m.From, Term: n.ballot.Term, Reject: !granted})
}

// handleVoteReply counts a granted vote, or enters the higher term of the reply.
func (n *Node) handleVoteReply(now time.Time, m Message) {
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	if n.state != Candidate || m.Reject || m.Term != n.ballot.Term {
		return
	}
	n.votesGranted[m.From] = true
	n.countVotes(now)
}

// countVotes makes the node leader once a majority of the voters has granted its
// vote and this node's own vote is durable.
func (n *Node) countVotes(now time.Time) {
	if n.wonElection() && n.votesGranted[n.id] {
		n.becomeLeader(now)
	}
}

// wonElection reports whether a majority of the voters has granted its vote or
// pre-vote.
func (n *Node) wonElection() bool {
	count := 0
	for id := range n.votesGranted {
		if n.Group().isVoter(id) {
			count++
		}
	}
	return count >= n.Group().quorum()
}

// handleTimeoutNow starts an election at once, as the current leader requests when
// it transfers its leadership to this replica.
func (n *Node) handleTimeoutNow(now time.Time, m Message) {
	if m.Term == n.ballot.Term && n.state == Follower && m.From == n.leader && n.mayCampaign() {
		n.campaign(now, true)
	}
}
