package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// largeFleet returns a router's balancer of a large service, with some of the endpoints in the
// router's own zone.
func largeFleet(router uint64, near, far int) *Balancer {
	b := &Balancer{Zone: "here", Seed: router}
	b.SetCacheCapacity("engines", 500_000)
	for i := range near + far {
		e := engine(0)
		e.ID, e.Zone = fmt.Sprint("i-", i), "here"
		if i >= near {
			e.Zone = "there"
		}
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		b.Update(e)
	}
	b.SetSampling(map[string]int{"engines": 2})
	return b
}

// Guards against a choice whose cost grows with the size of the fleet.
func TestLargeServicePricesFewCandidates(t *testing.T) {
	for _, engines := range []int{maxFullScan + 1, 1000, 2000, 10_000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			b := largeFleet(7, engines, 100)
			for own := range uint64(500) {
				work := prompt(own%50, own)
				require.LessOrEqual(t, len(b.shortlist(b.services["engines"], b.home(b.services["engines"], work), work)), randomCandidates+recentEngines+2)
				require.NotNil(t, b.Pick(start, "engines", work, nil))
			}
			largest := 0
			for _, members := range b.services["engines"].zoneRanking {
				largest = max(largest, len(members))
			}
			require.LessOrEqual(t, largest, 2*engines/buckets+10, "few engines are ranked")
		})
	}
}

// Guards against a shortlist that misses the engines that are cheapest for a request. The reference
// is a scan of all engines.
func TestShortlistIsAsGoodAsAFullScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := largeFleet(7, 600, 100)
	worse, choices := 0, 3000
	now := start
	var slots []*Slot
	for own := range uint64(choices) {
		now = now.Add(5 * time.Millisecond)
		work := prompt(random.Uint64N(60), own)
		listed := b.services["engines"]
		least := b.cheapest(now, "engines", listed.all, b.home(listed, work), work, nil)
		chosen := b.choose(now, "engines", work, nil)
		if chosen.price > least.price*1.1 {
			worse++
		}
		slots = append(slots, b.Pick(now, "engines", work, nil))
		if len(slots) > 40 {
			slots[0].NoteResponse(now)
			slots[0].End(now, Served)
			slots = slots[1:]
		}
	}
	require.LessOrEqual(t, worse, choices/100)
}

// Guards against routers that send the same prompt part to different engines, and against an engine
// that is home to many more parts than another.
func TestRoutersOfALargeFleetAgreeOnHomes(t *testing.T) {
	first, second := largeFleet(1, 640, 640), largeFleet(2, 640, 640)
	for i := range 640 {
		gone := engine(0)
		gone.ID, gone.State = fmt.Sprint("i-", 640+i), lister.Gone
		if !Sampled(hashText(gone.ID), 2) {
			second.Update(gone) // a router knows only a sample of the endpoints in other zones
		}
	}
	counts := make(map[string]int)
	for shared := range uint64(6400) {
		a, b := first.home(first.services["engines"], prompt(shared, 1)), second.home(second.services["engines"], prompt(shared, 2))
		require.Equal(t, a.fleet.ID, b.fleet.ID)
		require.Equal(t, a.zone.ID, b.zone.ID)
		require.Equal(t, "here", a.zone.Zone)
		counts[a.fleet.ID]++
		counts["zone "+a.zone.ID]++
	}
	for id, count := range counts {
		require.LessOrEqual(t, count, 80, id)
	}
	first.SetEvacuatedZones(start, []string{"here"})
	home := first.home(first.services["engines"], prompt(1, 1))
	require.Nil(t, home.zone)
	require.Equal(t, "there", first.Pick(start, "engines", prompt(1, 1), nil).endpoint.Zone, "an endpoint of another zone if the own zone is evacuated")
}

// Guards against a service that is treated as sampled when its routers know all endpoints, and vice
// versa.
func TestHomesFollowTheSampling(t *testing.T) {
	b := largeFleet(1, 100, 100)
	listed := b.services["engines"]
	require.NotNil(t, b.home(listed, prompt(1, 1)).zone)
	b.SetSampling(nil)
	home := b.home(listed, prompt(1, 1))
	require.Nil(t, home.zone)
	require.Equal(t, b.highestRanked(listed.all, 1), home.fleet)
	b.SetSampling(map[string]int{"engines": 0})
	require.NotNil(t, b.home(listed, prompt(1, 1)).fleet)
	count := 0
	for _, members := range listed.homeRanking {
		count += len(members)
	}
	require.Equal(t, 200, count)
}

// Guards against a request that finds no endpoint because none of the shortlist is available.
func TestFullScanIfTheShortlistIsUnavailable(t *testing.T) {
	b := largeFleet(7, 500, 0)
	for i := range 499 {
		e := engine(0)
		e.ID, e.Zone, e.State = fmt.Sprint("i-", i), "here", lister.Leaving
		b.Update(e)
	}
	require.Equal(t, "i-499", b.Pick(start, "engines", prompt(1, 1), nil).ID)
}

// Guards against a router that needs a second to load the endpoint list of a large fleet.
func BenchmarkFill(b *testing.B) {
	for _, engines := range []int{100, 1000, 9640} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			for b.Loop() {
				largeFleet(7, engines, 0)
			}
		})
	}
}

// BenchmarkPickLargeService chooses an engine of a large service and releases the slot.
func BenchmarkPickLargeService(b *testing.B) {
	for _, engines := range []int{250, 1000, 9640} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			balancer := largeFleet(7, engines, 0)
			now, own := start, uint64(0)
			for b.Loop() {
				own++
				now = now.Add(3 * time.Millisecond)
				slot := balancer.Pick(now, "engines", prompt(own%400, own), nil)
				slot.NoteResponse(now.Add(80 * time.Millisecond))
				slot.End(now.Add(100*time.Millisecond), Served)
			}
		})
	}
}
