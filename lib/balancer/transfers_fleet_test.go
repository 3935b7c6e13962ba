package balancer

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

const (
	fetchPrefillTime = 16180 * time.Nanosecond // of one token
	fetchDecodeTime  = 300 * time.Millisecond
	pollTime         = 70 * time.Millisecond
	fetchSeconds     = 12
	fleetLength      = fetchSeconds * time.Second
	fetchTarget      = 500 * time.Millisecond
	fetchCapacity    = 390_000 // tokens that an engine caches
	sharedTokens     = 5382
	ownTokens        = 6610
)

// fetchEngine is an engine that prefills prompts and transfers prefixes one after another.
type fetchEngine struct {
	listing     lister.Listing
	cached      map[uint64]fetchPrefix
	read        int // tokens of all prompts that were prefilled or fetched since the start
	idleAt      time.Time
	linkIdleAt  time.Time
	unreachable bool // fetches from it fail
	prefills    int  // of shared prefixes
	fetches     int
	fetchMisses int // fetches whose source didn't have the prefix
	transferred int // fetches from it
}

// fetchPrefix is a prefix that an engine has cached.
type fetchPrefix struct {
	at   time.Time // when it was prefilled or fetched
	read int       // tokens that the engine had read when the prefix was last used
}

// fetchFleet is a fleet of routers with one keeper and engines, without a network.
type fetchFleet struct {
	clock    time.Time
	random   *rand.Rand
	routers  []*Balancer
	after    []uint64
	engines  map[netip.AddrPort]*fetchEngine
	keeper   indexer.Directory
	losses   int // one in so many reports is lost, 0 for none
	events   fetchEvents
	waits    []time.Duration
	reported int
	answered int
	draining bool // polls are not repeated
}

type fetchEvent struct {
	at  time.Time
	run func()
}

type fetchEvents []fetchEvent

func (e fetchEvents) Len() int           { return len(e) }
func (e fetchEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fetchEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fetchEvents) Push(x any)        { *e = append(*e, x.(fetchEvent)) }
func (e *fetchEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFetchFleet(routers, engines int, transfers bool) *fetchFleet {
	f := &fetchFleet{clock: start, random: rand.New(rand.NewPCG(1, 2)), engines: make(map[netip.AddrPort]*fetchEngine), after: make([]uint64, routers)}
	for i := range engines {
		listing := engine(i + 1)
		listing.Started = start
		f.engines[listing.Address] = &fetchEngine{listing: listing, cached: make(map[uint64]fetchPrefix)}
	}
	for i := range routers {
		b := &Balancer{Seed: uint64(i + 1)}
		b.SetCacheCapacity("engines", fetchCapacity)
		b.SetRouterCount(routers)
		if transfers {
			b.Prefixes = &indexer.Exchange{}
			b.SetTransferTime("engines", tokenTransfer)
		}
		for i := range engines {
			b.Update(f.engines[engine(i+1).Address].listing)
		}
		f.routers = append(f.routers, b)
		f.schedule(time.Duration(f.random.Int64N(int64(pollTime))), func() { f.poll(i) })
	}
	return f
}

func (f *fetchFleet) schedule(delay time.Duration, run func()) {
	heap.Push(&f.events, fetchEvent{at: f.clock.Add(delay), run: run})
}

// runUntil runs the events up to a time.
func (f *fetchFleet) runUntil(end time.Time) {
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(fetchEvent)
		f.clock = next.at
		next.run()
	}
	f.clock = end
}

// drain runs the remaining events, until all requests have ended.
func (f *fetchFleet) drain() {
	f.draining = true
	for len(f.events) > 0 {
		f.runUntil(f.events[0].at.Add(time.Nanosecond))
	}
}

