package server

import (
	"sync"
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
	now := p.clock.Now()
	if cold, due := p.directory.coldDue(now); due {
		p.directory.divide(p.rationing().parts(cold))
	}
	return p.directory.lease(now, arrived, request.GetNode())
}

// rationing returns what parts rest on now.
func (p planning) rationing() *rationing {
	r := &rationing{services: p.services(), cold: p.settings.Platform.Cold, name: p.settings.Name}
	for _, replica := range p.view.Load().status.Group {
		r.keepers = append(r.keepers, replica.Name)
	}
	return r
}

// rationing is what parts of cold endpoints' rates rest on.
type rationing struct {
	services map[string]resolver.Service
	cold     settings.Cold
	name     string   // this keeper's
	keepers  []string // of the group
}

// pause returns the pause between two requests of this keeper's part of an endpoint, 0 if it
// has none.
func (r *rationing) pause(service string, endpoint uint64) time.Duration {
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

// partsAge is how long the parts that were worked out last hold. After a loss of a zone's power
// thousands of endpoints may be cold: worked out for each poll, they would take a keeper all of
// its time.
const partsAge = 25 * time.Millisecond

// part is this keeper's part of one cold endpoint.
type part struct {
	endpoint uint64        // its key
	pause    time.Duration // between two requests
}

// parts returns this keeper's parts of some endpoints that are cold.
func (r *rationing) parts(cold []lister.Listing) []part {
	var parts []part
	for _, listing := range cold {
		endpoint := balancer.Key(listing)
		if pause := r.pause(listing.Service, endpoint); pause > 0 {
			parts = append(parts, part{endpoint: endpoint, pause: pause})
		}
	}
	return parts
}

// coldDue returns the endpoints that are cold if this keeper's parts of them are to be worked
// out again.
func (d *directory) coldDue(now time.Time) (cold []lister.Listing, due bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if now.Sub(d.divided) < partsAge {
		return nil, false
	}
	d.divided = now
	return d.list.Cold(now), true
}

// divide sets this keeper's parts.
func (d *directory) divide(parts []part) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.parts = parts
}

// lease leases this keeper's parts to a router.
func (d *directory) lease(now, arrived time.Time, router string) []*messenger.Ration {
	d.lock.Lock()
	defer d.lock.Unlock()
	candidates := sync.OnceValue(func() []rationer.Candidate { return d.candidates(now) })
	var rations []*messenger.Ration
	for _, p := range d.parts {
		if !d.lessor.Grant(now, arrived, p.endpoint, router, candidates) {
			continue
		}
		rations = append(rations, &messenger.Ration{
			Endpoint: p.endpoint, PauseMs: uint32((p.pause + time.Millisecond - 1) / time.Millisecond),
			LeaseMs: uint32(rationer.LeaseTerm / time.Millisecond),
		})
	}
	return rations
}

// candidates returns the routers that report here.
func (d *directory) candidates(now time.Time) []rationer.Candidate {
	var candidates []rationer.Candidate
	for name, f := range d.followers {
		if f.keeper || f.report.GetBrief() || now.Sub(f.at) > reportTTL {
			continue
		}
		asked := uint64(0)
		for _, use := range f.report.GetUses() {
			asked += use.GetAsked()
		}
		candidates = append(candidates, rationer.Candidate{Name: name, Demand: float64(asked)})
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
