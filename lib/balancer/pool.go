package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// mostWalked is how many endpoints of a service are all priced for each request.
	mostWalked = 256
	// drawn is how many endpoints of a larger service are priced by chance. Of so many one has
	// little to do, unless nearly all have much.
	drawn = 8
	// leastHomes is how many engines of the router's own zone make the zone large enough to
	// read the prompts of its routers by itself. Each zone then reads a shared part for itself,
	// and no prompt crosses zones for it.
	leastHomes = 64
	// buckets is into how many groups the engines are divided for ranking.
	buckets = 64
)

// pool is the endpoints of one service, without those that are gone.
type pool struct {
	all   []*endpoint // sorted by id
	near  []*endpoint // those of the router's own zone, likewise
	ranks [buckets][]*endpoint
}

// add takes an endpoint into the pool.
func (p *pool) add(e *endpoint, near bool) {
	p.all = insert(p.all, e)
	if near {
		p.near = insert(p.near, e)
		p.ranks[e.seed%buckets] = append(p.ranks[e.seed%buckets], e)
	}
}

// remove takes an endpoint out of the pool.
func (p *pool) remove(e *endpoint) {
	p.all = drop(p.all, e)
	p.near = drop(p.near, e)
	p.ranks[e.seed%buckets] = slices.DeleteFunc(p.ranks[e.seed%buckets], func(x *endpoint) bool { return x == e })
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

// home returns the engine that ranks first for the last part that requests share,
// nil if there is none. All routers of a zone agree on it as long as they know the same
// endpoints of the zone, all routers of the fleet where zones are small.
func (b *Balancer) home(listed *pool, work *Work) *endpoint {
	shared := work.shared()
	if len(shared) == 0 {
		return nil
	}
	last := shared[len(shared)-1].ID
	if len(listed.near) >= leastHomes {
		if e := b.ranked(listed, last); e != nil {
			return e
		}
	}
	return b.first(listed.all, last)
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

// ranked returns the open endpoint of the own zone that ranks first for a part, nil if none of
// its bucket is open. Buckets are ranked by their sizes, so that each endpoint is as likely as
// any other; then those in the bucket are.
func (b *Balancer) ranked(listed *pool, part uint64) *endpoint {
	best, bestScore := 0, -1.0
	for i, members := range listed.ranks {
		if len(members) == 0 {
			continue
		}
		unit := (float64(mix(uint64(i), part)>>11) + 0.5) / (1 << 53)
		if score := float64(len(members)) / -math.Log(unit); score > bestScore {
			best, bestScore = i, score
		}
	}
	return b.first(listed.ranks[best], part)
}

// shortlist returns the endpoints of a large service that are priced for a request.
func (b *Balancer) shortlist(listed *pool, home *endpoint, work *Work) []*endpoint {
	chosen := make([]*endpoint, 0, drawn+recentEach+1)
	if home != nil {
		chosen = append(chosen, home)
	}
	for _, e := range b.recent.get(work) {
		if b.byID[e.ID] == e {
			chosen = append(chosen, e)
		}
	}
	from := listed.near
	if len(from) < leastHomes {
		from = listed.all
	}
	for i := range uint64(drawn) {
		chosen = append(chosen, from[mix(b.Seed+i, b.turns)%uint64(len(from))])
	}
	return chosen
}