// poll exchanges the prefixes and the loads of a router with the keeper. Holdings are answered every
// seventh poll.
func (f *fetchFleet) poll(router int) {
	b := f.routers[router]
	loads := make(map[uint64]Load)
	for i, other := range f.routers {
		if i == router {
			continue
		}
		for key, load := range other.Loads() {
			sum := loads[key]
			sum.Unread += load.Unread
			loads[key] = sum
		}
	}
	b.SetOtherLoads(f.clock, loads)
	if !f.draining {
		f.schedule(pollTime, func() { f.poll(router) })
	}
	if b.Prefixes == nil {
		return
	}
	request := &messenger.FollowRequest{}
	b.Prefixes.AddReport(f.clock, keeperAddress, request)
	if f.losses > 0 && f.random.IntN(f.losses) == 0 {
		b.Prefixes.Lost(keeperAddress)
		return
	}
	for _, holding := range indexer.FromWire(request.GetHoldings()) {
		f.reported++
		f.keeper.Merge(f.clock, holding)
	}
	response := &messenger.FollowResponse{HoldingsNext: request.GetHoldingsAfter()}
	if f.random.IntN(7) == 0 {
		var changed []indexer.Holding
		changed, response.HoldingsNext = f.keeper.Since(f.clock, request.GetHoldingsAfter())
		f.answered += len(changed)
		response.Holdings = indexer.ToWire(changed)
	}
	b.Prefixes.Answered(f.clock, keeperAddress, response)
}

// request sends a request with a shared prefix from a random router.
func (f *fetchFleet) request(shared uint64) {
	work := &Work{
		Model: "m", Prompt: sharedTokens + ownTokens, Target: time.Second,
		Parts: []Part{{ID: shared, Tokens: sharedTokens}, {ID: f.random.Uint64(), Tokens: ownTokens}},
	}
	slot := f.routers[f.random.IntN(len(f.routers))].Pick(f.clock, "engines", work, nil)
	e := f.engines[slot.Address]
	begun := f.clock
	ready := e.serve(f, slot, shared)
	f.waits = append(f.waits, ready.Sub(begun))
	f.schedule(ready.Sub(begun), func() {
		slot.NoteResponse(f.clock)
		slot.NotePrefilled(f.clock)
	})
	f.schedule(ready.Sub(begun)+fetchDecodeTime, func() { slot.End(f.clock, Served) })
}

// serve returns when an engine has prefilled the prompt of a request.
func (e *fetchEngine) serve(f *fetchFleet, slot *Slot, shared uint64) time.Time {
	begin := e.idleAt
	if begin.Before(f.clock) {
		begin = f.clock
	}
	done := begin.Add(ownTokens * fetchPrefillTime)
	e.read += ownTokens
	cachedAt := e.cached[shared].at
	if !e.holds(shared) {
		e.read += sharedTokens
		fetched := time.Time{}
		if source := f.engines[slot.Source]; source != nil {
			e.fetches++
			fetched = source.transfer(begin, shared)
			if fetched.IsZero() {
				e.fetchMisses++
			}
		}
		if fetched.IsZero() {
			e.prefills++
			done = done.Add(sharedTokens * fetchPrefillTime)
		} else {
			done = fetched.Add(ownTokens * fetchPrefillTime)
		}
		cachedAt = done
	}
	e.cached[shared] = fetchPrefix{at: cachedAt, read: e.read}
	e.idleAt = done
	return done
}

// holds reports whether an engine has a prefix and has not evicted it.
func (e *fetchEngine) holds(shared uint64) bool {
	cached, found := e.cached[shared]
	return found && e.read-cached.read <= fetchCapacity
}

// transfer returns when an engine has transferred a prefix, zero if it does not have it.
func (e *fetchEngine) transfer(begin time.Time, shared uint64) time.Time {
	if !e.holds(shared) || e.cached[shared].at.After(begin) || e.unreachable {
		return time.Time{}
	}
	if begin.Before(e.linkIdleAt) {
		begin = e.linkIdleAt
	}
	e.linkIdleAt = begin.Add(sharedTokens * tokenTransfer)
	e.transferred++
	return e.linkIdleAt
}

// load sends requests at a rate for a time, with prefixes chosen at random.
func (f *fetchFleet) load(length time.Duration, perSecond int, prefixes uint64) {
	end := f.clock.Add(length)
	for f.clock.Before(end) {
		f.runUntil(f.clock.Add(time.Second / time.Duration(perSecond)))
		f.request(1 + f.random.Uint64N(prefixes))
	}
}

// totals are sums over the engines of a fleet.
type totals struct {
	prefills, fetches, misses, mostFrom int
}

