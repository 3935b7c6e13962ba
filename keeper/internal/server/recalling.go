package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

const (
	// relayRetention is how long a record that a router sent to this keeper is kept for relaying
	// to the other keepers: longer than a poll between keepers takes, however busy they are.
	relayRetention = 5 * time.Second
	// maxRelayedRecords bounds the records that are kept for relaying.
	maxRelayedRecords = 1 << 18
)

// streamOrigins holds the origins of streams: the service and software version at which each
// began. Routers send their records to one keeper, which relays them, so that every keeper has
// all of them. Its zero value is empty. It is safe for concurrent use.
type streamOrigins struct {
	memory versioner.Store

	mutex    sync.Mutex
	received []receivedRecord // records for relaying, in order of arrival
}

// receivedRecord is a record that a router sent to this keeper, with its time of arrival.
type receivedRecord struct {
	at     time.Time
	record versioner.Record
}

// receive stores the records of a router or another keeper. Only new records of routers are
// kept for relaying.
func (s *streamOrigins) receive(now time.Time, request *messenger.FollowRequest) {
	for _, record := range versioner.FromWire(request.GetBegun()) {
		if s.memory.Add(now, record.Stream, record.Origin) && !request.GetKeeper() {
			s.enqueue(receivedRecord{at: now, record: record})
		}
	}
}

// enqueue adds a record for relaying, and drops the oldest if there are too many.
func (s *streamOrigins) enqueue(a receivedRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.received) >= maxRelayedRecords {
		s.received = s.received[1:]
	}
	s.received = append(s.received, a)
}

// since returns the records that routers sent to this keeper from a time on, for relaying to
// another keeper, and drops those older than relayRetention.
func (s *streamOrigins) since(now, from time.Time) []*messenger.Begun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	expired := 0
	for expired < len(s.received) && now.Sub(s.received[expired].at) > relayRetention {
		expired++
	}
	s.received = s.received[expired:]
	var records []versioner.Record
	for _, a := range s.received {
		if !a.at.Before(from) {
			records = append(records, a.record)
		}
	}
	return versioner.ToWire(records)
}

// maxLocated bounds the endpoints that are returned to a router that knows none of a version. So
// many have enough capacity for the streams of one router; other routers get other endpoints.
const maxLocated = 8

// Locate returns endpoints of one software version.
func (p planning) Locate(_ context.Context, request *messenger.LocateRequest) (*messenger.LocateResponse, error) {
	if request.GetVersion() == "" {
		return nil, twirp.RequiredArgumentError("version")
	}
	response := &messenger.LocateResponse{}
	for _, listing := range p.directory.locate(request) {
		response.Listings = append(response.Listings, lister.ToWire(listing, p.clock.Now()))
	}
	return response, nil
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

// Recall returns the service and the software version at which a stream began, empty if unknown.
func (p planning) Recall(_ context.Context, request *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	if request.GetStream() == 0 {
		return nil, twirp.RequiredArgumentError("stream")
	}
	origin, _ := p.directory.streamOrigins.memory.Find(p.clock.Now(), request.GetStream())
	return &messenger.RecallResponse{Service: origin.Service, Version: origin.Version}, nil
}
