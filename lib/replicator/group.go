package replicator

import (
	"slices"
)

// Role says what part a replica has in the group.
type Role uint8

// The roles.
const (
	// Voter counts for elections and commits.
	Voter Role = iota + 1
	// Joining receives the log and is promoted to voter once it has caught up.
	Joining
	// Learner receives the log and stays without a vote.
	Learner
)

// Replica is one member of the group.
type Replica struct {
	ID      ID
	Name    string
	Address string
	Role    Role
}

// Group is the members as of an entry of the log. It is never changed in place.
type Group []Replica

// Find returns the member with that identity.
func (g Group) Find(id ID) (Replica, bool) {
	at := slices.IndexFunc(g, func(r Replica) bool { return r.ID == id })
	if at < 0 {
		return Replica{}, false
	}
	return g[at], true
}

// Named returns the members of that name: two while a wiped disk is replaced.
func (g Group) Named(name string) []Replica {
	var found []Replica
	for _, replica := range g {
		if replica.Name == name {
			found = append(found, replica)
		}
	}
	return found
}

func (g Group) votes(id ID) bool {
	replica, found := g.Find(id)
	return found && replica.Role == Voter
}

// Voters returns the members that vote.
func (g Group) Voters() []Replica {
	var voters []Replica
	for _, replica := range g {
		if replica.Role == Voter {
			voters = append(voters, replica)
		}
	}
	return voters
}

// quorum is the least number of voters that is a majority.
func (g Group) quorum() int {
	return len(g.Voters())/2 + 1
}

// with returns a group in which the replica is set.
func (g Group) with(replica Replica) Group {
	changed := g.without(replica.ID)
	return append(changed, replica)
}

// without returns a group without that member.
func (g Group) without(id ID) Group {
	changed := make(Group, 0, len(g)+1)
	for _, replica := range g {
		if replica.ID != id {
			changed = append(changed, replica)
		}
	}
	return changed
}

// agreed returns the highest value that a majority of the voters has reached.
func agreed[T any](g Group, of func(ID) T, compare func(a, b T) int) T {
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
