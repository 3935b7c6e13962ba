package server

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// spread fills a directory with endpoints of a service, evenly over zones.
func spread(d *directory, service string, count, zones int) {
	d.list.Interval = time.Second
	for i := range count {
		listing := endpointAt(fmt.Sprint(service, "-", i), 1, lister.Ready)
		listing.Service, listing.Zone = service, fmt.Sprint("zone-", i%zones)
		listing.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(service)), byte(i >> 8), byte(i)}), 80)
		d.beat(began, listing)
	}
	d.pass(began)
}

// Guards against routers that each hold the whole fleet: what one is told grows with its own
// zone, and elsewhere is enough for the loss of that zone.
func TestRouterIsToldOfItsZoneAndASample(t *testing.T) {
	const zones = 5
	for name, test := range map[string]struct{ endpoints, least, most int }{
		"a small fleet":    {100, 80, 80},
		"the largest such": {2*sampled - 1, (2*sampled - 1) * 4 / 5, (2*sampled-1)*4/5 + 1},
		"a thousand":       {1000, sampled / 2, 2 * sampled},
		"ten thousand":     {9640, sampled / 2, 2 * sampled},
		"twice as many":    {19_280, sampled / 2, 2 * sampled},
	} {
		t.Run(name, func(t *testing.T) {
			var d directory
			spread(&d, "models", test.endpoints, zones)
			samples := make(map[string]int)
			for i := range 20 {
				request := &messenger.FollowRequest{Node: fmt.Sprint("router-", i), Zone: "zone-1"}
				near, far := 0, 0
				for _, listing := range d.news(began, request, epoch).GetListings() {
					if listing.GetZone() == "zone-1" {
						near++
						continue
					}
					far++
					samples[listing.GetId()]++
				}
				require.InDelta(t, test.endpoints/zones, near, 1)
				require.GreaterOrEqual(t, far, test.least)
				require.LessOrEqual(t, far, test.most)
			}
			require.Len(t, d.news(began, &messenger.FollowRequest{Keeper: true}, epoch).GetListings(), test.endpoints, "keepers hear of all")
		})
	}
}

// Guards against a router that takes an endpoint of its sample for well when it has left.
func TestLeavingIsToldOutsideOfTheSubsetToo(t *testing.T) {
	var d directory
	spread(&d, "models", 2000, 5)
	after := d.list.Revision()
	request := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch, After: after}
	require.False(t, d.fresh(request, epoch))
	d.leave(began, "models-7", time.Time{})
	require.True(t, d.fresh(request, epoch))
	require.Len(t, d.news(began, request, epoch).GetListings(), 1)
	brief := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch, After: after, Brief: true}
	require.Len(t, d.news(began, brief, epoch).GetListings(), 1)
}

// Guards against routers that know next to nobody after most of a fleet has gone: the sample of
// what is left is told anew.
func TestSampleGrowsWhereTheFleetShrinks(t *testing.T) {
	var d directory
	spread(&d, "models", 4000, 5)
	request := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch}
	known := len(d.news(began, request, epoch).GetListings())
	request.After = d.list.Revision()
	for i := range 3900 {
		d.leave(began, fmt.Sprint("models-", i), time.Time{})
	}
	require.True(t, d.pass(began))
	told := make(map[string]bool)
	for _, listing := range d.news(began, request, epoch).GetListings() {
		if listing.GetState() == uint32(lister.Ready) {
			told[listing.GetId()] = true
		}
	}
	require.LessOrEqual(t, known, 2*sampled)
	require.Len(t, told, 100, "all that are left")
	require.False(t, d.pass(began), "once")
}

// Guards against routers that are each told of the whole fleet when a zone has been cut off for a
// while: to its keepers all others' endpoints are silent, and then they are not.
func TestSilenceIsToldOfTheSubsetOnly(t *testing.T) {
	var d directory
	spread(&d, "models", 4000, 5)
	request := &messenger.FollowRequest{Node: "router", Zone: "zone-1", Epoch: epoch, After: d.list.Revision()}
	brief := &messenger.FollowRequest{Node: "router", Zone: "zone-1", Epoch: epoch, After: d.list.Revision(), Brief: true}
	later := began.Add((lister.SilentBeats + 1) * time.Second)
	require.True(t, d.pass(later), "all are silent")
	for _, asked := range []*messenger.FollowRequest{request, brief} {
		told := len(d.news(later, asked, epoch).GetListings())
		require.Greater(t, told, 800)
		require.LessOrEqual(t, told, 800+2*sampled)
	}
}
