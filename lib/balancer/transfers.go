package balancer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/predictor"
)

// Engines can fetch cached prompt prefixes from one another. A prefix that many requests share then is
// prefilled by one engine, and load decides where the other requests go: without fetches each engine
// that is chosen for its low load prefills the prefix again, or requests wait at the few engines that
// have it.

const (
	// minFetchTokens is the minimum number of tokens that are fetched: a fetch of fewer saves less than
	// the variation of the waits for first tokens.
	minFetchTokens = 256
	// minReportedTokens is the length from which on a prefix is reported to the other routers. A fetch
	// of a shorter one saves less than its share of the control traffic is worth.
	minReportedTokens = 1024
	// minTransferRatio is the minimum of the price of a fetched token relative to a prefilled one. A
	// copied prefix takes memory of the engine, and evicts others there, however fast the link is.
	minTransferRatio = 0.05
	// maxTransferTime is the time to transfer one token up to which prefixes are fetched. An engine's
	// transfers run one after another: with slower ones, the engines that hold a hot prefix become the
	// queue in place of those that prefill it.
	maxTransferTime = 2 * time.Microsecond
	// maxSourceTransfers is the number of fetches of this router from one engine up to which it is
	// preferred for its zone. The transfers of an engine run one after another.
	maxSourceTransfers = 2
)

// SetTransferTime sets how long engines of a service take to transfer the cache of one prompt token to
// another engine; 0 means that they transfer none. Transfers that take longer than maxTransferTime are
// not used.
func (b *Balancer) SetTransferTime(service string, perToken time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.transferTimes == nil {
		b.transferTimes = make(map[string]time.Duration)
	}
	if perToken > maxTransferTime {
		perToken = 0
	}
	b.transferTimes[service] = perToken
}

// prefixLevel is a prefix of a prompt that ends with one of its shared parts.
type prefixLevel struct {
	key    uint64
	tokens int
}

// sharedLevels returns the prefixes that a prompt may share with others, shortest first.
func (w *Work) sharedLevels() []prefixLevel {
	shared := Work{Model: w.Model, Parts: w.SharedParts()}
	levels := make([]prefixLevel, 0, len(shared.Parts))
	tokens := 0
	chain(&shared, func(key uint64, part Part) bool {
		tokens += part.Tokens
		levels = append(levels, prefixLevel{key: key, tokens: tokens})
		return true
	})
	return levels
}

// heldPrefix is the longest prefix of a prompt that an engine holds by the directory.
type heldPrefix struct {
	lookup uint64 // number of the lookup that found it
	tokens int
}

// prefixes is what the directory says about one prompt. It is nil for a prompt without shared prefixes,
// and for a service whose engines transfer none.
type prefixes struct {
	lookup    uint64 // identifies the lookup
	available int    // tokens of the longest prefix that can be fetched
	sources   []*endpoint
	versions  []string      // software versions of the sources, without repetition
	waiting   int           // tokens that are fetched before it from the source with the fewest fetches
	perToken  time.Duration // time to transfer one token
}

// lookUp returns which engines hold prefixes of a prompt.
func (b *Balancer) lookUp(now time.Time, service string, work *Work) *prefixes {
	perToken := b.transferTimes[service]
	if perToken <= 0 || b.Prefixes == nil || len(work.Parts) < 2 {
		return nil
	}
	b.lookups++
	p := &prefixes{lookup: b.lookups, perToken: perToken}
	for _, level := range slices.Backward(work.sharedLevels()) {
		b.Prefixes.Holders(now, level.key, func(key uint64) {
			e := b.byKey[key]
			if e == nil || e.Service != service || b.byID[e.ID] != e {
				return // of a former lifetime, or unknown to this router
			}
			if e.held.lookup != p.lookup {
				e.held = heldPrefix{lookup: p.lookup, tokens: level.tokens}
			}
			if (p.available == 0 || p.available == level.tokens) && b.isSource(now, e) {
				p.available = level.tokens
				p.sources = append(p.sources, e)
				if !slices.Contains(p.versions, e.Version) {
					p.versions = append(p.versions, e.Version)
				}
			}
		})
	}
	for i, e := range p.sources {
		if waiting := e.transfers * p.available; i == 0 || waiting < p.waiting {
			p.waiting = waiting
		}
	}
	return p
}

// isSource reports whether prefixes can be fetched from an engine now.
func (b *Balancer) isSource(now time.Time, e *endpoint) bool {
	return b.isWilling(now, e) && !e.Cold(now) && b.healthPenalty(now, e) == penaltyNone
}

// held returns the number of tokens of the prompt that an engine holds by the directory.
func (p *prefixes) held(e *endpoint) int {
	if e.held.lookup != p.lookup {
		return 0
	}
	return e.held.tokens
}

// serves reports whether an engine can fetch from a source. Caches of another software version may
// differ in their layout.
func serves(source, target *endpoint) bool {
	return source != target && source.Version == target.Version
}

// promptTokens is where the tokens of a prompt come from at one engine, as far as is known.
type promptTokens struct {
	prefill   int           // are prefilled
	fetch     int           // are fetched from another engine
	fetchTime time.Duration // expected time of the fetch
	// fetchPrice is the number of tokens that would be prefilled in the time of the fetch.
	fetchPrice float64
	fetches    bool // a fetch is worth requesting
}

