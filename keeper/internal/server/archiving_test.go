package server

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// Guards against requests that are refused, or that all go to a few endpoints, in the second
// after a power loss of the whole fleet. If the list of endpoints is in memory only, restarted
// keepers give routers the configuration at once, but learn the endpoints from heartbeats that
// arrive over more than a second.
func TestRestartedKeeperServesEndpointsFromCopy(t *testing.T) {
	address := freeAddress()
	p := newSeededKeeper(t, "keeper-1", address, []netip.AddrPort{address})
	p.start(t)
	heartbeat(t, p.served, endpointAt("a", 4, lister.Ready))
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(p.settings.Data, "endpoints"))
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	p.stop(t)
	p.start(t)
	var response *messenger.FollowResponse
	require.Eventually(t, func() bool {
		var err error
		response, err = p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router"})
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	require.Len(t, response.GetListings(), 1)
	require.Equal(t, "a", response.GetListings()[0].GetId())
}

// Guards against a leaving endpoint that gets work again after a keeper restart because the
// copy of the list overrides a newer heartbeat.
func TestNewerHeartbeatOverridesCopy(t *testing.T) {
	ready, leaving := endpointAt("a", 4, lister.Ready), endpointAt("a", 5, lister.Leaving)
	tests := map[string]struct {
		copied, received lister.Listing
		want             lister.State
	}{
		"leaves after the copy":          {ready, leaving, lister.Leaving},
		"left before the copy":           {leaving, ready, lister.Leaving},
		"sends a newer heartbeat":        {ready, endpointAt("a", 9, lister.Ready), lister.Ready},
		"address taken by another since": {ready, endpointAt("b", 1, lister.Ready), lister.Gone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d directory
			d.list.Interval = time.Second
			d.restore(testStart, []lister.Listing{test.copied})
			d.receiveHeartbeat(testStart.Add(time.Second), test.received)
			listing, found := d.list.Find("a")
			require.True(t, found)
			require.Equal(t, test.want, listing.State)
			d.expire(testStart.Add((lister.SilentHeartbeats + 2) * time.Second))
			if listing, found = d.list.Find("a"); found && listing.State == lister.Ready {
				require.True(t, listing.Silent, "a restored endpoint without heartbeats becomes silent as soon as any other")
			}
		})
	}
}

// Guards against a recovered endpoint that stays the last choice of routers. It was silent when
// all keepers lost power, and sends heartbeats again afterwards. Routers that follow briefly
// receive a recovery only of endpoints that were silent before, so silence that was restored
// from the copy must count.
func TestRecoveryFromRestoredSilenceIsSent(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	silent := endpointAt("a", 4, lister.Ready)
	silent.Silent = true
	d.restore(testStart, []lister.Listing{silent})
	request := &messenger.FollowRequest{Node: "r", Brief: true}
	first := d.updatesFor(testStart, request, epoch)
	require.Len(t, first.GetListings(), 1)
	require.True(t, first.GetListings()[0].GetSilent())
	d.receiveHeartbeat(testStart.Add(time.Second), endpointAt("a", 5, lister.Ready))
	request.Epoch, request.After = epoch, first.GetNext()
	require.True(t, d.hasFollowUpdate(request, epoch))
	again := d.updatesFor(testStart, request, epoch)
	require.Len(t, again.GetListings(), 1)
	require.False(t, again.GetListings()[0].GetSilent())
}

// Guards against crashes that a planned stop forgets because their copy was to be written a moment later.
func TestPlannedStopKeepsTheLatestCrashes(t *testing.T) {
	address := freeAddress()
	p := newSeededKeeper(t, "keeper-1", address, []netip.AddrPort{address})
	for lifetime := range uint64(3) {
		p.start(t)
		crash := []*messenger.Crash{{Endpoint: lifetime, Service: 1, Features: []uint64{badFeature}}}
		require.Eventually(t, func() bool {
			_, err := p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router", Crashes: crash})
			return err == nil
		}, waitTimeout, 20*time.Millisecond)
		p.stop(t)
	}
	p.start(t)
	require.Eventually(t, func() bool {
		response, err := p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "another"})
		return err == nil && len(response.GetQuarantined()) == 1
	}, waitTimeout, 20*time.Millisecond)
}
