package isolator_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/isolator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	poison   = 1
	innocent = 2
	other    = 3
)

func endpoint(n int) isolator.Endpoint {
	return isolator.Endpoint{ID: strconv.Itoa(n), Incarnation: 1}
}

// Symptom: one request takes the endpoints down one after the other, and the
// requests that ran beside it are refused with it. Sequence: the poison and
// innocent requests run on an endpoint, which crashes; all are sent again.
// Cause: nobody knows which of them did it.
func TestPoisonIsFoundAndNeighboursAreCleared(t *testing.T) {
	var i isolator.Isolator
	bad := i.Start(start, poison, endpoint(1), false)
	good := i.Start(start, innocent, endpoint(1), false)
	require.Empty(t, i.End(start, bad, isolator.Crashed))
	require.Empty(t, i.End(start, good, isolator.Crashed))

	require.Equal(t, isolator.Alone, i.Admit(start, innocent))
	good = i.Start(start, innocent, endpoint(2), true)
	require.Equal(t, isolator.Alone, i.Admit(start, poison))
	bad = i.Start(start, poison, endpoint(3), true)
	beside := i.Start(start, other, endpoint(3), false)
	require.Equal(t, []uint64{poison}, i.End(start, bad, isolator.Crashed))
	require.Empty(t, i.End(start, beside, isolator.Crashed))
	require.Empty(t, i.End(start, good, isolator.Whole))

	require.Equal(t, isolator.Quarantined, i.Admit(start, poison))
	require.Equal(t, isolator.DefaultForgive, i.Left(start, poison))
	require.Equal(t, isolator.Free, i.Admit(start, innocent))
	require.Equal(t, isolator.Alone, i.Admit(start, other), "it ran on one endpoint that crashed")
}

func TestCopiesOfSuspect(t *testing.T) {
	for name, test := range map[string]struct {
		ending isolator.Ending
		after  isolator.Verdict
	}{
		"trial whole":    {isolator.Whole, isolator.Free},
		"trial crashed":  {isolator.Crashed, isolator.Quarantined},
		"trial given up": {isolator.GivenUp, isolator.Alone},
		"trial not run":  {isolator.Unrun, isolator.Alone},
	} {
		t.Run(name, func(t *testing.T) {
			var i isolator.Isolator
			i.End(start, i.Start(start, poison, endpoint(1), false), isolator.Crashed)
			require.Equal(t, isolator.Alone, i.Admit(start, poison))
			require.Equal(t, isolator.Hold, i.Admit(start, poison), "one copy at a time")
			i.End(start, i.Start(start, poison, endpoint(2), true), test.ending)
			require.Equal(t, test.after, i.Admit(start, poison))
		})
	}
}

// Symptom: a crash is blamed on the neighbours of the request that did it.
// Sequence: the poison's caller goes away at once, the router cancels it, and
// the endpoint crashes a moment later. Cause: the poison no longer counts as
// running there.
func TestGivenUpRunStillCounts(t *testing.T) {
	for name, test := range map[string]struct {
		later time.Duration
		want  isolator.Verdict
	}{
		"at once":    {time.Second, isolator.Alone},
		"long after": {6 * time.Second, isolator.Free},
	} {
		t.Run(name, func(t *testing.T) {
			var i isolator.Isolator
			bad := i.Start(start, poison, endpoint(1), false)
			good := i.Start(start, innocent, endpoint(1), false)
			i.End(start, bad, isolator.GivenUp)
			i.End(start.Add(test.later), good, isolator.Crashed)
			require.Equal(t, test.want, i.Admit(start.Add(test.later), poison))
		})
	}
}

func TestForgiveness(t *testing.T) {
	i := isolator.Isolator{Forgive: time.Minute}
	i.End(start, i.Start(start, poison, endpoint(1), false), isolator.Crashed)
	require.Equal(t, isolator.Alone, i.Admit(start, poison))
	i.End(start, i.Start(start, poison, endpoint(2), true), isolator.Crashed)
	require.Equal(t, isolator.Quarantined, i.Admit(start.Add(59*time.Second), poison))
	require.Equal(t, isolator.Free, i.Admit(start.Add(time.Minute), poison))
	require.Zero(t, i.Suspects())
}