// promptTokens returns how many tokens of a prompt an engine probably has to prefill, and how many it can
// fetch. cachedShare is the share of the shared parts that it probably caches by its rank only.
func (p *prefixes) promptTokens(e *endpoint, fit *predictor.Fit, work *Work, cachedShare float64) promptTokens {
	known := e.cache.cachedTokens(work)
	if p != nil {
		known = max(known, p.held(e))
	}
	cached := known
	if shared := sum(work.SharedParts()); cached < shared {
		cached += int(cachedShare * float64(shared-cached))
	}
	var tokens promptTokens
	if p != nil && p.canFetch(e, known) {
		tokens = p.fetch(fit, p.available-known, cachedShare)
	}
	tokens.prefill = max(work.Prompt-cached-tokens.fetch, 0)
	return tokens
}

// canFetch reports whether an engine that caches a number of tokens can fetch enough beyond them. A source
// cannot, since it caches all that is available.
func (p *prefixes) canFetch(e *endpoint, cached int) bool {
	return p.available-cached >= minFetchTokens && slices.Contains(p.versions, e.Version)
}

// fetch returns the expected fetch of a number of tokens, none if their prefill takes less time.
func (p *prefixes) fetch(fit *predictor.Fit, lacking int, cachedShare float64) promptTokens {
	fetched := lacking - int(cachedShare*float64(lacking))
	taken := time.Duration(fetched+p.waiting) * p.perToken
	price := max(fit.PrefillTokens(taken), minTransferRatio*float64(fetched))
	if price >= float64(fetched) {
		return promptTokens{}
	}
	return promptTokens{fetch: fetched, fetchTime: taken, fetchPrice: price, fetches: true}
}

// source returns the engine from which an engine fetches: one that has few fetches of this router under
// way, preferably in the same zone. The others are ranked by a hash that differs between routers and
// targets, so that the fetches of a fleet are spread over all engines that hold the prefix.
func (b *Balancer) source(target *endpoint, sources []*endpoint) *endpoint {
	compare := func(x, y *endpoint) int {
		return cmp.Or(
			compareBool(x.transfers >= maxSourceTransfers, y.transfers >= maxSourceTransfers),
			compareBool(x.Zone != target.Zone, y.Zone != target.Zone),
			cmp.Compare(x.transfers, y.transfers),
			cmp.Compare(mix(x.seed, target.seed^b.Seed), mix(y.seed, target.seed^b.Seed)),
		)
	}
	var best *endpoint
	for _, e := range sources {
		if serves(e, target) && (best == nil || compare(e, best) < 0) {
			best = e
		}
	}
	return best
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// transfer is the part of a slot that concerns shared prefixes. Its zero value is that of a slot of a
// service whose engines transfer none.
type transfer struct {
	// Source is the address of the engine from which the slot's engine is to fetch a prefix of the
	// prompt, invalid if there is none, and FetchTokens the number of tokens that it probably fetches.
	Source      netip.AddrPort
	FetchTokens int

	source *endpoint
	levels []prefixLevel
}

// beginTransfer sets the source of a slot's fetch, and remembers which prefixes the engine caches once
// it has prefilled the prompt.
func (s *Slot) beginTransfer(c candidate, work *Work) {
	if c.prefixes == nil {
		return
	}
	s.levels = work.sharedLevels()
	if !c.tokens.fetches {
		return
	}
	s.source = s.balancer.source(c.endpoint, c.prefixes.sources)
	s.Source, s.FetchTokens = s.source.Address, c.tokens.fetch
	s.source.transfers++
}

// endTransfer records that the fetch of a slot, if it has one, has ended.
func (s *Slot) endTransfer() {
	if s.source != nil {
		s.source.transfers--
		s.source = nil
	}
}

// NotePrefilled records that the engine has prefilled the prompt of the slot, as the start of a
// successful answer shows. Before, others could fetch nothing from there; an engine that answers with an
// error may not have read the prompt. Later calls do nothing.
func (s *Slot) NotePrefilled(now time.Time) {
	s.balancer.mutex.Lock()
	defer s.balancer.mutex.Unlock()
	levels := s.levels
	s.levels = nil
	if s.balancer.byKey[s.endpoint.key] != s.endpoint {
		return // its lifetime has ended
	}
	for _, level := range levels {
		if level.tokens >= minFetchTokens {
			s.balancer.Prefixes.Add(now, indexer.Holding{Prefix: level.key, Endpoint: s.endpoint.key}, level.tokens >= minReportedTokens)
		}
	}
}

// forgetHeld removes what the directory says about an engine, which may have lost its cache. The removal
// reads the whole directory, which services whose engines transfer nothing are spared.
func (b *Balancer) forgetHeld(e *endpoint) {
	if b.Prefixes != nil && b.transferTimes[e.Service] > 0 {
		b.Prefixes.RemoveEndpoint(e.key)
	}
}

// index records the key of an endpoint's lifetime.
func (b *Balancer) index(e *endpoint) {
	if b.byKey == nil {
		b.byKey = make(map[uint64]*endpoint)
	}
	b.byKey[e.key] = e
}

// unindex removes the key of an endpoint's lifetime, and the entries of its engine in the directory.
func (b *Balancer) unindex(e *endpoint) {
	delete(b.byKey, e.key)
	b.forgetHeld(e)
}
