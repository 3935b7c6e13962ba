package balancer

import (
	"cmp"
	"slices"

	"shallotkeel.example/lib/rationer"
)

const (
	// maxFullScan is the number of endpoints up to which all of a service are priced for each
	// request.
	maxFullScan = 256
	// randomCandidates is the number of endpoints of a larger service that are priced at random.
	// Among that many, one has little load unless nearly all are loaded.
	randomCandidates = 8
	// minSameZone is the number of endpoints in the router's own zone from which on random
	// candidates are drawn from that zone only.
	minSameZone = 64
	// buckets is the number of groups into which the engines are divided for ranking.
	buckets = 64
)

// pool holds the endpoints of one service, except those that are gone.
type pool struct {
	all         []*endpoint // sorted by id
	sameZone    []*endpoint // endpoints of the router's own zone, sorted by id
	zoneRanking ranking     // of sameZone
	homeRanking ranking     // of the endpoints that all routers know, if partial
	// shift selects the endpoints that all routers know: one in 1<<shift. It is 0 for a service of
	// which routers know all endpoints, and until the first SetSampling.
	shift          int
	partial        bool    // routers know only a subset of the endpoints
	rejectionShare float64 // EWMA of the share of calls that found no endpoint with capacity
}

// ranking holds engines in buckets by the hash of their ids.
type ranking [buckets][]*endpoint

func (r *ranking) add(e *endpoint) {
	r[e.seed%buckets] = append(r[e.seed%buckets], e)
}

func (r *ranking) remove(e *endpoint) {
	r[e.seed%buckets] = slices.DeleteFunc(r[e.seed%buckets], func(x *endpoint) bool { return x == e })
}

// Sampled reports whether a hash belongs to the sample of one endpoint in 1<<shift.
func Sampled(hash uint64, shift int) bool {
	return hash>>(64-shift) == 0
}

// add adds an endpoint to the pool.
func (p *pool) add(e *endpoint, near bool) {
	p.all = insert(p.all, e)
	if near {
		p.sameZone = insert(p.sameZone, e)
		p.zoneRanking.add(e)
	}
	if p.partial && Sampled(e.seed, p.shift) {
		p.homeRanking.add(e)
	}
}

// remove removes an endpoint from the pool.
func (p *pool) remove(e *endpoint) {
	p.all = drop(p.all, e)
	p.sameZone = drop(p.sameZone, e)
	p.zoneRanking.remove(e)
	p.homeRanking.remove(e)
}

// setSampling sets which sample of the endpoints all routers know.
func (p *pool) setSampling(partial bool, shift int) {
	if p.partial == partial && p.shift == shift {
		return
	}
	p.partial, p.shift, p.homeRanking = partial, shift, ranking{}
	for _, e := range p.all {
		if partial && Sampled(e.seed, shift) {
			p.homeRanking.add(e)
		}
	}
}

