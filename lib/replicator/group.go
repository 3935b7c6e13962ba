package replicator

import (
	"slices"
)

// Role is the role of a replica in the group.
type Role uint8

// The roles.
const (
	// Voter counts toward the majority in elections and commits.
	Voter Role = iota + 1
	// Joining receives the log as a learner and is promoted to voter once it has
	// caught up.
	Joining
	// Learner receives the log and never becomes a voter.
	Learner
)

// Replica is one member of the group.
type Replica struct {
	ID      ID
	Name    string
	Address string
	Role    Role
}

// Group is the membership as of a log entry. It is never modified in place.
type Group []Replica

// Find returns the member with that ID.
func (g Group) Find(id ID) (Replica, bool) {
	at := slices.IndexFunc(g, func(r Replica) bool { return r.ID == id })
	if at < 0 {
		return Replica{}, false
	}
	return g[at], true
}

// Named returns the members with that name. There are two of them while a wiped
// disk is being replaced.
func (g Group) Named(name string) []Replica {
	var found []Replica
	for _, replica := range g {
		if replica.Name == name {
			found = append(found, replica)
		}
	}
	return found
}

func (g Group) isVoter(id ID) bool {
	replica, found := g.Find(id)
	return found && replica.Role == Voter
}

// Voters returns the members with the role Voter.
func (g Group) Voters() []Replica {
	var voters []Replica
	for _, replica := range g {
		if replica.Role == Voter {
			voters = append(voters, replica)
		}
	}
	return voters
}

// quorum returns the number of voters that form a majority.
func (g Group) quorum() int {
	return len(g.Voters())/2 + 1
}

// with returns a copy of the group in which the replica is added or replaced.
func (g Group) with(replica Replica) Group {
	changed := g.without(replica.ID)
	return append(changed, replica)
}

// without returns a copy of the group without that member.
func (g Group) without(id ID) Group {
	changed := make(Group, 0, len(g)+1)
	for _, replica := range g {
		if replica.ID != id {
			changed = append(changed, replica)
		}
	}
	return changed
}

// quorumValue returns the highest value that a majority of the voters has reached,
// where of returns the value of one voter. Without voters it returns the zero value.
func quorumValue[T any](g Group, of func(ID) T, compare func(a, b T) int) T {
	values := make([]T, 0, len(g))
	for _, replica := range g {
		if replica.Role == Voter {
			values = append(values, of(replica.ID))
		}
	}
	if len(values) == 0 {
		var none T
		return none
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[g.quorum()-1]
}
