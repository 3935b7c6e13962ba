package server

import (
	"time"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/rationer"
	"shallotkeel.example/lib/resolver"
)

// coldest bounds until when an endpoint says that it is cold by what its service needs to get
// warm. Any process may send heartbeats, and a day of few requests is soon asked for.
func coldest(now, until time.Time, service resolver.Service) time.Time {
	if service.Cold.Rate <= 0 {
		return time.Time{}
	}
	if most := now.Add(service.Cold.Length); until.After(most) {
		return most
	}
	return until
}

// rations returns which cold endpoints a router that reports here may send to. Arrived is
// when its poll came.
func (p planning) rations(arrived time.Time, request *messenger.FollowRequest) []*messenger.Ration {
	if request.GetBrief() || request.GetKeeper() || p.settings.Platform == nil {
		return nil
	}
	cold := p.directory.cold(p.clock.Now())
	if len(cold) == 0 {
		return nil
	}
	r := rationing{services: p.services(), cold: p.settings.Platform.Cold, name: p.settings.Name}
	for _, replica := range p.view.Load().status.Group {
		r.keepers = append(r.keepers, replica.Name)
	}
	return p.directory.rations(p.clock.Now(), arrived, request.GetNode(), cold, r)
}

// rationing is what parts of cold endpoints' rates rest on.
type rationing struct {
	services map[string]resolver.Service
	cold     settings.Cold
	name     string   // this keeper's
	keepers  []string // of the group
}

// part returns the pause between two requests of this keeper's part of an endpoint, 0 if it
// has none.
func (r *rationing) part(service string, endpoint uint64) time.Duration {
	rate := r.services[service].Cold.Rate
	if rate <= 0 {
		return 0
	}
	limit := rationer.Limit{Rate: rate, Overage: r.cold.Overage, Slack: r.cold.Slack}
	count, pause := limit.Parts(len(r.keepers))
	if !rationer.Owns(r.name, r.keepers, endpoint, count) {
		return 0
	}
	return pause
}

// cold returns the endpoints that are cold.
func (d *directory) cold(now time.Time) []lister.Listing {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.list.Cold(now)
}

// rations leases this keeper's parts of cold endpoints to a router.
func (d *directory) rations(now, arrived time.Time, router string, cold []lister.Listing, r rationing) []*messenger.Ration {
	d.lock.Lock()
	defer d.lock.Unlock()
	var rations []*messenger.Ration
	for _, listing := range cold {
		endpoint := balancer.Key(listing)
		pause := r.part(listing.Service, endpoint)
		if pause == 0 || !d.lessor.Grant(now, arrived, endpoint, router, func() []rationer.Candidate { return d.candidates(now) }) {
			continue
		}
		rations = append(rations, &messenger.Ration{
			Endpoint: endpoint, PauseMs: uint32((pause + time.Millisecond - 1) / time.Millisecond),
			LeaseMs: uint32(rationer.Term / time.Millisecond),
		})
	}
	return rations
}

// candidates returns the routers that report here.
func (d *directory) candidates(now time.Time) []rationer.Candidate {
	var candidates []rationer.Candidate
	for name, f := range d.followers {
		if f.keeper || f.report.GetBrief() || now.Sub(f.at) > reportMemory {
			continue
		}
		asked := uint64(0)
		for _, use := range f.report.GetUses() {
			asked += use.GetAsked()
		}
		candidates = append(candidates, rationer.Candidate{Name: name, Asked: float64(asked)})
	}
	return candidates
}

// chill takes the endpoints of a zone to be cold.
func (d *directory) chill(now time.Time, zone string, lengths func(service string) time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.list.Chill(now, zone, lengths)
}

// inZone tells whether an endpoint of a zone is listed.
func (d *directory) inZone(zone string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.list.InZone(zone)
}
