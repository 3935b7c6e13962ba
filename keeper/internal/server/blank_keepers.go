package server

import (
	"context"
	"slices"
	"time"

	"shallotkeel.example/lib/replicator"
)

// blankKeepers holds the keepers that the settings do not list and that reported an empty disk
// in their last answer, by control address.
type blankKeepers map[string]blankKeeper

// blankKeeper identifies the disk of a blank keeper and the time of its first blank answer.
type blankKeeper struct {
	disk       uint64
	blankSince time.Time
}

// observe records the answers of blank keepers, and returns the answers of those that have
// been blank with the same disk for at least the minimum duration. A keeper that does not
// answer starts anew.
func (b *blankKeepers) observe(now time.Time, answers []peerStatus, minBlank time.Duration) []peerStatus {
	before := *b
	*b = make(blankKeepers)
	var blank []peerStatus
	for _, a := range answers {
		known, found := before[a.address]
		if !found || known.disk != a.GetDisk() {
			known = blankKeeper{disk: a.GetDisk(), blankSince: now}
		}
		(*b)[a.address] = known
		if now.Sub(known.blankSince) >= minBlank {
			blank = append(blank, a)
		}
	}
	return blank
}

// queryUnlistedFollowers returns the status of the keepers that follow this one and that the
// settings do not list. Only the keeper that founds the group needs them: a founding member
// need not join by membership changes, which are made one after the other, while all routers
// of the fleet poll the few first members.
func (s *Server) queryUnlistedFollowers(ctx context.Context) []peerStatus {
	if !s.isFounder() || len(s.settings.Seeds) == 0 {
		return nil
	}
	listed := s.peerAddresses()
	unlisted := slices.DeleteFunc(s.directory.followingKeepers(), func(address string) bool {
		return slices.Contains(listed, address) || address == s.settings.Address().String()
	})
	return s.queryStatuses(ctx, unlisted[:min(len(unlisted), replicator.MaxReplicas-len(listed)-1)])
}
