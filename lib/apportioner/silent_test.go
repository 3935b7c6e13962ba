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
		sums := f.sums()
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

// What users saw: while one workspace waited, with 330 thousand tokens a second, another
// one that began to flood got 1,800 thousand for two seconds.
//
// Order of events: the second asks all routers at once for eight times the capacity; what
// they hear of each other is up to half a second old. Cause: each router compared what was
// asked for at itself now with what all were asked for before, and took four times its
// part.
//
// Evidence: the lines of 75 routers, added up by the second in which requests began; each
// named a share of 430 thousand and a part of it, and the parts were 1,865 thousand.
func TestSuddenFloodGetsNoMoreThanItsShare(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		age   = 300 * time.Millisecond
		began = 4 * time.Second
		span  = 6 * time.Second // over which the difference between two is bounded
	)
	f := newFleet(75, 1_000_000)
	var told []map[string]Use // one each tenth of a second
	next := 0
	for at := time.Duration(0); at < began+span; at += step {
		if at == began {
			clear(f.served)
		}
		for range 8 {
			f.ask(7, "waiting", 2500) // 2,000,000 a second
		}
		requests := 1 // 250,000 a second
		if at >= began {
			requests = 32
		}
		for range requests {
			f.ask(next%len(f.routers), "sudden", 2500)
			next++
		}
		f.now = f.now.Add(step)
		if at%(100*time.Millisecond) != 0 {
			continue
		}
		told = append(told, f.sums())
		if late := len(told) - 1 - int(age/(100*time.Millisecond)); late >= 0 {
			for _, a := range f.routers {
				a.Demand(f.now, told[late], f.backlog)
			}
		}
	}
	require.Less(t, f.served["sudden"], 2*f.served["waiting"])
	require.Greater(t, f.served["sudden"], f.served["waiting"]/2, "and it gets its half")
}
