package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against a serving endpoint that gets no work until it restarts because another process
// announces an instance of a service that is not configured, at the endpoint's address.
func TestOnlyConfiguredServicesAreListed(t *testing.T) {
	group := startSeededGroup(t, 1)
	p := group[0].served
	listed := func(id string) lister.State {
		d := &p.(planning).directory
		d.lock.Lock()
		defer d.lock.Unlock()
		listing, _ := d.list.Find(id)
		return listing.State
	}
	other := endpointAt("x", 1, lister.Ready)
	other.Service = "nobody's"
	heartbeat(t, p, other)
	require.Equal(t, lister.Ready, listed("x"), "without a configuration, all services are accepted")
	leave(t, p, "x", other.Started)

	submit(t, p, version(1, "desk lounge"))
	require.Eventually(t, func() bool { return p.(planning).view.Load().plan.GetVersion() == 1 }, waitTimeout, 20*time.Millisecond)
	heartbeat(t, p, endpointAt("a", 1, lister.Ready))
	forged := endpointAt("y", 1, lister.Ready)
	forged.Service = "nobody's"
	heartbeat(t, p, forged)
	forged.ID = "a"
	forged.Sequence = 9
	forged.State = lister.Leaving
	heartbeat(t, p, forged)
	require.Equal(t, lister.Ready, listed("a"))
	require.Zero(t, listed("y"))

	lounge := endpointAt("b", 1, lister.Ready)
	lounge.Service = "lounge"
	lounge.Address = netip.MustParseAddrPort("10.0.0.10:80")
	heartbeat(t, p, lounge)
	submit(t, p, version(2, "desk"))
	require.Eventually(t, func() bool { return p.(planning).view.Load().plan.GetVersion() == 2 }, waitTimeout, 20*time.Millisecond)
	lounge.Sequence, lounge.State = 2, lister.Leaving
	heartbeat(t, p, lounge)
	require.Equal(t, lister.Leaving, listed("b"), "a listed endpoint may always announce that it leaves")
}

// Guards against a leaving that is acknowledged and told to nobody: the keeper has just started, with an empty list and
// an older configuration that lacks the service of the endpoint, and others list it as ready.
func TestLeavingOfAnUnknownServiceIsAcknowledgedOnlyWhereItIsListed(t *testing.T) {
	group := startSeededGroup(t, 3)
	submit(t, group[0].served, version(1, "desk lounge"))
	lounge := endpointAt("b", 1, lister.Ready)
	lounge.Service = "lounge"
	heartbeat(t, group[0].served, lounge)
	require.Eventually(t, func() bool { return listedAt(t, group[1], "b") == lister.Ready }, waitTimeout, 20*time.Millisecond)
	submit(t, group[0].served, version(2, "desk"))
	for _, p := range group {
		require.Eventually(t, func() bool {
			return p.served.(planning).view.Load().plan.GetVersion() == 2
		}, waitTimeout, 20*time.Millisecond)
	}
	fresh := &group[2].served.(planning).directory
	fresh.lock.Lock()
	fresh.list = lister.List{Interval: time.Hour} // as after a start without a copy; no other keeper sends it again
	fresh.lock.Unlock()
	lounge.Sequence, lounge.State = 2, lister.Leaving
	require.ErrorContains(t, group[2].served.ReceiveHeartbeat(t.Context(), lounge), ErrUnlisted.Error())
	require.NoError(t, group[1].served.ReceiveHeartbeat(t.Context(), lounge), "another keeper lists it")
	require.Eventually(t, func() bool { return listedAt(t, group[0], "b") == lister.Leaving }, waitTimeout, 20*time.Millisecond)
	lounge.Sequence, lounge.State = 3, lister.Ready
	require.NoError(t, group[2].served.ReceiveHeartbeat(t.Context(), lounge), "a heartbeat of an unknown service is left out")
}
