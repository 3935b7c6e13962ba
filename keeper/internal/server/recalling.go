package server

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

// maxRelayedRecords bounds the records that are kept for relaying.
const maxRelayedRecords = 1 << 18

// streamOrigins holds the origins of streams: the service and software version at which each
// began. Routers send their records to one keeper, which relays them, so that every keeper has
// all of them. They are in memory only: if all keepers that have a record end, it is lost. Its zero value is
// empty. It is safe for concurrent use.
type streamOrigins struct {
	memory   versioner.Store
	received relayQueue[versioner.Record]
}

// receive stores the records of a router or another keeper. Only new records of routers are
// kept for relaying.
func (s *streamOrigins) receive(now time.Time, request *messenger.FollowRequest) {
	for _, record := range versioner.FromWire(request.GetBegun()) {
		if s.memory.Add(now, record.Stream, record.Origin) && !request.GetKeeper() {
			s.received.add(now, maxRelayedRecords, record)
		}
	}
}

// since returns the records that routers sent to this keeper from a time on, for relaying to
// another keeper.
func (s *streamOrigins) since(now, from time.Time) []*messenger.Begun {
	return versioner.ToWire(s.received.since(now, from))
}

// Begin records the origins of streams at once, as a report does with the next poll.
func (p planning) Begin(_ context.Context, request *messenger.BeginRequest) (*messenger.BeginResponse, error) {
	p.directory.streamOrigins.receive(p.clock.Now(), &messenger.FollowRequest{Begun: request.GetBegun()})
	return &messenger.BeginResponse{}, nil
}

// mixedServices tells which services have endpoints of several software versions. Routers have the
// origins of their streams confirmed. Its zero value has none.
type mixedServices struct {
	versions map[string]string // of each service, as last observed
	mixed    map[string]bool
}

// observe adds the version of an endpoint.
func (m *mixedServices) observe(listing lister.Listing) {
	if listing.Service == "" {
		return
	}
	if m.versions == nil {
		m.versions, m.mixed = make(map[string]string), make(map[string]bool)
	}
	version, found := m.versions[listing.Service]
	if found && version != listing.Version {
		m.mixed[listing.Service] = true
	}
	m.versions[listing.Service] = listing.Version
}

// names returns the sorted names of the services.
func (m *mixedServices) names() []string {
	return slices.Sorted(maps.Keys(m.mixed))
}

// survey finds out again which services have several versions, and returns the number of ready endpoints of each
// service. Endpoints that are gone count for the versions until they are dropped: streams that began at them may still be
// resumed.
func (d *directory) survey() (ready map[string]int) {
	d.mixed, ready = mixedServices{}, make(map[string]int)
	d.list.Each(func(listing *lister.Listing) {
		d.mixed.observe(*listing)
		if listing.State == lister.Ready {
			ready[listing.Service]++
		}
	})
	return ready
}

// maxLocated bounds the endpoints that are returned to a router that knows none of a version. So
// many have enough capacity for the streams of one router; other routers get other endpoints.
const maxLocated = 8

// Locate returns endpoints of one software version.
func (p planning) Locate(_ context.Context, request *messenger.LocateRequest) (*messenger.LocateResponse, error) {
	if request.GetVersion() == "" {
		return nil, twirp.RequiredArgumentError("version")
	}
	return &messenger.LocateResponse{Listings: lister.EncodableToWire(p.directory.locate(request), p.clock.Now())}, nil
}

// locate returns up to maxLocated ready endpoints of a version. The selection is stable for a
// router and differs between routers.
func (d *directory) locate(request *messenger.LocateRequest) []lister.Listing {
	d.lock.Lock()
	defer d.lock.Unlock()
	located := d.list.Select(0, func(l *lister.Listing) bool {
		return l.State == lister.Ready && !l.Silent && l.Service == request.GetService() && l.Version == request.GetVersion()
	})
	rank := func(l lister.Listing) uint64 { return xxhash.Sum64String(request.GetNode() + " " + l.ID) }
	slices.SortFunc(located, func(a, b lister.Listing) int { return cmp.Compare(rank(a), rank(b)) })
	return located[:min(len(located), maxLocated)]
}

// Recall returns the service and the software version at which a stream began, empty if unknown, and
// whether the stream is recorded.
func (p planning) Recall(_ context.Context, request *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	if request.GetStream() == 0 {
		return nil, twirp.RequiredArgumentError("stream")
	}
	origin, recorded := p.directory.streamOrigins.memory.Find(p.clock.Now(), request.GetStream())
	return &messenger.RecallResponse{Service: origin.Service, Version: origin.Version, Recorded: recorded}, nil
}
