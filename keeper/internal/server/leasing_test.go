package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

func (g *group) lease(p *process, zone, holder string) *messenger.LeaseResponse {
	g.t.Helper()
	answer, err := p.client.Lease(context.Background(), &messenger.LeaseRequest{
		Pool: &messenger.Pool{Zone: zone, Service: "modelli"}, Holder: holder,
	})
	require.NoError(g.t, err)
	return answer
}

// Symptom: two schedulers order the same engines after keepers were restarted.
// Sequence: a lease is granted and renewed, its leader is stopped, all keepers
// restart, and another holder asks. Cause: the grant was in memory only, or the
// new leader does not wait for renewals that it does not know.
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
	require.EqualValues(t, 3, g.lease(g.follower(), "c", "two").GetFence(), "no number is used again")
}

func TestLeasesAreChecked(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]*messenger.LeaseRequest{
		"no holder":     {Pool: &messenger.Pool{Zone: "a", Service: "s"}},
		"no pool":       {Holder: "one"},
		"a long holder": {Pool: &messenger.Pool{Zone: "a", Service: "s"}, Holder: string(make([]byte, maxLeaseName+1))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Error(t, checkLease(request))
		})
	}
}
