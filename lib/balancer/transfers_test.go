package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// tokenTransfer is a transfer time per token of a fast link: a fourteenth of a prefill.
const tokenTransfer = 1191 * time.Nanosecond

var keeperAddress = netip.MustParseAddrPort("10.9.0.1:7400")

// fetchingFleet returns a balancer of engines that transfer prefixes.
func fetchingFleet(count int) *Balancer {
	b := fleet(count)
	b.Prefixes = &indexer.Exchange{}
	b.SetTransferTime("engines", tokenTransfer)
	return b
}

// learn lets a balancer hear from a keeper that an engine holds the shared prefixes of a prompt.
func (b *Balancer) learn(now time.Time, listing lister.Listing, work *Work) {
	var held []indexer.Holding
	for _, level := range work.sharedLevels() {
		held = append(held, indexer.Holding{Prefix: level.key, Endpoint: Key(listing)})
	}
	b.Prefixes.Answered(now, keeperAddress, &messenger.FollowResponse{Holdings: indexer.ToWire(held)})
}

// only excludes all engines but one.
func only(id string) func(string) bool {
	return func(other string) bool { return other != id }
}

// Guards against a prefix that is prefilled again although another router has sent it to an engine.
func TestPrefixOfAnotherRouterIsFetched(t *testing.T) {
	b := fetchingFleet(4)
	require.False(t, b.Pick(start, "engines", prompt(1, 2), only("i-2")).Source.IsValid(), "nobody holds it")
	b.learn(start, engine(3), prompt(1, 2))
	slot := b.Pick(start, "engines", prompt(1, 3), only("i-1"))
	require.Equal(t, engine(3).Address, slot.Source)
	require.NotEqual(t, "i-1", b.home(b.services["engines"], prompt(1, 3)).fleet.ID, "a home is assumed to cache a part of the prefix")
	require.Equal(t, 5000, slot.FetchTokens)
	require.Equal(t, 1000, slot.PrefillTokens)
	require.Less(t, slot.ExpectedWait, 70*time.Millisecond)
	holder := b.Pick(start, "engines", prompt(1, 4), only("i-3"))
	require.False(t, holder.Source.IsValid(), "it has the prefix")
	require.Equal(t, 1000, holder.PrefillTokens)
	late := b.Pick(start.Add(indexer.TTL), "engines", prompt(1, 5), only("i-4"))
	require.False(t, late.Source.IsValid(), "the entry has expired")
}

// Guards against a change for services whose engines transfer nothing.
func TestWithoutTransfersNothingChanges(t *testing.T) {
	plain, unset, none := fleet(9), fetchingFleet(9), fetchingFleet(9)
	unset.SetTransferTime("engines", 0)
	none.Prefixes = nil
	for own := range uint64(300) {
		work := prompt(own%20, 1000+own)
		for _, b := range []*Balancer{unset, none} {
			if b.Prefixes != nil {
				b.learn(start, engine(1+int(own%9)), work)
			}
		}
		want := plain.Pick(start, "engines", work, nil)
		for _, b := range []*Balancer{unset, none} {
			slot := b.Pick(start, "engines", work, nil)
			require.Equal(t, want.ID, slot.ID)
			require.Equal(t, want.PrefillTokens, slot.PrefillTokens)
			require.Equal(t, want.ExpectedWait, slot.ExpectedWait)
			require.False(t, slot.Source.IsValid())
			slot.NoteResponse(start)
			if own%3 == 0 {
				slot.End(start, Served)
			}
		}
		want.NoteResponse(start)
		if own%3 == 0 {
			want.End(start, Served)
		}
	}
}

// Guards against fetches from engines that can't serve them, or that should get no more load.
func TestIneligibleSourcesAreNotUsed(t *testing.T) {
	now := start.Add(time.Second)
	tests := map[string]func(b *Balancer, source lister.Listing){
		"leaving": func(b *Balancer, source lister.Listing) {
			source.State = lister.Leaving
			b.Update(source)
		},
		"gone": func(b *Balancer, source lister.Listing) {
			source.State = lister.Gone
			b.Update(source)
		},
		"restarted": func(b *Balancer, source lister.Listing) {
			source.Started = now
			b.Update(source)
		},
		"silent": func(b *Balancer, source lister.Listing) {
			source.Silent = true
			b.Update(source)
		},
		"evacuated": func(b *Balancer, _ lister.Listing) { b.SetEvacuatedZones(now, []string{"far"}) },
		"cold": func(b *Balancer, source lister.Listing) {
			b.SetColdLimit("engines", resolver.Cold{Rate: 1, Length: time.Minute})
			source.ColdUntil = now.Add(time.Minute)
			b.Update(source)
		},
		"in backoff": func(b *Balancer, source lister.Listing) {
			slot := b.Pick(now, "engines", prompt(8, 9), only(source.ID))
			slot.BackOff(now, time.Second)
			slot.End(now, Served)
		},
		"unreachable": func(b *Balancer, source lister.Listing) {
			b.Pick(now, "engines", prompt(8, 9), only(source.ID)).End(now, ConnectFailed)
		},
		"broken": func(b *Balancer, source lister.Listing) {
			b.Pick(now, "engines", prompt(8, 9), only(source.ID)).End(now, ConnectionBroken)
		},
		"of another version": func(b *Balancer, source lister.Listing) {
			source.Version = "v2"
			b.Update(source)
		},
		"of another service": func(b *Balancer, source lister.Listing) {
			source.Service = "others"
			b.Update(source)
		},
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			b := fetchingFleet(2)
			source := engine(3)
			source.Zone = "far"
			b.Update(source)
			b.learn(now, source, prompt(1, 2))
			before := b.Pick(now, "engines", prompt(1, 2), only("i-1"))
			require.Equal(t, source.Address, before.Source)
			spoil(b, source)
			b.learn(now, engine(3), prompt(1, 2)) // a failure also removes the entry
			require.False(t, b.Pick(now, "engines", prompt(1, 3), only("i-2")).Source.IsValid())
		})
	}
}

