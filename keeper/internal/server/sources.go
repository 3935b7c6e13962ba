package server

import (
	"slices"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// sources maps the id of an endpoint to the keeper that sent the current listing. Listings from
// the endpoint itself have no entry. Its zero value is empty.
//
// Each keeper sends every other keeper only the listings that it got from the endpoints themselves.
// If keepers relayed all listings, every keeper would send each change to every other. A keeper
// that cannot reach a peer gets that peer's listings from the other keepers, so that updates arrive
// everywhere despite a partition between two keepers.
type sources map[string]string

// recordDirect records that the endpoint itself sent the current listing.
func (s sources) recordDirect(id string) {
	delete(s, id)
}

// recordKeeper records that another keeper sent the current listing of an endpoint.
func (s *sources) recordKeeper(id, keeper string) {
	if *s == nil || len(*s) >= lister.MaxListings {
		*s = make(sources)
	}
	(*s)[id] = keeper
}

// pendingForKeeper returns the listings that changed after a revision and that a keeper gets from
// this one. If the keeper lost contact with a peer since its last poll, it gets all listings
// regardless of the revision, because earlier changes were left to that peer.
func (d *directory) pendingForKeeper(request *messenger.FollowRequest, after uint64) []lister.Listing {
	if known, found := d.followers[request.GetNode()]; found && len(known.newlyUnreachable) > 0 {
		after = 0
	}
	return d.list.Select(after, func(l *lister.Listing) bool {
		source := d.sources[l.ID]
		return source == "" || slices.Contains(request.GetUnheard(), source)
	})
}

// newlyUnreachable returns the keepers that are in the list of unreachable keepers now and were
// not before.
func newlyUnreachable(before, now []string) []string {
	var added []string
	for _, keeper := range now {
		if !slices.Contains(before, keeper) {
			added = append(added, keeper)
		}
	}
	return added
}
