package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// isolationTime is how long a router gets no keeper updates in these tests.
const isolationTime = 5 * time.Second

// simulate lets two workspaces demand more than the capacity of a fleet of 75 routers, in steps of
// 10 ms: "spread" through all routers, and "gathered" through the router that target returns.
// receives reports whether a router gets an update. The result is the tokens served by workspace
// after the first three seconds.
func simulate(f *fleet, length time.Duration, target func(at time.Duration) int, receives func(at time.Duration, router int) bool) map[string]float64 {
	const step = 10 * time.Millisecond
	for at, next := time.Duration(0), 0; at < length; at += step {
		if at == 3*time.Second {
			clear(f.served)
		}
		for range 8 {
			f.request(target(at), "gathered", 2500) // 2,000,000 tokens per second
			f.request(next%len(f.routers), "spread", 2500)
			next++
		}
		f.now = f.now.Add(step)
		if at%(500*time.Millisecond) != 0 {
			continue
		}
		sums := f.sums()
		for i, a := range f.routers {
			if receives(at, i) {
				a.SetFleetUse(f.now, sums, f.backlog)
			}
		}
	}
	return f.served
}

// Guards against a starved workspace that gets 135 thousand tokens a second where another starved
// one gets 352 thousand.
//
// All clients of the first one reach one router. The flood delays that router by more than a
// second, so that its polls of the keepers time out, and three seconds later it divides capacity by
// its own measurements. If it assumed that all other routers have the same demand, its part of the
// share would be one in 75: with sums 3.3 to 7.3 s old it would use 5,600 of a share of 528,536
// tokens a second, while others serve 950,000 of another workspace.
func TestIsolatedRouterKeepsItsPart(t *testing.T) {
	f := newFleet(75, 1_000_000)
	got := simulate(f, 3*time.Second+isolationTime,
		func(time.Duration) int { return 7 },
		func(at time.Duration, router int) bool { return router != 7 || at < 2*time.Second })
	require.InDelta(t, got["spread"], got["gathered"], got["spread"]/2, "it should get half of what the best served workspace gets")
}

// Guards against a workspace that begins to flood and gets 1,800 thousand tokens a second for two
// seconds, while a starved one gets 330 thousand.
//
// The flood reaches all routers at once with eight times the capacity, and what routers know of
// each other is up to half a second old. If each router compared the present demand at itself with
// the earlier demand of the whole fleet, it would admit four times its part: the parts of 75
// routers would add up to 1,865 thousand of a share of 430 thousand.
func TestSuddenFloodGetsNoMoreThanItsShare(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		age   = 300 * time.Millisecond
		began = 4 * time.Second
		span  = 6 * time.Second // time over which the difference between the two is bounded
	)
	f := newFleet(75, 1_000_000)
	var sent []map[string]Use // one every tenth of a second
	next := 0
	for at := time.Duration(0); at < began+span; at += step {
		if at == began {
			clear(f.served)
		}
		for range 8 {
			f.request(7, "waiting", 2500) // 2,000,000 tokens per second
		}
		requests := 1 // 250,000 tokens per second
		if at >= began {
			requests = 32
		}
		for range requests {
			f.request(next%len(f.routers), "sudden", 2500)
			next++
		}
		f.now = f.now.Add(step)
		if at%(100*time.Millisecond) != 0 {
			continue
		}
		sent = append(sent, f.sums())
		if late := len(sent) - 1 - int(age/(100*time.Millisecond)); late >= 0 {
			for _, a := range f.routers {
				a.SetFleetUse(f.now, sent[late], f.backlog)
			}
		}
	}
	require.Less(t, f.served["sudden"], 2*f.served["waiting"])
	require.Greater(t, f.served["sudden"], f.served["waiting"]/2, "the flood gets half as much at least")
}