// Guards against a source that gets a penalty because a request that was to fetch from it broke, and
// against counts of fetches that never decrease.
func TestBrokenFetchDoesNotAffectTheSource(t *testing.T) {
	for _, outcome := range []Outcome{Served, Faulty, ConnectionBroken, ConnectFailed, ConnectLate, Full, WrongInstance, Cancelled} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			b := fetchingFleet(2)
			b.learn(start, engine(2), prompt(1, 2))
			slot := b.Pick(start, "engines", prompt(1, 2), only("i-1"))
			require.Equal(t, engine(2).Address, slot.Source)
			source := b.byID["i-2"]
			require.Equal(t, 1, source.transfers)
			slot.End(start, outcome)
			require.Zero(t, source.transfers)
			require.Equal(t, penaltyNone, b.healthPenalty(start, source))
			require.Zero(t, source.failureShare)
			require.Equal(t, "i-2", b.Pick(start, "engines", prompt(1, 3), func(id string) bool { return id == "i-1" }).ID)
		})
	}
}

// Guards against requests to an engine that is gone, and fetches from there, if only its last listing
// names its start.
func TestGoneEndpointIsNoHolder(t *testing.T) {
	b := fetchingFleet(1)
	unstarted, gone := engine(2), engine(2)
	unstarted.Sequence = 1
	b.Update(unstarted)
	gone.Sequence, gone.State, gone.Started = 2, lister.Gone, start
	known := b.byID["i-2"]
	b.Update(gone)
	b.learn(start, gone, prompt(1, 2))
	require.Equal(t, Key(gone), known.key)
	require.Len(t, b.byKey, 1)
	require.Empty(t, b.lookUp(start, "engines", prompt(1, 2)).sources)
	require.False(t, b.Pick(start, "engines", prompt(1, 2), nil).Source.IsValid())
	b.index(known)
	require.Empty(t, b.lookUp(start, "engines", prompt(1, 2)).sources, "it is not listed")
}

// Guards against a prefix that others fetch before its engine has prefilled it, and against reports
// of prefixes at an engine that has restarted meanwhile.
func TestPrefixIsReportedOncePrefilled(t *testing.T) {
	b := fetchingFleet(1)
	reported := func() []indexer.Holding {
		request := &messenger.FollowRequest{}
		b.Prefixes.AddReport(start, keeperAddress, request)
		return indexer.FromWire(request.GetHoldings())
	}
	work := &Work{Model: "m", Prompt: 6000, Parts: []Part{{1, 100}, {2, 600}, {3, 1000}, {4, 3000}, {5, 1300}}}
	slot := b.Pick(start, "engines", work, nil)
	require.Empty(t, reported())
	slot.NoteResponse(start)
	require.Empty(t, reported(), "the answer may be an error")
	slot.NotePrefilled(start)
	levels := work.sharedLevels()
	require.Equal(t, []int{100, 700, 1700, 4700}, []int{levels[0].tokens, levels[1].tokens, levels[2].tokens, levels[3].tokens})
	key := Key(engine(1))
	require.ElementsMatch(t, []indexer.Holding{{Prefix: levels[2].key, Endpoint: key}, {Prefix: levels[3].key, Endpoint: key}}, reported())
	require.Equal(t, 3, b.Prefixes.Len(start), "a prefix of 700 tokens is of use to this router only")
	other := b.Pick(start, "engines", prompt(50, 51), nil)
	restarted := engine(1)
	restarted.Started = start.Add(time.Second)
	b.Update(restarted)
	require.Zero(t, b.Prefixes.Len(start))
	other.NoteResponse(start)
	other.NotePrefilled(start)
	require.Zero(t, b.Prefixes.Len(start))
}

