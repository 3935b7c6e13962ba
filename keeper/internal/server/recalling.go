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
	// passTime is for how long what routers tell here is told on to a keeper that has not heard
	// it: longer than a poll between keepers takes, however busy they are.
	passTime = 5 * time.Second
	// mostPassed bounds the records that wait to be told on.
	mostPassed = 1 << 18
)

// streams is what a keeper knows of where streams began. A router's records come here and are told
// on, so that each keeper has all of them. Its zero value knows none. It is safe for
// concurrent use.
type streams struct {
	memory versioner.Store

	mutex  sync.Mutex
	direct []arrival // in the order of their arrival
}

// arrival is a record that a router told here.
type arrival struct {
	at     time.Time
	record versioner.Record
}

// take takes what a router or another keeper tells.
func (s *streams) take(now time.Time, request *messenger.FollowRequest) {
	for _, record := range versioner.FromWire(request.GetBegun()) {
		if s.memory.Add(now, record.Stream, record.Origin) && !request.GetKeeper() {
			s.pass(arrival{at: now, record: record})
		}
	}
}

func (s *streams) pass(a arrival) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.direct) >= mostPassed {
		s.direct = s.direct[1:]
	}
	s.direct = append(s.direct, a)
}

// since returns the records that routers told here from a time on, for another keeper.
func (s *streams) since(now, from time.Time) []*messenger.Begun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := 0
	for old < len(s.direct) && now.Sub(s.direct[old].at) > passTime {
		old++
	}
	s.direct = s.direct[old:]
	var records []versioner.Record
	for _, a := range s.direct {
		if !a.at.Before(from) {
			records = append(records, a.record)
		}
	}
	return versioner.ToWire(records)
}

// mostLocated bounds the endpoints that are named to a router that knows none of a version. So many
// bear what one router brings; others are named others.
const mostLocated = 8

// Locate names endpoints of one software version.
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

// locate returns some of the endpoints of a version that take work, others for each router.
func (d *directory) locate(request *messenger.LocateRequest) []lister.Listing {
	d.lock.Lock()
	defer d.lock.Unlock()
	located := d.list.Select(0, func(l *lister.Listing) bool {
		return l.State == lister.Ready && !l.Silent && l.Service == request.GetService() && l.Version == request.GetVersion()
	})
	rank := func(l lister.Listing) uint64 { return xxhash.Sum64String(request.GetNode() + " " + l.ID) }
	slices.SortFunc(located, func(a, b lister.Listing) int { return cmp.Compare(rank(a), rank(b)) })
	return located[:min(len(located), mostLocated)]
}

// Recall tells where a stream began.
func (p planning) Recall(_ context.Context, request *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	if request.GetStream() == 0 {
		return nil, twirp.RequiredArgumentError("stream")
	}
	origin, _ := p.directory.streams.memory.Find(p.clock.Now(), request.GetStream())
	return &messenger.RecallResponse{Service: origin.Service, Version: origin.Version}, nil
}