// Symptom: a router's memory grows with every crash. Sequence: endpoints crash
// under ever new fingerprints, and callers go away from ever new endpoints.
// Cause: suspects or runs that are never forgotten.
func TestMemoryIsBounded(t *testing.T) {
	var i isolator.Isolator
	for n := range uint64(isolator.MaxSuspects + 100) {
		at := start.Add(time.Duration(n) * time.Millisecond)
		i.End(at, i.Start(at, n, endpoint(int(n)), false), isolator.Crashed)
	}
	require.Equal(t, isolator.MaxSuspects, i.Suspects())
	require.Equal(t, isolator.Free, i.Admit(start.Add(5*time.Second), 0), "the oldest goes first")
	require.Zero(t, i.Runs())
	for n := range 1000 {
		i.End(start, i.Start(start, innocent, endpoint(n), false), isolator.GivenUp)
	}
	late := start.Add(time.Hour)
	i.End(late, i.Start(late, innocent, endpoint(1), false), isolator.Whole)
	require.Zero(t, i.Runs())
}

// router is one router of a simulated fleet: its own isolator, and what it
// knows of the fleet's quarantine.
type router struct {
	isolator isolator.Isolator
	copies   []*isolator.Run
}

// TestCost counts the endpoints that one fingerprint takes down, each run of it
// crashing the endpoint it runs on.
func TestCost(t *testing.T) {
	t.Run("sent again after each answer, through every router", func(t *testing.T) {
		require.Equal(t, 2, resent(t, 400, nil))
	})
	t.Run("and the first router restarts between the two crashes", func(t *testing.T) {
		require.Equal(t, 3, resent(t, 400, map[int]bool{1: true}))
	})
	t.Run("copies at once", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			routers := make([]router, rapid.IntRange(1, 6).Draw(t, "routers"))
			copies := rapid.IntRange(0, 5)
			crashed, running := 0, 0
			for n := range routers {
				for range copies.Draw(t, "copies") {
					if routers[n].isolator.Admit(start, poison) == isolator.Free {
						running++
						routers[n].copies = append(routers[n].copies,
							routers[n].isolator.Start(start, poison, endpoint(running), false))
					}
				}
			}
			for n := range routers {
				r := &routers[n]
				for _, run := range r.copies {
					r.isolator.End(start, run, isolator.Crashed)
					crashed++
				}
				for range copies.Draw(t, "resends") { // the quarantine has not arrived yet
					if r.isolator.Admit(start, poison) != isolator.Alone {
						continue
					}
					crashed++
					r.isolator.End(start, r.isolator.Start(start, poison, endpoint(100+crashed), true), isolator.Crashed)
				}
			}
			require.LessOrEqual(t, crashed, running+len(routers))
		})
	})
}

// resent sends the poison through one router after the other until it is
// refused by all, and returns how many endpoints it took. The request is retried
// by its router until that refuses it; restarts names the crashes after which
// the router forgets everything and the caller goes to the next.
func resent(t *testing.T, routers int, restarts map[int]bool) int {
	quarantined := false
	crashed := 0
	for range routers {
		var i isolator.Isolator
		for !quarantined {
			verdict := i.Admit(start, poison)
			if verdict == isolator.Quarantined {
				break
			}
			require.NotEqual(t, isolator.Hold, verdict)
			crashed++
			run := i.Start(start, poison, endpoint(crashed), verdict == isolator.Alone)
			quarantined = len(i.End(start, run, isolator.Crashed)) > 0
			if restarts[crashed] {
				break
			}
		}
	}
	return crashed
}

// Symptom: a request that many send alike is quarantined though innocent.
// Sequence: copies of it run on two endpoints, and both crash. Cause: copies
// that did not run alone taken for a proof.
func TestCopiesThatRanBesideOthersProveNothing(t *testing.T) {
	var i isolator.Isolator
	first := i.Start(start, innocent, endpoint(1), false)
	second := i.Start(start, innocent, endpoint(2), false)
	require.Empty(t, i.End(start, first, isolator.Crashed))
	require.Empty(t, i.End(start, second, isolator.Crashed))
	require.Equal(t, isolator.Alone, i.Admit(start, innocent))
}
