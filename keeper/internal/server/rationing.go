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

// boundColdUntil bounds the time until which an endpoint claims to be cold by the configured cold
// start time of its service. Any process may send heartbeats, and an unbounded claim could limit
// the requests to an endpoint for a day.
func boundColdUntil(now, until time.Time, service resolver.Service) time.Time {
	if service.Cold.Rate <= 0 {
		return time.Time{}
	}
	if latest := now.Add(service.Cold.Length); until.After(latest) {
		return latest
	}
	return until
}

// rations returns the cold endpoints that a router that reports to this keeper may send to.
// arrived is the time at which its poll arrived.
func (p planning) rations(arrived time.Time, request *messenger.FollowRequest) []*messenger.Ration {
	if request.GetBrief() || request.GetKeeper() || p.settings.Platform == nil {
		return nil
	}
	now := p.clock.Now()
	if cold, expired := p.directory.coldIfPartsExpired(now); expired {
		p.directory.setParts(p.rationInputs().parts(cold))
	}
	return p.directory.leaseParts(now, arrived, request.GetNode())
}

// rationInputs returns the current inputs for computing this keeper's parts.
func (p planning) rationInputs() *rationInputs {
	r := &rationInputs{services: p.services(), cold: p.settings.Platform.Cold, name: p.settings.Name}
	for _, replica := range p.view.Load().status.Group {
		r.keepers = append(r.keepers, replica.Name)
	}
	return r
}

// rationInputs determines how the request rates of cold endpoints are divided among keepers.
type rationInputs struct {
	services map[string]resolver.Service
	cold     settings.Cold
	name     string   // this keeper's name
	keepers  []string // names of the group's members
}

// pause returns the pause between two requests to an endpoint under this keeper's part of its
// rate, 0 if this keeper has no part of it.
func (r *rationInputs) pause(service string, endpoint uint64) time.Duration {
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

// partsCacheAge is how long computed parts stay valid. After a power loss of a zone thousands of
// endpoints may be cold, and computing the parts for each poll would use all of a keeper's
// processor time.
const partsCacheAge = 25 * time.Millisecond

// part is this keeper's part of one cold endpoint's request rate.
type part struct {
	endpoint uint64        // balancer.Key of the endpoint
	pause    time.Duration // between two requests
}

// parts returns this keeper's parts of cold endpoints.
func (r *rationInputs) parts(cold []lister.Listing) []part {
	var parts []part
	for _, listing := range cold {
		endpoint := balancer.Key(listing)
		if pause := r.pause(listing.Service, endpoint); pause > 0 {
			parts = append(parts, part{endpoint: endpoint, pause: pause})
		}
	}
	return parts
}

// coldIfPartsExpired returns the cold endpoints if this keeper's parts of them have expired and
// must be computed again.
func (d *directory) coldIfPartsExpired(now time.Time) (cold []lister.Listing, expired bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if now.Sub(d.partsAt) < partsCacheAge {
		return nil, false
	}
	d.partsAt = now
	return d.list.Cold(now), true
}

// setParts replaces this keeper's parts.
func (d *directory) setParts(parts []part) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.parts = parts
}

// leaseParts returns the parts that are leased to a router, including those that it is granted now.
func (d *directory) leaseParts(now, arrived time.Time, router string) []*messenger.Ration {
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

// candidates returns the routers that report to this keeper, with the tokens per second that
// their workspaces ask for.
func (d *directory) candidates(now time.Time) []rationer.Candidate {
	var candidates []rationer.Candidate
	for name, f := range d.followers {
		if f.keeper || f.report.GetBrief() || now.Sub(f.at) > reportTTL {
			continue
		}
		tokens := uint64(0)
		for _, use := range f.report.GetUses() {
			tokens += use.GetAsked()
		}
		candidates = append(candidates, rationer.Candidate{Name: name, Demand: float64(tokens)})
	}
	return candidates
}

// markZoneCold marks the endpoints of a zone as cold for the cold start time of their service.
func (d *directory) markZoneCold(now time.Time, zone string, lengths func(service string) time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.list.MarkZoneCold(now, zone, lengths)
}

// hasZone reports whether an endpoint of a zone is listed.
func (d *directory) hasZone(zone string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.list.InZone(zone)
}
