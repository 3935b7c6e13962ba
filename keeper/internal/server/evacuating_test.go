package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// sendOrder sends an order for a zone until it is acknowledged, as operators do.
func sendOrder(t *testing.T, p *seededKeeper, zone string, evacuated bool) {
	t.Helper()
	require.Eventually(t, func() bool { return p.served.SetEvacuated(t.Context(), zone, evacuated) == nil }, waitTimeout, 20*time.Millisecond)
}

// awaitEvacuations polls a keeper until it answers with a revision of the evacuated zones.
func awaitEvacuations(t *testing.T, p *seededKeeper, revision uint64) *messenger.FollowResponse {
	t.Helper()
	var response *messenger.FollowResponse
	require.Eventually(t, func() bool {
		var err error
		response, err = p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router-1", Evacuations: revision - 1, WaitMs: 50})
		return err == nil && response.GetEvacuations() == revision
	}, waitTimeout, 20*time.Millisecond)
	return response
}

// Guards against an acknowledged order for a zone that does not reach the followers of another
// keeper, is undone by a delayed older order, or is lost when all keepers restart.
func TestZoneOrdersSurviveRestart(t *testing.T) {
	group := startSeededGroup(t, 3)
	for _, p := range group {
		p.settings.Platform.Zones = map[string]string{"hall": "here", "barn": "here"}
	}
	sendOrder(t, group[0], "hall", true)
	sendOrder(t, group[1], "hall", true)
	require.Equal(t, []string{"hall"}, awaitEvacuations(t, group[2], 1).GetEvacuated(), "an order that is repeated at another keeper changes nothing")
	sendOrder(t, group[2], "barn", true)
	for _, p := range group {
		require.Equal(t, []string{"barn", "hall"}, awaitEvacuations(t, p, 2).GetEvacuated())
	}
	sendOrder(t, group[0], "hall", false)
	require.Equal(t, []string{"barn"}, awaitEvacuations(t, group[1], 3).GetEvacuated())

	late := &messenger.EvacuationOrder{Zone: "hall", Evacuated: true} // based on the state before all other orders
	answer, err := group[1].planning.Evacuate(t.Context(), late)
	require.NoError(t, err)
	require.True(t, answer.GetOvertaken())
	_, err = group[1].planning.Evacuate(t.Context(), &messenger.EvacuationOrder{})
	require.Error(t, err, "an order without a zone")

	for _, p := range group {
		p.stop(t)
	}
	for _, p := range group {
		p.settings.Bootstrap = false
		p.start(t)
	}
	for _, p := range group {
		require.Equal(t, []string{"barn"}, awaitEvacuations(t, p, 3).GetEvacuated())
	}
}

// Guards against an order that is accepted for a zone that neither the platform nor an endpoint
// names, or that is acknowledged without a quorum.
func TestInvalidZoneOrdersAreRefused(t *testing.T) {
	group := startSeededGroup(t, 3)
	p := group[0]
	p.settings.Platform.Zones = map[string]string{"hall": "here"}
	sendOrder(t, p, "hall", true)
	var known twirp.Error
	require.ErrorAs(t, p.served.SetEvacuated(t.Context(), "loft", true), &known)
	require.Equal(t, twirp.NotFound, known.Code())
	listing := endpointAt("a", 1, lister.Ready)
	listing.Zone = "loft"
	heartbeat(t, p.served, listing)
	sendOrder(t, p, "loft", true)

	group[1].stop(t)
	group[2].stop(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.Error(t, p.served.SetEvacuated(ctx, "hall", false))
}

// Guards against a cold endpoint that several routers of a keeper send to, and against a cold
// endpoint that no router may send to: the keeper leases its part to exactly one of the routers
// that report to it.
func TestPartOfAColdEndpointGoesToOneRouter(t *testing.T) {
	group := startSeededGroup(t, 1)
	p := group[0]
	submit(t, p.served, version(1, "desk=17"))
	require.Eventually(t, func() bool { return p.served.(planning).view.Load().plan.GetVersion() == 1 }, waitTimeout, 20*time.Millisecond)
	cold := endpointAt("a", 1, lister.Ready)
	cold.ColdUntil = time.Now().Add(time.Hour)
	heartbeat(t, p.served, cold)
	poll := func(router string, brief bool) *messenger.FollowResponse {
		response, err := p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: router, Brief: brief})
		require.NoError(t, err)
		return response
	}
	var holder string
	require.Eventually(t, func() bool {
		for _, router := range []string{"router-1", "router-2", "router-3"} {
			response := poll(router, false)
			require.LessOrEqual(t, response.GetListings()[0].GetColdMs(), uint32(time.Minute/time.Millisecond), "the cold time is bounded by the service's cold start time")
			if rations := response.GetRations(); len(rations) > 0 {
				holder = router
				require.Equal(t, balancer.Key(cold), rations[0].GetEndpoint())
				require.EqualValues(t, 59, rations[0].GetPauseMs())
			}
		}
		return holder != ""
	}, waitTimeout, 20*time.Millisecond)
	for _, router := range []string{"router-1", "router-2", "router-3"} {
		require.Equal(t, router == holder, len(poll(router, false).GetRations()) == 1, router)
	}
	require.Empty(t, poll(holder, true).GetRations(), "a router that follows briefly reports to another keeper")
}

// Guards against all routers sending at once to the endpoints of a zone whose evacuation ends:
// the endpoints may be cold and have not reported it yet.
func TestEndpointsOfReturnedZoneAreCold(t *testing.T) {
	group := startSeededGroup(t, 1)
	p := group[0]
	submit(t, p.served, version(1, "desk=17"))
	require.Eventually(t, func() bool { return p.served.(planning).view.Load().plan.GetVersion() == 1 }, waitTimeout, 20*time.Millisecond)
	heartbeat(t, p.served, endpointAt("a", 1, lister.Ready))
	require.Zero(t, awaitEvacuations(t, p, 0).GetListings()[0].GetColdMs())
	sendOrder(t, p, "zone", true)
	awaitEvacuations(t, p, 1)
	sendOrder(t, p, "zone", false)
	require.NotZero(t, awaitEvacuations(t, p, 2).GetListings()[0].GetColdMs())
}
