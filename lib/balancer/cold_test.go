package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
)

var keeper = netip.MustParseAddrPort("10.0.0.1:7")

// inZones is a fleet of which every other engine is in the barn.
func inZones(count int) *Balancer {
	b := fleet(0)
	b.Cold("engines", resolver.Cold{Rate: 17, Length: 3 * time.Second})
	for i := range count {
		listing := engine(i + 1)
		listing.Zone = []string{"hall", "barn"}[i%2]
		b.Update(listing)
	}
	return b
}

// picked tells how many of so many requests go to each zone; "" is none.
func picked(b *Balancer, now time.Time, count int) map[string]int {
	zones := make(map[string]int)
	for own := range uint64(count) {
		slot := b.Pick(now, "engines", prompt(1, 100+own), nil)
		if slot == nil {
			zones[""]++
			continue
		}
		zones[slot.endpoint.Zone]++
		slot.End(now, Served)
	}
	return zones
}

// Guards against work that reaches endpoints of a zone that operators have emptied.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	b := inZones(6)
	b.Evacuate(start, []string{"barn"})
	require.Equal(t, map[string]int{"hall": 50}, picked(b, start, 50))
	b.Update(func() lister.Listing { l := engine(9); l.Zone = "barn"; return l }())
	require.Equal(t, map[string]int{"hall": 50}, picked(b, start, 50), "a new endpoint of the zone neither")
	b.Evacuate(start, []string{"barn", "hall"})
	require.Equal(t, map[string]int{"": 50}, picked(b, start, 50), "the client is told at once")
	b.Evacuate(start, nil)
	require.Equal(t, map[string]int{"": 50}, picked(b, start, 50), "both zones may be cold")
	require.Zero(t, picked(b, start.Add(3*time.Second), 50)[""])
}

// Guards against every router sending to an endpoint that bears few requests: only leases
// allow it, and only as many as they tell.
func TestColdEndpointTakesWorkUnderALeaseOnly(t *testing.T) {
	b := inZones(0)
	cold := engine(1)
	cold.Zone = "hall"
	cold.ColdUntil = start.Add(3 * time.Second)
	b.Update(cold)
	now := start
	require.Equal(t, map[string]int{"": 5}, picked(b, now, 5))
	lease := []Ration{{Endpoint: Key(cold), Pause: 350 * time.Millisecond, Term: 1500 * time.Millisecond}}
	b.Take(now, now, keeper, lease)
	require.Equal(t, map[string]int{"": 5}, picked(b, now, 5), "who had the lease before may have sent only just")
	now = now.Add(350 * time.Millisecond)
	require.Equal(t, 4, picked(b, now, 5)[""])
	require.Equal(t, map[string]int{"": 5}, picked(b, start.Add(1500*time.Millisecond), 5), "it is over")

	shorter := cold
	shorter.ColdUntil, shorter.Sequence = time.Time{}, 5
	b.Update(shorter)
	require.Equal(t, map[string]int{"": 5}, picked(b, now, 5), "a late heartbeat from before it was cold")
	require.Zero(t, picked(b, cold.ColdUntil, 5)[""])
	b.Cold("engines", resolver.Cold{})
	b.Update(cold)
	require.Zero(t, picked(b, now, 5)[""], "the service bears any number")
}

// Guards against leases of a life that is over.
func TestLeasesAreOfOneLife(t *testing.T) {
	b := inZones(0)
	cold := engine(1)
	cold.Zone = "hall"
	cold.ColdUntil, cold.Started = start.Add(3*time.Second), time.UnixMilli(1)
	b.Update(cold)
	b.Take(start, start, keeper, []Ration{{Endpoint: Key(cold), Pause: time.Millisecond, Term: time.Second}})
	later := start.Add(10 * time.Millisecond)
	require.Zero(t, picked(b, later, 1)[""])
	cold.Started = time.UnixMilli(2)
	b.Update(cold)
	require.Equal(t, 1, picked(b, later.Add(10*time.Millisecond), 1)[""])
}
