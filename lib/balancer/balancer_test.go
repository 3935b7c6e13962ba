package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

var start = time.Unix(1000, 0)

func engine(i int) lister.Listing {
	return lister.Listing{
		ID: fmt.Sprint("i-", i), Service: "engines", State: lister.Ready, Slots: 32,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func fleet(count int) *Balancer {
	b := &Balancer{}
	b.SetCacheCapacity("engines", 500_000)
	for i := range count {
		b.Update(engine(i + 1))
	}
	return b
}

func prompt(shared, own uint64) *Work {
	return &Work{Model: "m", Prompt: 6000, Parts: []Part{{ID: shared, Tokens: 5000}, {ID: own, Tokens: 1000}}}
}

// Guards against engines that spend a fifth of their time on prefill of prefixes that another
// engine has cached, because requests with one prefix are spread over all engines.
func TestRequestsFollowTheirPrefix(t *testing.T) {
	routers := []*Balancer{fleet(18), fleet(18), fleet(18)}
	for shared := range uint64(20) {
		homes := make(map[string]bool)
		for i, b := range routers {
			for own := range uint64(5) {
				slot := b.Pick(start, "engines", prompt(shared, 1000+100*uint64(i)+own), nil)
				homes[slot.ID] = true
				slot.End(start, Served)
			}
		}
		require.Len(t, homes, 1, "all routers choose the same engine")
	}
}

func TestLoadMovesAPrefixElsewhere(t *testing.T) {
	b := fleet(4)
	used := make(map[string]bool)
	for own := range uint64(400) {
		used[b.Pick(start, "engines", prompt(1, 100+own), nil).ID] = true
	}
	require.Greater(t, len(used), 1)
}

func TestPlainRequestsSpreadEvenly(t *testing.T) {
	b := fleet(4)
	counts := make(map[string]int)
	for range 100 {
		counts[b.Pick(start, "engines", &Work{}, nil).ID]++
	}
	for id, count := range counts {
		require.Equal(t, 25, count, id)
	}
}

// Guards against one endpoint of a plain service that gets two thirds of its requests and answers
// after three times as long as the others. Many routers have a request now and then and find all
// endpoints idle; a tie-break in the same order at all routers leads them to one endpoint.
func TestIdleEndpointsAreChosenInRotation(t *testing.T) {
	b := fleet(3)
	counts := make(map[string]int)
	for range 30 {
		slot := b.Pick(start, "engines", &Work{}, nil)
		counts[slot.ID]++
		slot.End(start, Served)
	}
	for id, count := range counts {
		require.Equal(t, 10, count, id)
	}
}

func TestOnlyReadyEndpointsGetWork(t *testing.T) {
	b := fleet(2)
	leaving := engine(1)
	leaving.State = lister.Leaving
	b.Update(leaving)
	for range 10 {
		require.Equal(t, "i-2", b.Pick(start, "engines", &Work{}, nil).ID)
	}
	gone := engine(2)
	gone.State = lister.Gone
	b.Update(gone)
	require.Nil(t, b.Pick(start, "engines", &Work{}, nil))
	require.Nil(t, fleet(2).Pick(start, "desk", &Work{}, nil))
	require.Nil(t, fleet(1).Pick(start, "engines", &Work{}, func(string) bool { return true }))
}

// Guards against requests that each wait for the timeout of a dead endpoint, which attracts them
// because no request runs there.
func TestFailedEndpointPauses(t *testing.T) {
	b := fleet(2)
	first := b.Pick(start, "engines", &Work{}, nil)
	first.End(start, ConnectionBroken)
	for range 5 {
		require.NotEqual(t, first.ID, b.Pick(start, "engines", &Work{}, nil).ID)
	}
	later := start.Add(initialPause)
	probe := b.Pick(later, "engines", &Work{}, nil)
	require.Equal(t, first.ID, probe.ID, "one request probes the endpoint")
	require.NotEqual(t, first.ID, b.Pick(later, "engines", &Work{}, nil).ID, "only one probe at a time")
	probe.End(later, ConnectionBroken)
	require.NotEqual(t, first.ID, b.Pick(later.Add(initialPause), "engines", &Work{}, nil).ID, "the pause doubles")
	again := b.Pick(later.Add(2*initialPause), "engines", &Work{}, nil)
	require.Equal(t, first.ID, again.ID)
	again.End(later, Served)
	require.Equal(t, first.ID, b.Pick(later, "engines", &Work{}, nil).ID, "it serves again")
}

func TestEndpointThatFailsOftenPauses(t *testing.T) {
	b := fleet(2)
	now := start
	faulty := 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		slot := b.Pick(now, "engines", &Work{}, nil)
		outcome := Served
		if slot.ID == "i-1" {
			outcome = Faulty
			faulty++
		}
		slot.End(now, outcome)
	}
	require.Less(t, faulty, 40)
}

func TestSilentEndpointIsTheLastChoice(t *testing.T) {
	b := fleet(2)
	silent := engine(1)
	silent.Silent = true
	b.Update(silent)
	for range 10 {
		require.Equal(t, "i-2", b.Pick(start, "engines", &Work{}, nil).ID)
	}
	require.Equal(t, "i-1", b.Pick(start, "engines", &Work{}, func(id string) bool { return id == "i-2" }).ID)
}

func TestSlotsAreGivenBackOnce(t *testing.T) {
	b := fleet(1)
	slot := b.Pick(start, "engines", prompt(1, 2), nil)
	require.Equal(t, 1, b.byID["i-1"].own.running)
	slot.NoteResponse(start)
	slot.End(start, Served)
	slot.End(start, Served)
	require.Zero(t, b.byID["i-1"].own.running)
	require.Zero(t, b.byID["i-1"].own.unread)
}

func TestPrefixCacheIsBounded(t *testing.T) {
	var p prefixCache
	for own := range uint64(3 * maxCachedParts) {
		p.add(prompt(own, own+1<<32), 0)
	}
	require.LessOrEqual(t, len(p.byKey), maxCachedParts)
	require.Equal(t, len(p.byKey), p.order.Len())
	p.add(prompt(9, 10), 6000)
	require.LessOrEqual(t, p.tokens, 6000)
	require.Equal(t, 6000, p.cachedTokens(prompt(9, 10)))
	require.Equal(t, 5000, p.cachedTokens(prompt(9, 11)))
	require.Zero(t, p.cachedTokens(&Work{Model: "other", Parts: prompt(9, 10).Parts}))
}

// Guards against a restarted engine that stays idle while requests are refused, or that gets
// requests for a cache that it has lost. The engine crashes while requests run and comes back under
// the same id; their slots are released after the restart and must not affect the state of the new
// lifetime.
func TestRestartResetsTheStateOfAnEndpoint(t *testing.T) {
	b := fleet(1)
	var slots []*Slot
	for own := range uint64(3) {
		slots = append(slots, b.Pick(start, "engines", prompt(1, 10+own), nil))
	}
	slots[0].End(start, ConnectionBroken)
	again := engine(1)
	again.Started = start.Add(time.Second)
	require.NoError(t, slots[1].EndpointLifetime().Err())
	require.True(t, b.Update(again))
	require.Error(t, slots[1].EndpointLifetime().Err(), "the previous lifetime has ended")
	fresh := b.byID["i-1"]
	require.Zero(t, fresh.own.running)
	require.Zero(t, fresh.own.unread)
	require.Zero(t, fresh.cache.cachedTokens(prompt(1, 10)))
	require.True(t, fresh.pausedUntil.IsZero(), "failures of the previous lifetime do not count")
	slot := b.Pick(start.Add(time.Second), "engines", prompt(1, 10), nil)
	require.Equal(t, 6000-int(homeCachedShare*5000), slot.PrefillTokens)
	slots[1].End(start.Add(time.Second), ConnectionBroken)
	slots[2].NoteResponse(start.Add(time.Second))
	slots[2].End(start.Add(time.Second), ConnectFailed)
	require.Equal(t, 1, fresh.own.running)
	require.Equal(t, slot.PrefillTokens, fresh.own.unread)
	require.True(t, fresh.pausedUntil.IsZero())
	require.False(t, b.Update(again))
	require.Same(t, fresh, b.byID["i-1"], "a repeated listing changes nothing")
}

// Guards against requests that wait for four timeouts in a row and are then refused while a zone is
// cut off, because each endpoint of the zone has to fail separately.
func TestZoneThatCannotBeReachedIsTheLastChoice(t *testing.T) {
	b := &Balancer{}
	for i := range 6 {
		e := engine(i + 1)
		e.Zone = []string{"near", "far"}[i%2]
		b.Update(e)
	}
	now := start
	fail := func() string {
		slot := b.Pick(now, "engines", &Work{}, func(id string) bool { return b.byID[id].Zone != "far" })
		slot.End(now, ConnectFailed)
		return slot.ID
	}
	first := fail()
	require.False(t, b.zones["far"].suspect(now), "one failure may be the endpoint's own")
	require.NotEqual(t, first, fail())
	for range 12 {
		require.Equal(t, "near", b.Pick(now, "engines", &Work{}, nil).endpoint.Zone)
	}
	now = now.Add(zonePause)
	probe := b.Pick(now, "engines", &Work{}, nil)
	require.Equal(t, "far", probe.endpoint.Zone)
	probe.End(now, ConnectFailed)
	require.True(t, b.zones["far"].suspect(now), "one more failure is enough")
	now = now.Add(zonePause)
	probe = b.Pick(now, "engines", &Work{}, nil)
	probe.NoteResponse(now)
	require.False(t, b.zones["far"].suspect(now), "it serves again")
}
