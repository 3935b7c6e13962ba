package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// quietFor is how long a router of these tests hears no keeper.
const quietFor = 5 * time.Second

// play lets two workspaces ask a fleet of 75 routers for more than it yields, 10 ms
// at a time: one through all routers, and one through the router that where names. It
// returns what each got in the seconds after the first three.
func play(f *fleet, length time.Duration, where func(at time.Duration) int, heard func(at time.Duration, router int) bool) map[string]float64 {
	const step = 10 * time.Millisecond
	for at, next := time.Duration(0), 0; at < length; at += step {
		if at == 3*time.Second {
			clear(f.served)
		}
		for range 8 {
			f.ask(where(at), "gathered", 2500) // 2,000,000 a second
			f.ask(next%len(f.routers), "spread", 2500)
			next++
		}
		f.now = f.now.Add(step)
		if at%(500*time.Millisecond) != 0 {
			continue
		}
		sums := make(map[string]uint64)
		for _, a := range f.routers {
			for name, rate := range a.Rates(f.now) {
				sums[name] += rate
			}
		}
		for i, a := range f.routers {
			if heard(at, i) {
				a.Demand(f.now, sums, f.backlog)
			}
		}
	}
	return f.served
}

// What users saw: a workspace that waited got 135 thousand tokens a second, another one
// that waited as well 352.
//
// Order of events: all clients of the first reach one router; with its flood that router
// becomes late by more than a second, so that its polls of the keepers are given up; three
// seconds later it goes by its own measure. Cause: a router that heard no keeper took all
// others to do as itself does, and so its part of the share for one of 75.
//
// Evidence: lines of that router, with sums 3.3 to 7.3 s old, named a share of 528,536
// tokens a second and a part of 5,600; beside them others served 950,000 of another
// workspace.
func TestRouterThatHearsNoKeeperKeepsItsPart(t *testing.T) {
	f := newFleet(75, 1_000_000)
	got := play(f, 3*time.Second+quietFor,
		func(time.Duration) int { return 7 },
		func(at time.Duration, router int) bool { return router != 7 || at < 2*time.Second })
	require.InDelta(t, got["spread"], got["gathered"], got["spread"]/2, "half of what the best served one got is due")
}
