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

// order sends an order for a zone until it is acknowledged, as operators do.
func order(t *testing.T, p *seededKeeper, zone string, evacuated bool) {
	t.Helper()
	require.Eventually(t, func() bool { return p.served.SetEvacuated(t.Context(), zone, evacuated) == nil }, waitTimeout, 20*time.Millisecond)
}

// news asks a keeper until it tells of a revision of the evacuated zones.
func news(t *testing.T, p *seededKeeper, revision uint64) *messenger.FollowResponse {
	t.Helper()
	var told *messenger.FollowResponse
	require.Eventually(t, func() bool {
		var err error
		told, err = p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router-1", Evacuations: revision - 1, WaitMs: 50})
		return err == nil && told.GetEvacuations() == revision
	}, waitTimeout, 20*time.Millisecond)
	return told
}

// Guards against an acknowledged order for a zone that is not told to those who follow another
// keeper, is undone by a late one, or is gone after all keepers have started again.
func TestOrdersForZonesLast(t *testing.T) {
	group := startSeededGroup(t, 3)
	for _, p := range group {
		p.settings.Platform.Zones = map[string]string{"hall": "here", "barn": "here"}
	}
	order(t, group[0], "hall", true)
	order(t, group[1], "hall", true)
	require.Equal(t, []string{"hall"}, news(t, group[2], 1).GetEvacuated(), "sent again to another keeper it changes nothing")
	order(t, group[2], "barn", true)
	for _, p := range group {
		require.Equal(t, []string{"barn", "hall"}, news(t, p, 2).GetEvacuated())
	}
	order(t, group[0], "hall", false)
	require.Equal(t, []string{"barn"}, news(t, group[1], 3).GetEvacuated())

	late := &messenger.EvacuationOrder{Zone: "hall", Evacuated: true} // as it arrived before all this
	answer, err := group[1].planning.Evacuate(t.Context(), late)
	require.NoError(t, err)
	require.True(t, answer.GetOvertaken())
	_, err = group[1].planning.Evacuate(t.Context(), &messenger.EvacuationOrder{})
	require.Error(t, err, "of no zone")

	for _, p := range group {
		p.stop(t)
	}
	for _, p := range group {
		p.settings.Bootstrap = false
		p.start(t)
	}
	for _, p := range group {
		require.Equal(t, []string{"barn"}, news(t, p, 3).GetEvacuated())
	}
}

// Guards against an order that is taken for a zone that nobody has, or that is acknowledged
// without a quorum.
func TestOrdersThatAreRefused(t *testing.T) {
	group := startSeededGroup(t, 3)
	p := group[0]
	p.settings.Platform.Zones = map[string]string{"hall": "here"}
	order(t, p, "hall", true)
	var known twirp.Error
	require.ErrorAs(t, p.served.SetEvacuated(t.Context(), "loft", true), &known)
	require.Equal(t, twirp.NotFound, known.Code())
	listing := endpointAt("a", 1, lister.Ready)
	listing.Zone = "loft"
	p.served.Beat(listing)
	order(t, p, "loft", true)

	group[1].stop(t)
	group[2].stop(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.Error(t, p.served.SetEvacuated(ctx, "hall", false))
}

// Guards against a cold endpoint that more than one of a keeper's routers send to, and against
// one that none may: the keeper's part goes to one router that reports to it.
func TestPartOfAColdEndpointGoesToOneRouter(t *testing.T) {
	group := startSeededGroup(t, 1)
	p := group[0]
	submit(t, p.served, version(1, "desk=17"))
	require.Eventually(t, func() bool { return p.served.(planning).view.Load().plan.GetVersion() == 1 }, waitTimeout, 20*time.Millisecond)
	cold := endpointAt("a", 1, lister.Ready)
	cold.ColdUntil = time.Now().Add(time.Hour)
	p.served.Beat(cold)
	ask := func(router string, brief bool) *messenger.FollowResponse {
		told, err := p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: router, Brief: brief})
		require.NoError(t, err)
		return told
	}
	var holder string
	require.Eventually(t, func() bool {
		for _, router := range []string{"router-1", "router-2", "router-3"} {
			told := ask(router, false)
			require.LessOrEqual(t, told.GetListings()[0].GetColdMs(), uint32(time.Minute/time.Millisecond), "no longer than its service needs")
			if rations := told.GetRations(); len(rations) > 0 {
				holder = router
				require.Equal(t, balancer.Key(cold), rations[0].GetEndpoint())
				require.EqualValues(t, 59, rations[0].GetPauseMs())
			}
		}
		return holder != ""
	}, waitTimeout, 20*time.Millisecond)
	for _, router := range []string{"router-1", "router-2", "router-3"} {
		require.Equal(t, router == holder, len(ask(router, false).GetRations()) == 1, router)
	}
	require.Empty(t, ask(holder, true).GetRations(), "it reports to another keeper now")
}

// Guards against all routers sending at once to the endpoints of a zone that is taken back:
// they may be cold and have not said so.
func TestEndpointsOfAZoneThatIsTakenBackAreCold(t *testing.T) {
	group := startSeededGroup(t, 1)
	p := group[0]
	submit(t, p.served, version(1, "desk=17"))
	require.Eventually(t, func() bool { return p.served.(planning).view.Load().plan.GetVersion() == 1 }, waitTimeout, 20*time.Millisecond)
	p.served.Beat(endpointAt("a", 1, lister.Ready))
	require.Zero(t, news(t, p, 0).GetListings()[0].GetColdMs())
	order(t, p, "zone", true)
	news(t, p, 1)
	order(t, p, "zone", false)
	require.NotZero(t, news(t, p, 2).GetListings()[0].GetColdMs())
}
