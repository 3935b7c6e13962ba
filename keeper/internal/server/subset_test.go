package server

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// addEndpoints adds endpoints of a service to a directory, evenly distributed over zones.
func addEndpoints(d *directory, service string, count, zones int) {
	d.list.Interval = time.Second
	for i := range count {
		listing := endpointAt(fmt.Sprint(service, "-", i), 1, lister.Ready)
		listing.Service, listing.Zone = service, fmt.Sprint("zone-", i%zones)
		listing.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(service)), byte(i >> 8), byte(i)}), 80)
		d.receiveHeartbeat(testStart, listing)
	}
	d.expire(testStart)
}

// Guards against routers that each hold the whole fleet: the endpoints that a router receives grow
// with its own zone only, and those of other zones suffice if its zone is lost.
func TestRouterReceivesItsZoneAndASample(t *testing.T) {
	const zones = 5
	for name, test := range map[string]struct{ endpoints, least, most int }{
		"small fleet":       {100, 80, 80},
		"largest unsampled": {2*sampleSize - 1, (2*sampleSize - 1) * 4 / 5, (2*sampleSize-1)*4/5 + 1},
		"1000 endpoints":    {1000, 800, 800},
		"3000 endpoints":    {3000, homeSampleSize / 2, 2*homeSampleSize + 2*sampleSize},
		"9640 endpoints":    {9640, homeSampleSize / 2, 2*homeSampleSize + 2*sampleSize},
		"19280 endpoints":   {19_280, homeSampleSize / 2, 2*homeSampleSize + 2*sampleSize},
	} {
		t.Run(name, func(t *testing.T) {
			var d directory
			addEndpoints(&d, "models", test.endpoints, zones)
			samples := make(map[string]int)
			for i := range 20 {
				request := &messenger.FollowRequest{Node: fmt.Sprint("router-", i), Zone: "zone-1"}
				near, far := 0, 0
				for _, listing := range d.updatesFor(testStart, request, epoch).GetListings() {
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
			require.Len(t, d.updatesFor(testStart, &messenger.FollowRequest{Keeper: true}, epoch).GetListings(), test.endpoints, "keepers receive all endpoints")
		})
	}
}

// Guards against a router that keeps sending to an endpoint outside its subset after it has left.
func TestLeavingIsSentOutsideTheSubset(t *testing.T) {
	var d directory
	addEndpoints(&d, "models", 2000, 5)
	after := d.list.Revision()
	request := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch, After: after}
	require.False(t, d.hasFollowUpdate(request, epoch))
	d.leave(testStart, "models-7", time.Time{})
	require.True(t, d.hasFollowUpdate(request, epoch))
	require.Len(t, d.updatesFor(testStart, request, epoch).GetListings(), 1)
	brief := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch, After: after, Brief: true}
	require.Len(t, d.updatesFor(testStart, brief, epoch).GetListings(), 1)
}

// Guards against routers that know almost no endpoint after most of a fleet has gone: the larger
// sample of the remaining endpoints is sent again.
func TestSampleGrowsWhereTheFleetShrinks(t *testing.T) {
	var d directory
	addEndpoints(&d, "models", 9000, 5)
	request := &messenger.FollowRequest{Node: "router", Zone: "elsewhere", Epoch: epoch}
	known := len(d.updatesFor(testStart, request, epoch).GetListings())
	request.After = d.list.Revision()
	for i := range 8900 {
		d.leave(testStart, fmt.Sprint("models-", i), time.Time{})
	}
	require.True(t, d.expire(testStart))
	received := make(map[string]bool)
	for _, listing := range d.updatesFor(testStart, request, epoch).GetListings() {
		if listing.GetState() == uint32(lister.Ready) {
			received[listing.GetId()] = true
		}
	}
	require.LessOrEqual(t, known, 2*homeSampleSize+2*sampleSize)
	require.Len(t, received, 100, "all remaining endpoints")
	require.False(t, d.expire(testStart), "once")
}

// Guards against routers that each receive the whole fleet after a zone was cut off for a while:
// for the zone's keepers the endpoints of all other zones become silent, and recover afterwards.
func TestSilenceIsSentForSubsetOnly(t *testing.T) {
	var d directory
	addEndpoints(&d, "models", 9000, 5)
	request := &messenger.FollowRequest{Node: "router", Zone: "zone-1", Epoch: epoch, After: d.list.Revision()}
	brief := &messenger.FollowRequest{Node: "router", Zone: "zone-1", Epoch: epoch, After: d.list.Revision(), Brief: true}
	later := testStart.Add((lister.SilentHeartbeats + 1) * time.Second)
	require.True(t, d.expire(later), "all endpoints become silent")
	for _, poll := range []*messenger.FollowRequest{request, brief} {
		received := len(d.updatesFor(later, poll, epoch).GetListings())
		require.Greater(t, received, 1800)
		require.LessOrEqual(t, received, 1800+2*homeSampleSize+2*sampleSize)
	}
}

// Guards against routers that receive different home samples of a large service, and therefore send
// the same prompts to different engines.
func TestAllRoutersReceiveSameHomeSample(t *testing.T) {
	var d directory
	addEndpoints(&d, "models", 9640, 5)
	addEndpoints(&d, "desk", 200, 5)
	homes := func(router, zone string) (ids []string) {
		response := d.updatesFor(testStart, &messenger.FollowRequest{Node: router, Zone: zone}, epoch)
		require.Len(t, response.GetHomes(), 1, "the small service is not sampled")
		for _, listing := range response.GetListings() {
			if listing.GetService() == "models" && balancer.Sampled(xxhash.Sum64String(listing.GetId()), int(response.GetHomes()[0].GetShift())) {
				ids = append(ids, listing.GetId())
			}
		}
		return ids
	}
	first := homes("router-1", "zone-1")
	require.Equal(t, first, homes("router-2", "zone-4"))
	require.GreaterOrEqual(t, len(first), homeSampleSize*8/10)
	require.LessOrEqual(t, len(first), 2*homeSampleSize)
}
