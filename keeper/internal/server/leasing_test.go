package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// lease requests a pool's lease for a holder through a keeper.
func (g *group) lease(p *process, zone, holder string) *messenger.LeaseResponse {
	g.t.Helper()
	answer, err := p.client.Lease(context.Background(), &messenger.LeaseRequest{
		Pool: &messenger.Pool{Zone: zone, Service: "modelli"}, Holder: holder,
	})
	require.NoError(g.t, err)
	return answer
}

// Guards against two schedulers that command the same engines after keepers restart. A
// lease is granted and renewed, its leader stops, all keepers restart, and another holder
// asks for the lease: the grant must not be in memory only, and a new leader must wait as
// long as renewals that it does not know may last.
func TestLeaseOutlivesLeadersAndRestarts(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	require.EqualValues(t, 1, g.lease(g.follower(), "a", "one").GetFence())
	require.EqualValues(t, 2, g.lease(g.follower(), "b", "one").GetFence())
	check := func() {
		t.Helper()
		p := g.follower()
		refused := g.lease(p, "a", "two")
		require.Zero(t, refused.GetFence())
		require.Equal(t, "one", refused.GetHeldBy())
		require.EqualValues(t, 1, g.lease(p, "a", "one").GetFence())
	}
	check()
	leader := g.leader()
	g.stop(leader)
	check()
	g.start(leader)
	g.ready()
	for _, p := range g.processes {
		g.stop(p)
	}
	for _, p := range g.processes {
		g.start(p)
	}
	g.ready()
	check()
	require.EqualValues(t, 3, g.lease(g.follower(), "c", "two").GetFence(), "no fencing number is reused")
}

func TestInvalidLeaseRequestsAreRefused(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]*messenger.LeaseRequest{
		"no holder":     {Pool: &messenger.Pool{Zone: "a", Service: "s"}},
		"no pool":       {Holder: "one"},
		"a long holder": {Pool: &messenger.Pool{Zone: "a", Service: "s"}, Holder: string(make([]byte, maxLeaseNameBytes+1))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Error(t, checkLease(request))
		})
	}
}
