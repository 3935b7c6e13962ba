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

// Symptom: in the second after a loss of all power requests are refused because no endpoint
// takes work, or all go to the few endpoints that have told where they are. Sequence: all
// keepers start again; routers get the configuration from them, and the list of endpoints
// as their heartbeats arrive, over more than a second. Cause: the list was in memory only.
func TestRestartedKeeperKnowsTheEndpoints(t *testing.T) {
	address := freeAddress()
	p := newSeededKeeper(t, "keeper-1", address, []netip.AddrPort{address})
	p.start(t)
	p.served.Beat(endpointAt("a", 4, lister.Ready))
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(p.settings.Data, "endpoints"))
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	p.stop(t)
	p.start(t)
	var news *messenger.FollowResponse
	require.Eventually(t, func() bool {
		var err error
		news, err = p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router"})
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	require.Len(t, news.GetListings(), 1)
	require.Equal(t, "a", news.GetListings()[0].GetId())
}

// Symptom: an endpoint that has said that it leaves gets work again after a restart. Cause:
// a copy of the list was believed where something newer was known.
func TestCopyIsAsGoodAsALateHeartbeat(t *testing.T) {
	ready, leaving := endpointAt("a", 4, lister.Ready), endpointAt("a", 5, lister.Leaving)
	tests := map[string]struct {
		copied, heard lister.Listing
		want          lister.State
	}{
		"it says that it leaves":            {ready, leaving, lister.Leaving},
		"it had said so":                    {leaving, ready, lister.Leaving},
		"it is heard again":                 {ready, endpointAt("a", 9, lister.Ready), lister.Ready},
		"another one has its address since": {ready, endpointAt("b", 1, lister.Ready), lister.Gone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d directory
			d.list.Interval = time.Second
			d.restore(began, []lister.Listing{test.copied})
			d.beat(began.Add(time.Second), test.heard)
			listing, found := d.list.Find("a")
			require.True(t, found)
			require.Equal(t, test.want, listing.State)
			d.pass(began.Add((lister.SilentBeats + 2) * time.Second))
			if listing, found = d.list.Find("a"); found && listing.State == lister.Ready {
				require.True(t, listing.Silent, "what nobody hears is silent as soon as any other")
			}
		})
	}
}

// Symptom: an endpoint that is well again stays the last choice. Sequence: it was silent when
// all keepers lost power, and is heard afterwards. Cause: to routers that follow briefly only
// those are told as well again that were silent before, and the copy was not counted.
func TestSilenceInACopyIsTakenBack(t *testing.T) {
	var d directory
	d.list.Interval = time.Second
	silent := endpointAt("a", 4, lister.Ready)
	silent.Silent = true
	d.restore(began, []lister.Listing{silent})
	request := &messenger.FollowRequest{Node: "r", Brief: true}
	first := d.news(began, request, epoch)
	require.Len(t, first.GetListings(), 1)
	require.True(t, first.GetListings()[0].GetSilent())
	d.beat(began.Add(time.Second), endpointAt("a", 5, lister.Ready))
	request.Epoch, request.After = epoch, first.GetNext()
	require.True(t, d.fresh(request, epoch))
	again := d.news(began, request, epoch)
	require.Len(t, again.GetListings(), 1)
	require.False(t, again.GetListings()[0].GetSilent())
}
