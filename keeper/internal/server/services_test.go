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