// SetSampling sets, by service, the sample of the endpoints that all routers know: one in 1<<shift.
// Of services that are missing from shifts, all routers know all endpoints.
func (b *Balancer) SetSampling(shifts map[string]int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for service, listed := range b.services {
		shift, partial := shifts[service]
		listed.setSampling(partial, shift)
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

// place returns the position of an endpoint in a sorted list, or its insertion point, and whether
// it was found.
func place(listed []*endpoint, e *endpoint) (int, bool) {
	return slices.BinarySearchFunc(listed, e.ID, func(x *endpoint, id string) int { return cmp.Compare(x.ID, id) })
}

// sample returns the endpoints of a service, or a window of maxFullScan of them that moves with
// each choice.
func (b *Balancer) sample(service string) []*endpoint {
	all := b.all(service)
	if len(all) <= maxFullScan {
		return all
	}
	from := int(b.choices) % (len(all) - maxFullScan)
	return all[from : from+maxFullScan]
}

// homes are the engines that probably cache the parts of a prompt that other requests share.
type homes struct {
	// fleet is the first choice of all routers. zone is the second choice of the routers in the
	// same zone, where a request would be late at the first. Either may be nil.
	fleet, zone *endpoint
	// prefixes is what the directory says about the prompt, nil if it was not looked up.
	prefixes *prefixes
	// transfers is set if the service's engines fetch prefixes from one another.
	transfers bool
}

// home returns the engines that rank first for the last shared part of a prompt. All routers agree
// on them as long as they know the same endpoints. For a service of which routers know only a
// subset, the fleet's home is one of the sampled endpoints, which all routers know.
func (b *Balancer) home(listed *pool, work *Work) homes {
	shared := work.SharedParts()
	if len(shared) == 0 {
		return homes{}
	}
	last := shared[len(shared)-1].ID
	if !listed.partial {
		return homes{fleet: b.highestRanked(listed.all, last)}
	}
	return homes{fleet: b.rankedHome(&listed.homeRanking, last), zone: b.rankedHome(&listed.zoneRanking, last)}
}

// cachedShare returns the share of the shared prompt parts that an engine probably caches although
// this router has not sent them there.
func (h homes) cachedShare(e *endpoint) float64 {
	switch e {
	case h.fleet:
		return homeCachedShare
	case h.zone:
		return zoneHomeCachedShare
	}
	return 0
}

// highestRanked returns the eligible endpoint that ranks first for a part, nil if none is eligible.
// An endpoint ranks first for a number of parts in proportion to its speed.
func (b *Balancer) highestRanked(candidates []*endpoint, part uint64) *endpoint {
	// Among endpoints of one weight the highest hash ranks first: only the first of each weight is scored.
	var first [2*maxRankStep + 1]*endpoint
	var ranks [2*maxRankStep + 1]uint64
	for _, e := range candidates {
		if !b.isEligible(e) {
			continue
		}
		i := e.rankStep + maxRankStep
		if rank := mix(e.seed, part); first[i] == nil || rank > ranks[i] {
			first[i], ranks[i] = e, rank
		}
	}
	var best *endpoint
	bestScore := 0.0
	for i, e := range first {
		if e == nil {
			continue
		}
		if score := rationer.Score(rankWeight(i-maxRankStep), ranks[i]); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// rankedHome returns the eligible endpoint that ranks first for a part, nil if none in the first
// bucket is eligible. Buckets are ranked with their sizes as weights, so that each endpoint is
// equally likely; then the endpoints of the first bucket are ranked.
func (b *Balancer) rankedHome(of *ranking, part uint64) *endpoint {
	best, bestScore := 0, -1.0
	for i, members := range of {
		if len(members) == 0 {
			continue
		}
		if score := rationer.Score(float64(len(members)), mix(uint64(i), part)); score > bestScore {
			best, bestScore = i, score
		}
	}
	return b.highestRanked(of[best], part)
}

// shortlist returns the endpoints of a large service that are priced for a request: its homes, the
// engines that recently got the same prefix, and some at random.
func (b *Balancer) shortlist(listed *pool, home homes, work *Work) []*endpoint {
	chosen := make([]*endpoint, 0, randomCandidates+recentEngines+2)
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
	from := listed.sameZone
	if len(from) < minSameZone {
		from = listed.all
	}
	for i := range uint64(randomCandidates) {
		chosen = append(chosen, from[mix(b.Seed+i, b.choices)%uint64(len(from))])
	}
	return chosen
}

// addHolders adds some engines that hold the longest known prefix of a prompt to a shortlist.
func (b *Balancer) addHolders(shortlist []*endpoint, home homes) []*endpoint {
	if home.prefixes == nil {
		return shortlist
	}
	sources := home.prefixes.sources
	for i := range uint64(min(len(sources), recentEngines)) {
		shortlist = append(shortlist, sources[(b.choices+i)%uint64(len(sources))])
	}
	return shortlist
}
