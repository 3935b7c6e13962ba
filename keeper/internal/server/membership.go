package server

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

// membershipCacheTTL is how long a cached list of members is reused. Hundreds of routers request
// the list, and it only changes when a keeper joins or leaves.
const membershipCacheTTL = 100 * time.Millisecond

// isolatedAfter is the time without contact with a quorum after which a keeper reports itself
// as isolated. It is longer than an election, so that an election does not isolate the group.
const isolatedAfter = 2 * time.Second

// membershipCache caches the members of the group, as sent to followers. Its zero value is an
// empty cache.
type membershipCache struct {
	mutex     sync.Mutex
	updatedAt time.Time
	members   []member
	digest    uint64 // hash of members
}

// member is the control address of a keeper and its zone, which is empty if it is not known.
type member struct {
	address, zone string
}

// get returns the members and their digest, which changes with any address or zone. It calls
// list if the cached members have expired.
func (c *membershipCache) get(now time.Time, list func() []member) ([]member, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.updatedAt.IsZero() || now.Sub(c.updatedAt) >= membershipCacheTTL {
		c.updatedAt, c.members = now, list()
		hash := xxhash.New()
		for _, keeper := range c.members {
			hash.WriteString(keeper.address + " " + keeper.zone + "\n") //nolint:errcheck // writing to a hash never fails
		}
		c.digest = hash.Sum64()
	}
	return c.members, c.digest
}

// addMembers adds the group's members to a response, so that a follower that knows one keeper
// finds all. It omits them if the digest in the request shows that the follower has them.
func (p planning) addMembers(now time.Time, request *messenger.FollowRequest, response *messenger.FollowResponse) {
	keepers, digest := p.membership.get(now, p.members)
	response.Group = digest
	if request.GetGroup() == digest {
		return
	}
	for _, keeper := range keepers {
		response.Keepers = append(response.Keepers, keeper.address)
		response.Zones = append(response.Zones, keeper.zone)
	}
}

// members returns the group's members known to this keeper, sorted by address.
func (s *Server) members() []member {
	var members []member
	for _, replica := range s.view.Load().status.KnownMembers() {
		zone := s.directory.zoneOf(replica.Address)
		if replica.Address == s.settings.Address().String() {
			zone = s.settings.Zone
		}
		members = append(members, member{address: replica.Address, zone: zone})
	}
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.address, b.address) })
	return members
}

// isolated reports whether this keeper has been without a quorum for longer than isolatedAfter.
func (s *Server) isolated(now time.Time) bool {
	current := s.view.Load()
	return !current.status.Quorum && now.Sub(current.lastQuorum) > isolatedAfter
}
