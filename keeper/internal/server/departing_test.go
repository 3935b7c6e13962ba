package server

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// copyOf returns the path of a keeper's copy of the list of endpoints.
func copyOf(p *seededKeeper) string {
	return filepath.Join(p.settings.Data, "endpoints")
}

// copies waits until the copies on the disks of all keepers hold an endpoint that is ready, and
// returns them.
func copies(t *testing.T, group []*seededKeeper, ready lister.Listing) [][]byte {
	t.Helper()
	heartbeat(t, group[0].served, ready)
	texts := make([][]byte, len(group))
	for i, p := range group {
		require.Eventually(t, func() bool {
			var err error
			texts[i], err = os.ReadFile(copyOf(p))
			return err == nil
		}, waitTimeout, 20*time.Millisecond)
	}
	return texts
}

// listedAt returns the state of an endpoint as a keeper lists it to a router, 0 if it does not.
func listedAt(t *testing.T, p *seededKeeper, id string) lister.State {
	t.Helper()
	response, err := p.planning.Follow(t.Context(), &messenger.FollowRequest{Node: "router"})
	if err != nil {
		return 0
	}
	for _, listing := range response.GetListings() {
		if listing.GetId() == id {
			return lister.State(listing.GetState())
		}
	}
	return 0
}

// Guards against an acknowledged leaving that is forgotten when all keepers are killed before a copy
// of their lists that contains it is on disk.
func TestAcknowledgedLeavingOutlastsAllProcesses(t *testing.T) {
	born := endpointAt("a", 4, lister.Ready)
	born.Started = time.UnixMilli(1_000_000)
	tests := map[string]struct {
		ready    lister.Listing
		announce func(t *testing.T, p Planner)
		wiped    bool // the keeper that acknowledged the leaving loses its disk
	}{
		"it ends":                   {ready: endpointAt("a", 4, lister.Ready), announce: func(t *testing.T, p Planner) { leave(t, p, "a", time.Time{}) }},
		"it ends, its start named":  {ready: born, announce: func(t *testing.T, p Planner) { leave(t, p, "a", born.Started) }},
		"it ends, a start is known": {ready: born, announce: func(t *testing.T, p Planner) { leave(t, p, "a", time.Time{}) }},
		"it drains": {ready: endpointAt("a", 4, lister.Ready), announce: func(t *testing.T, p Planner) {
			heartbeat(t, p, endpointAt("a", 5, lister.Leaving))
		}},
		"it ends, and a disk is lost": {ready: endpointAt("a", 4, lister.Ready), wiped: true, announce: func(t *testing.T, p Planner) {
			leave(t, p, "a", time.Time{})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			group := startSeededGroup(t, 3)
			before := copies(t, group, test.ready)
			test.announce(t, group[0].served)
			for i, p := range group {
				p.stop(t)
				require.NoError(t, os.WriteFile(copyOf(p), before[i], 0o600), "the copy is that of before the leaving")
				p.settings.Bootstrap = false
			}
			if test.wiped {
				group[0].settings.Data = t.TempDir()
			}
			for _, p := range group {
				p.start(t)
			}
			for _, p := range group {
				require.Eventually(t, func() bool {
					return listedAt(t, p, "a") > lister.Ready
				}, waitTimeout, 20*time.Millisecond, "%s lists the endpoint as leaving", p.settings.Name)
			}
		})
	}
}

// Guards against a leaving that is acknowledged by a keeper that alone knows of it.
func TestLeavingWithoutQuorumIsNotAcknowledged(t *testing.T) {
	group := startSeededGroup(t, 3)
	submit(t, group[0].served, version(1, "desk"))
	heartbeat(t, group[0].served, endpointAt("a", 1, lister.Ready))
	group[1].stop(t)
	group[2].stop(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	require.Error(t, group[0].served.Leave(ctx, "a", time.Time{}))
	require.Error(t, group[0].served.ReceiveHeartbeat(ctx, endpointAt("a", 2, lister.Leaving)))
	require.NoError(t, group[0].served.ReceiveHeartbeat(ctx, endpointAt("b", 1, lister.Ready)), "others do not wait for a quorum")
	require.Equal(t, lister.Gone, listedAt(t, group[0], "a"), "the routers that this keeper reaches are told all the same")
}

// Guards against an endpoint that has left and is listed as ready again by a heartbeat that was
// under way for long, and against one that is not listed although it has started again.
func TestDepartureAppliesToOneIncarnation(t *testing.T) {
	first, second := time.UnixMilli(1_000_000), time.UnixMilli(2_000_000)
	at := func(sequence uint64, started time.Time) lister.Listing {
		listing := endpointAt("a", sequence, lister.Ready)
		listing.Started = started
		return listing
	}
	tests := map[string]struct {
		known    []lister.Listing // heartbeats before the departure
		departed time.Time
		received []lister.Listing
		want     lister.State
	}{
		"listed":                       {known: []lister.Listing{at(4, first)}, departed: first, want: lister.Leaving},
		"a late heartbeat":             {known: []lister.Listing{at(4, first)}, departed: first, received: []lister.Listing{at(3, first)}, want: lister.Leaving},
		"a late heartbeat, not listed": {departed: first, received: []lister.Listing{at(3, first)}, want: lister.Leaving},
		"another is listed":            {known: []lister.Listing{at(1, second)}, departed: first, want: lister.Ready},
		"it has started again":         {known: []lister.Listing{at(4, first)}, departed: first, received: []lister.Listing{at(1, second)}, want: lister.Ready},
		"the start is not on record":   {known: []lister.Listing{at(4, first)}, want: lister.Ready},
		"no starts":                    {known: []lister.Listing{at(4, time.Time{})}, want: lister.Leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &directory{}
			d.list.Interval = time.Second
			for _, listing := range test.known {
				d.receiveHeartbeat(testStart, listing)
			}
			d.depart(testStart, []applier.Departure{{ID: "a", Started: test.departed}})
			for _, listing := range test.received {
				d.receiveHeartbeat(testStart.Add(time.Second), listing)
			}
			listing, found := d.list.Find("a")
			require.True(t, found)
			require.Equal(t, test.want, listing.State)
			d.expire(testStart.Add(applier.DepartureRetention + time.Second))
			require.Empty(t, d.departures)
		})
	}
}
