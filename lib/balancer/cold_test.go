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

// fleetInTwoZones returns a fleet of engines that alternate between the zones hall and barn.
func fleetInTwoZones(count int) *Balancer {
	b := fleet(0)
	b.SetColdLimit("engines", resolver.Cold{Rate: 17, Length: 3 * time.Second})
	for i := range count {
		listing := engine(i + 1)
		listing.Zone = []string{"hall", "barn"}[i%2]
		b.Update(listing)
	}
	return b
}

// picksByZone returns how many of count requests go to each zone; "" counts requests without an
// endpoint.
func picksByZone(b *Balancer, now time.Time, count int) map[string]int {
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

// Guards against requests that reach endpoints of a zone that operators have evacuated.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	b := fleetInTwoZones(6)
	b.SetEvacuatedZones(start, []string{"barn"})
	require.Equal(t, map[string]int{"hall": 50}, picksByZone(b, start, 50))
	b.Update(func() lister.Listing { l := engine(9); l.Zone = "barn"; return l }())
	require.Equal(t, map[string]int{"hall": 50}, picksByZone(b, start, 50), "nor does a new endpoint of the zone")
	b.SetEvacuatedZones(start, []string{"barn", "hall"})
	require.Equal(t, map[string]int{"": 50}, picksByZone(b, start, 50), "no endpoint is picked")
	b.SetEvacuatedZones(start, nil)
	require.Equal(t, map[string]int{"": 50}, picksByZone(b, start, 50), "both zones may be cold")
	require.Zero(t, picksByZone(b, start.Add(3*time.Second), 50)[""])
}

// Guards against all routers sending to a cold endpoint that sustains few requests: requests need a
// lease, and their rate is limited by it.
func TestColdEndpointTakesWorkUnderALeaseOnly(t *testing.T) {
	b := fleetInTwoZones(0)
	cold := engine(1)
	cold.Zone = "hall"
	cold.ColdUntil = start.Add(3 * time.Second)
	b.Update(cold)
	now := start
	require.Equal(t, map[string]int{"": 5}, picksByZone(b, now, 5))
	lease := []Ration{{Endpoint: Key(cold), Pause: 350 * time.Millisecond, Term: 1500 * time.Millisecond}}
	b.TakeLeases(now, now, keeper, lease)
	require.Equal(t, map[string]int{"": 5}, picksByZone(b, now, 5), "the previous lease holder may have just sent a request")
	now = now.Add(350 * time.Millisecond)
	require.Equal(t, 4, picksByZone(b, now, 5)[""])
	require.Equal(t, map[string]int{"": 5}, picksByZone(b, start.Add(1500*time.Millisecond), 5), "the lease has expired")

	shorter := cold
	shorter.ColdUntil, shorter.Sequence = time.Time{}, 5
	b.Update(shorter)
	require.Equal(t, map[string]int{"": 5}, picksByZone(b, now, 5), "a delayed heartbeat from before it was cold")
	require.Zero(t, picksByZone(b, cold.ColdUntil, 5)[""])
	b.SetColdLimit("engines", resolver.Cold{})
	b.Update(cold)
	require.Zero(t, picksByZone(b, now, 5)[""], "the service has no cold limit")
}

// Guards against leases that outlive a restart of their endpoint.
func TestLeasesEndWithARestart(t *testing.T) {
	b := fleetInTwoZones(0)
	cold := engine(1)
	cold.Zone = "hall"
	cold.ColdUntil, cold.Started = start.Add(3*time.Second), time.UnixMilli(1)
	b.Update(cold)
	b.TakeLeases(start, start, keeper, []Ration{{Endpoint: Key(cold), Pause: time.Millisecond, Term: time.Second}})
	later := start.Add(10 * time.Millisecond)
	require.Zero(t, picksByZone(b, later, 1)[""])
	cold.Started = time.UnixMilli(2)
	b.Update(cold)
	require.Equal(t, 1, picksByZone(b, later.Add(10*time.Millisecond), 1)[""])
}
