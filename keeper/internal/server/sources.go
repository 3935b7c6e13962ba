package server

import (
	"slices"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// sources is which other keeper has told what is known of an endpoint, by the endpoint's id. What
// came from the endpoint itself has none. Its zero value is empty.
//
// Each keeper tells each other one of the endpoints that it hears itself. Told on by all of them,
// each change would be told by each keeper to each. One that does not hear another is told by
// the others what that one tells them, so that a cut between two keepers keeps news from nobody.
type sources map[string]string

// direct notes that an endpoint was heard itself.
func (s sources) direct(id string) {
	delete(s, id)
}

// told notes that a keeper has told a change of an endpoint.
func (s *sources) told(id, keeper string) {
	if *s == nil || len(*s) >= lister.MaxListings {
		*s = make(sources)
	}
	(*s)[id] = keeper
}

// untold returns what a keeper is to be told of what changed behind a revision. What it does not
// hear any more from another one it is told whole, because until now that was left to the other.
func (d *directory) untold(request *messenger.FollowRequest, after uint64) []lister.Listing {
	if known, found := d.followers[request.GetNode()]; found && len(known.missed) > 0 {
		after = 0
	}
	return d.list.Select(after, func(l *lister.Listing) bool {
		source := d.sources[l.ID]
		return source == "" || slices.Contains(request.GetUnheard(), source)
	})
}

// missed returns the keepers that are not heard now and were before.
func missed(before, now []string) []string {
	var missed []string
	for _, keeper := range now {
		if !slices.Contains(before, keeper) {
			missed = append(missed, keeper)
		}
	}
	return missed
}
