package replicator

import "time"

// leased tells whether this node owes its loyalty to a leader that it heard
// less than an election timeout ago. It then helps no one to a higher term, so
// that a replica which was cut off cannot depose a working leader when it
// comes back (section 4.2.3 of the thesis), and so that the lease holds.
func (n *Node) leased(now time.Time) bool {
	if n.state == Leader {
		return n.Lease(now)
	}
	return !n.heard.IsZero() && now.Sub(n.heard) < n.timing.Election
}

// becomeFollower enters a term, or stays in it, behind a leader if one is known.
func (n *Node) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > n.ballot.Term {
		n.ballot = Ballot{Term: term}
	}
	if n.state == Leader {
		n.restartTimer(now)
	}
	n.state = Follower
	n.leader = leader
	n.granted = nil
	n.peers = nil
	n.pending = 0
	n.transfer = transfer{}
}

// mayCampaign tells whether this replica is a voter, or was one in the
// membership before, because the last one may not be committed. A leader that
// has removed itself and lost contact may hold the only copy of that entry:
// without its candidacy the others, whose logs are shorter, could never win
// against its refusal (section 4.2.2 of the thesis).
func (n *Node) mayCampaign() bool {
	for _, at := range n.groups[max(0, len(n.groups)-2):] {
		if at.group.votes(n.id) {
			return true
		}
	}
	return false
}

// preCampaign asks whether an election could be won, without a new term: a
// replica behind a one-way cut would otherwise raise its term for ever and
// depose the leader at its return (section 9.6 of the thesis).
func (n *Node) preCampaign(now time.Time) {
	n.state = PreCandidate
	n.leader = 0
	n.granted = map[ID]bool{n.id: true}
	n.ask(Message{Kind: PreVote, Term: n.ballot.Term + 1, Position: n.journal.last()})
	n.countPreVotes(now)
}

// campaign starts an election in a new term.
func (n *Node) campaign(now time.Time, transferred bool) {
	n.state = Candidate
	n.leader = 0
	n.granted = make(map[ID]bool)
	n.ballot = Ballot{Term: n.ballot.Term + 1, Vote: n.id}
	n.restartTimer(now)
	n.ask(Message{Kind: Vote, Term: n.ballot.Term, Position: n.journal.last(), Transfer: transferred})
}

func (n *Node) ask(message Message) {
	for _, replica := range n.Group() {
		if replica.Role == Voter && replica.ID != n.id {
			message.To = replica.ID
			n.send(message)
		}
	}
}

func (n *Node) answerPreVote(now time.Time, m Message) {
	granted := m.Term > n.ballot.Term && !n.leased(now) && m.Position.newer(n.journal.last())
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = n.ballot.Term
	}
	n.send(reply)
}

func (n *Node) countPreVote(now time.Time, m Message) {
	if m.Reject && m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	if n.state != PreCandidate || m.Reject || m.Term != n.ballot.Term+1 {
		return
	}
	n.granted[m.From] = true
	n.countPreVotes(now)
}

func (n *Node) countPreVotes(now time.Time) {
	if n.won() {
		n.campaign(now, false)
	}
}

// answerVote also answers when this replica does not know yet that it has been
// promoted: the candidate knows, and without this vote there might be no
// majority. The vote was addressed to this very disk, so a wiped one never
// gives it.
func (n *Node) answerVote(now time.Time, m Message) {
	if !m.Transfer && n.leased(now) {
		return
	}
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
	}
	free := n.ballot.Vote == 0 || n.ballot.Vote == m.From
	granted := m.Term == n.ballot.Term && n.state == Follower && free && m.Position.newer(n.journal.last())
	if granted {
		n.ballot.Vote = m.From
		n.restartTimer(now)
	}
	n.send(Message{Kind: VoteReply, To: m.From, Term: n.ballot.Term, Reject: !granted})
}

func (n *Node) countVote(now time.Time, m Message) {
	if m.Term > n.ballot.Term {
		n.becomeFollower(now, m.Term, 0)
		return
	}
	if n.state != Candidate || m.Reject || m.Term != n.ballot.Term {
		return
	}
	n.granted[m.From] = true
	n.countVotes(now)
}

// countVotes makes the node leader once a majority, itself included, has
// synced its vote.
func (n *Node) countVotes(now time.Time) {
	if n.won() && n.granted[n.id] {
		n.becomeLeader(now)
	}
}

func (n *Node) won() bool {
	count := 0
	for id := range n.granted {
		if n.Group().votes(id) {
			count++
		}
	}
	return count >= n.Group().quorum()
}

// takeOver starts an election at the leader's wish.
func (n *Node) takeOver(now time.Time, m Message) {
	if m.Term == n.ballot.Term && n.state == Follower && m.From == n.leader && n.mayCampaign() {
		n.campaign(now, true)
	}
}
