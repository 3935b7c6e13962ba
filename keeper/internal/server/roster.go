package server

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

// rosterAge is for how long a roster is told again. Hundreds of routers ask for it, and it
// changes when a keeper joins or leaves.
const rosterAge = 100 * time.Millisecond

// isolatedAfter is for how long a keeper has no contact with a quorum before it says so. An
// election takes less.
const isolatedAfter = 2 * time.Second

// roster is the group, as followers are told it. Its zero value is ready.
type roster struct {
	mutex  sync.Mutex
	at     time.Time
	told   []named
	digest uint64
}

// named is a keeper's control address and its zone, empty where that is not known.
type named struct {
	address, zone string
}

// get returns the group and its digest, which changes with any address or zone.
func (r *roster) get(now time.Time, look func() []named) ([]named, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.at.IsZero() || now.Sub(r.at) >= rosterAge {
		r.at, r.told = now, look()
		hash := xxhash.New()
		for _, keeper := range r.told {
			hash.WriteString(keeper.address + " " + keeper.zone + "\n") //nolint:errcheck // a hash takes all
		}
		r.digest = hash.Sum64()
	}
	return r.told, r.digest
}

// nameKeepers lists the group's members, so that a follower that knows one keeper finds all.
// One that has been told the same before is told nothing.
func (p planning) nameKeepers(now time.Time, request *messenger.FollowRequest, response *messenger.FollowResponse) {
	keepers, digest := p.roster.get(now, p.members)
	response.Group = digest
	if request.GetGroup() == digest {
		return
	}
	for _, keeper := range keepers {
		response.Keepers = append(response.Keepers, keeper.address)
		response.Zones = append(response.Zones, keeper.zone)
	}
}

// members returns the group as this keeper knows it.
func (s *Server) members() []named {
	var members []named
	for _, replica := range s.view.Load().status.Known() {
		zone := s.directory.zoneOf(replica.Address)
		if replica.Address == s.settings.Address().String() {
			zone = s.settings.Zone
		}
		members = append(members, named{address: replica.Address, zone: zone})
	}
	slices.SortFunc(members, func(a, b named) int { return strings.Compare(a.address, b.address) })
	return members
}

// isolated tells whether this keeper has had no contact with a quorum for long.
func (s *Server) isolated(now time.Time) bool {
	shown := s.view.Load()
	return !shown.status.Quorum && now.Sub(shown.quorumAt) > isolatedAfter
}