func (f *fetchFleet) totals() totals {
	var sum totals
	for _, e := range f.engines {
		sum.prefills += e.prefills
		sum.fetches += e.fetches
		sum.misses += e.fetchMisses
		sum.mostFrom = max(sum.mostFrom, e.transferred)
	}
	return sum
}

// late returns the fraction of the requests whose first token took more than a length.
func (f *fetchFleet) late(than time.Duration) float64 {
	count := 0
	for _, wait := range f.waits {
		if wait > than {
			count++
		}
	}
	return float64(count) / float64(len(f.waits))
}

// Guards against a prefix that becomes hot and is prefilled once by nearly every engine, or at whose few
// engines requests wait, and against a part that prefills as often as without fetches.
func TestHotPrefixIsPrefilledFewTimes(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond int
		prefixes  uint64
	}{
		"one hot prefix":                  {240, 1},
		"20 prefixes":                     {240, 20},
		"600 prefixes":                    {240, 600},
		"600 prefixes, most engines busy": {300, 600},
	} {
		t.Run(name, func(t *testing.T) {
			var results []totals
			var late []float64
			for _, transfers := range []bool{false, true} {
				f := newFetchFleet(20, 40, transfers)
				f.load(fleetLength, test.perSecond, test.prefixes)
				results, late = append(results, f.totals()), append(late, f.late(fetchTarget))
				t.Logf("transfers %t: %+v, late %.4f, reported %d per second, answered %d per second and router",
					transfers, f.totals(), f.late(fetchTarget), f.reported/fetchSeconds, f.answered/fetchSeconds/20)
			}
			require.Less(t, results[1].prefills, results[0].prefills)
			require.LessOrEqual(t, late[1], late[0]+0.01)
		})
	}
}

// Guards against a part that costs more than it saves while keepers and engines fail.
func TestFetchesUnderFailure(t *testing.T) {
	tests := map[string]func(f *fetchFleet){
		"nothing fails": func(*fetchFleet) {},
		"a source leaves": func(f *fetchFleet) {
			f.listAll(f.busiestSource(), func(l *lister.Listing) { l.State = lister.Leaving })
		},
		"a source restarts": func(f *fetchFleet) {
			e := f.busiestSource()
			e.cached = make(map[uint64]fetchPrefix)
			f.listAll(e, func(l *lister.Listing) { l.Started = f.clock })
		},
		"a source is cut off from other engines": func(f *fetchFleet) { f.busiestSource().unreachable = true },
		"the keeper restarts": func(f *fetchFleet) {
			f.keeper = indexer.Directory{}
			for _, b := range f.routers {
				b.Prefixes.Lost(keeperAddress)
			}
		},
		"half of the reports are lost": func(f *fetchFleet) { f.losses = 2 },
		"no keeper answers":            func(f *fetchFleet) { f.losses = 1 },
	}
	plain := newFetchFleet(20, 40, false)
	plain.load(fleetLength, 280, 600)
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFetchFleet(20, 40, true)
			f.load(fleetLength/2, 280, 600)
			fail(f)
			f.load(fleetLength-fleetLength/2, 280, 600)
			t.Logf("%+v, without transfers %+v, late %.4f and %.4f", f.totals(), plain.totals(), f.late(fetchTarget), plain.late(fetchTarget))
			require.Less(t, f.totals().prefills, plain.totals().prefills)
			require.LessOrEqual(t, f.late(fetchTarget), plain.late(fetchTarget)+0.02)
			f.drain()
			for _, e := range f.engines {
				for _, b := range f.routers {
					require.Zero(t, b.byID[e.listing.ID].transfers)
				}
			}
		})
	}
}

// busiestSource returns the engine from which most prefixes were fetched.
func (f *fetchFleet) busiestSource() *fetchEngine {
	var busiest *fetchEngine
	for i := range len(f.engines) {
		e := f.engines[engine(i+1).Address]
		if busiest == nil || e.transferred > busiest.transferred {
			busiest = e
		}
	}
	return busiest
}

// listAll changes the listing of an engine at all routers.
func (f *fetchFleet) listAll(e *fetchEngine, change func(l *lister.Listing)) {
	change(&e.listing)
	for _, b := range f.routers {
		b.Update(e.listing)
	}
}