// Guards against a request that shares only the first parts of its prompt with others and is
// prefilled as a whole.
func TestEveryLevelOfAPrefixCounts(t *testing.T) {
	b := fetchingFleet(3)
	longer := &Work{Model: "m", Prompt: 6000, Parts: []Part{{1, 3000}, {2, 2000}, {3, 1000}}}
	b.learn(start, engine(1), &Work{Model: "m", Prompt: 4000, Parts: []Part{{1, 3000}, {9, 1000}}})
	p := b.lookUp(start, "engines", longer)
	require.Equal(t, 3000, p.available)
	require.Equal(t, 3000, p.held(b.byID["i-1"]))
	b.learn(start, engine(2), longer)
	p = b.lookUp(start, "engines", longer)
	require.Equal(t, 5000, p.available)
	require.Equal(t, []*endpoint{b.byID["i-2"]}, p.sources)
	require.Equal(t, 3000, p.held(b.byID["i-1"]), "the longest that it holds")
	require.Equal(t, 5000, p.held(b.byID["i-2"]))
	require.Zero(t, p.held(b.byID["i-3"]))
	other := *longer
	other.Model = "other"
	require.Zero(t, b.lookUp(start, "engines", &other).available)
}

// Guards against all fetches of a fleet from one engine, whose transfers run one after another, and
// against transfers between zones where the prefix is in the target's zone as well.
func TestFetchesAreSpreadOverSources(t *testing.T) {
	counts := make(map[string]int)
	for router := range uint64(60) {
		b := fetchingFleet(0)
		b.Seed = router + 1
		for i := range 7 {
			e := engine(i + 1)
			e.Zone = []string{"near", "far"}[i%2]
			b.Update(e)
			if i < 6 {
				b.learn(start, e, prompt(1, 2))
			}
		}
		for range 2 * maxSourceTransfers {
			slot := b.Pick(start, "engines", prompt(1, 2), only("i-7"))
			b.byID["i-7"].cache = prefixCache{}
			require.True(t, slot.Source.IsValid())
			require.Equal(t, "near", slot.source.Zone)
			counts[slot.source.ID]++
		}
		require.LessOrEqual(t, b.byID["i-1"].transfers, maxSourceTransfers)
	}
	require.Len(t, counts, 3)
	for id, count := range counts {
		require.Greater(t, count, 50, id)
	}
}

// Guards against requests that wait for a busy link longer than a prefill takes.
func TestBusySourceIsNotWaitedFor(t *testing.T) {
	b := fetchingFleet(2)
	b.learn(start, engine(2), prompt(1, 2))
	fetches := 0
	for range 100 {
		if b.Pick(start, "engines", prompt(1, 2), only("i-1")).Source.IsValid() {
			fetches++
		}
		b.byID["i-1"].cache = prefixCache{}
	}
	require.Greater(t, fetches, 5)
	require.Less(t, fetches, 20)
}

// Guards against a slow link whose use costs more than a prefill.
func TestSlowLinksAreNotUsed(t *testing.T) {
	b := fetchingFleet(2)
	b.SetTransferTime("engines", 50*time.Microsecond)
	b.learn(start, engine(2), prompt(1, 2))
	require.False(t, b.Pick(start, "engines", prompt(1, 2), only("i-1")).Source.IsValid())
}

// Guards against lookups that grow with the product of engines and sources.
func TestVersionsOfSourcesAreCollectedOnce(t *testing.T) {
	b := fetchingFleet(0)
	for i := range 30 {
		e := engine(i + 1)
		e.Version = []string{"v1", "v2", "v3"}[i%3]
		b.Update(e)
		if i%3 < 2 {
			b.learn(start, e, prompt(1, 2))
		}
	}
	p := b.lookUp(start, "engines", prompt(1, 2))
	require.Len(t, p.sources, 20)
	require.ElementsMatch(t, []string{"v1", "v2"}, p.versions)
	require.True(t, p.canFetch(b.byID["i-2"], 0))
	require.False(t, p.canFetch(b.byID["i-3"], 0), "no source has its version")
	require.False(t, p.canFetch(b.byID["i-2"], 5000), "it has the prefix")
}

// Guards against a plain service whose failing endpoints make the router read the whole directory for
// each failure.
func TestFailuresWithoutTransfersLeaveTheDirectory(t *testing.T) {
	for _, outcome := range []Outcome{ConnectionBroken, ConnectFailed} {
		for perToken, want := range map[time.Duration]int{0: 1, tokenTransfer: 0} {
			t.Run(fmt.Sprint(outcome, " ", perToken), func(t *testing.T) {
				b := fetchingFleet(1)
				b.SetTransferTime("engines", perToken)
				b.learn(start, engine(1), prompt(1, 2))
				b.Pick(start, "engines", prompt(1, 2), nil).End(start, outcome)
				require.Equal(t, want, b.Prefixes.Len(start))
			})
		}
	}
}

// Guards against a large service whose shortlist misses the engines that hold a prefix.
func TestShortlistIncludesHolders(t *testing.T) {
	b := largeFleet(7, 600, 100)
	b.Prefixes = &indexer.Exchange{}
	b.SetTransferTime("engines", tokenTransfer)
	holder := b.byID["i-650"]
	for shared := range uint64(20) {
		work := prompt(1000+shared, 2)
		b.learn(start, holder.Listing, work)
		slot := b.Pick(start, "engines", work, nil)
		require.True(t, slot.ID == holder.ID || slot.Source == holder.Address)
		slot.End(start, Served)
	}
}
