package balancer

import (
	"cmp"
	"slices"

	"shallotkeel.example/lib/rationer"
)

const (
	// mostWalked is how many endpoints of a service are all priced for each request.
	mostWalked = 256
	// drawn is how many endpoints of a larger service are priced by chance. Of so many one has
	// little to do, unless nearly all have much.
	drawn = 8
	// leastNear is how many endpoints of the router's own zone are enough to draw from.
	leastNear = 64
	// buckets is into how many groups the engines are divided for ranking.
	buckets = 64
)

// pool is the endpoints of one service, without those that are gone.
type pool struct {
	all   []*endpoint // sorted by id
	near  []*endpoint // those of the router's own zone, likewise
	zone  ranking     // of these
	homes ranking     // of those that all routers know, if they do not know all
	// shift tells which those are: one in 1<<shift. It is 0 for a service of which routers
	// know all, and as long as nobody has told.
	shift   int
	partial bool    // routers do not know all
	pressed float64 // part of the calls that found no endpoint with room, weighted to the latest
}

// ranking is engines in buckets, by the hash of their ids.
type ranking [buckets][]*endpoint

func (r *ranking) add(e *endpoint) {
	r[e.seed%buckets] = append(r[e.seed%buckets], e)
}

func (r *ranking) remove(e *endpoint) {
	r[e.seed%buckets] = slices.DeleteFunc(r[e.seed%buckets], func(x *endpoint) bool { return x == e })
}

// Sampled tells whether a hash is one of those of one endpoint in 1<<shift.
func Sampled(hash uint64, shift int) bool {
	return hash>>(64-shift) == 0
}

// add takes an endpoint into the pool.
func (p *pool) add(e *endpoint, near bool) {
	p.all = insert(p.all, e)
	if near {
		p.near = insert(p.near, e)
		p.zone.add(e)
	}
	if p.partial && Sampled(e.seed, p.shift) {
		p.homes.add(e)
	}
}

// remove takes an endpoint out of the pool.
func (p *pool) remove(e *endpoint) {
	p.all = drop(p.all, e)
	p.near = drop(p.near, e)
	p.zone.remove(e)
	p.homes.remove(e)
}

// know sets which part of the endpoints all routers know.
func (p *pool) know(partial bool, shift int) {
	if p.partial == partial && p.shift == shift {
		return
	}
	p.partial, p.shift, p.homes = partial, shift, ranking{}
	for _, e := range p.all {
		if partial && Sampled(e.seed, shift) {
			p.homes.add(e)
		}
	}
}

// Homes sets, by service, which part of the endpoints all routers know: one in 1<<shift. Of
// services that are left out they know all.
func (b *Balancer) Homes(shifts map[string]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for service, listed := range b.services {
		shift, partial := shifts[service]
		listed.know(partial, shift)
	}
}

func insert(listed []*endpoint, e *endpoint) []*endpoint {
	at, _ := place(listed, e)
	return slices.Insert(listed, at, e)
}

func drop(listed []*endpoint, e *endpoint) []*endpoint {
	if at, found := place(listed, e); found {
		return slices.Delete(listed, at, at+1)
	}
	return listed
}

// place returns where an endpoint is in a list, or belongs.
func place(listed []*endpoint, e *endpoint) (int, bool) {
	return slices.BinarySearchFunc(listed, e.ID, func(x *endpoint, id string) int { return cmp.Compare(x.ID, id) })
}

// some returns the endpoints of a service, or as many as are walked at most.
func (b *Balancer) some(service string) []*endpoint {
	all := b.all(service)
	if len(all) <= mostWalked {
		return all
	}
	from := int(b.turns) % (len(all) - mostWalked)
	return all[from : from+mostWalked]
}

// homes are the engines that probably hold the parts of a prompt that other requests share.
type homes struct {
	// fleet is the one that all routers send to first, zone the one to which those of the
	// router's own zone go where that one would be late. Either may be nil.
	fleet, zone *endpoint
}

// home returns the engines that rank first for the last part that requests share. All routers
// agree on them as long as they know the same endpoints. Where a service has so many that routers
// know a part only, the first is one of those that all of them know.
func (b *Balancer) home(listed *pool, work *Work) homes {
	shared := work.shared()
	if len(shared) == 0 {
		return homes{}
	}
	last := shared[len(shared)-1].ID
	if !listed.partial {
		return homes{fleet: b.first(listed.all, last)}
	}
	return homes{fleet: b.ranked(&listed.homes, last), zone: b.ranked(&listed.zone, last)}
}

// guess is which part of what requests share an engine probably holds that nobody here has
// sent it to.
func (h homes) guess(e *endpoint) float64 {
	switch e {
	case h.fleet:
		return guessed
	case h.zone:
		return zoneGuessed
	}
	return 0
}

// first returns the open endpoint that ranks first for a part.
func (b *Balancer) first(candidates []*endpoint, part uint64) *endpoint {
	var best *endpoint
	var bestRank uint64
	for _, e := range candidates {
		if !b.open(e) {
			continue
		}
		if rank := mix(e.seed, part); best == nil || rank > bestRank {
			best, bestRank = e, rank
		}
	}
	return best
}

// ranked returns the open endpoint that ranks first for a part, nil if none of its bucket is open.
// Buckets are ranked by their sizes, so that each endpoint is as likely as any other; then those in
// the bucket are.
func (b *Balancer) ranked(of *ranking, part uint64) *endpoint {
	best, bestScore := 0, -1.0
	for i, members := range of {
		if len(members) == 0 {
			continue
		}
		if score := rationer.Score(float64(len(members)), mix(uint64(i), part)); score > bestScore {
			best, bestScore = i, score
		}
	}
	return b.first(of[best], part)
}

// shortlist returns the endpoints of a large service that are priced for a request.
func (b *Balancer) shortlist(listed *pool, home homes, work *Work) []*endpoint {
	chosen := make([]*endpoint, 0, drawn+recentEach+2)
	for _, e := range []*endpoint{home.fleet, home.zone} {
		if e != nil {
			chosen = append(chosen, e)
		}
	}
	for _, e := range b.recent.get(work) {
		if b.byID[e.ID] == e {
			chosen = append(chosen, e)
		}
	}
	from := listed.near
	if len(from) < leastNear {
		from = listed.all
	}
	for i := range uint64(drawn) {
		chosen = append(chosen, from[mix(b.Seed+i, b.turns)%uint64(len(from))])
	}
	return chosen
}
