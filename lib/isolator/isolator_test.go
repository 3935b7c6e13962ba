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

// Guards against one request crashing endpoint after endpoint, and against
// harmless requests being refused because they ran beside it: both run on an
// endpoint that crashes, both are retried, and the crash alone does not show
// which of them caused it.
func TestPoisonIsQuarantinedAndConcurrentRequestsAreCleared(t *testing.T) {
	var i isolator.Isolator
	bad := i.Start(start, poison, endpoint(1), false)
	good := i.Start(start, innocent, endpoint(1), false)
	require.Empty(t, i.End(start, bad, isolator.Crashed))
	require.Empty(t, i.End(start, good, isolator.Crashed))

	require.Equal(t, isolator.Trial, i.Admit(start, innocent))
	good = i.Start(start, innocent, endpoint(2), true)
	require.Equal(t, isolator.Trial, i.Admit(start, poison))
	bad = i.Start(start, poison, endpoint(3), true)
	beside := i.Start(start, other, endpoint(3), false)
	require.Equal(t, []uint64{poison}, i.End(start, bad, isolator.Crashed))
	require.Empty(t, i.End(start, beside, isolator.Crashed))
	require.Empty(t, i.End(start, good, isolator.Completed))

	require.Equal(t, isolator.Quarantined, i.Admit(start, poison))
	require.Equal(t, isolator.DefaultExpiry, i.Remaining(start, poison))
	require.Equal(t, isolator.Unrestricted, i.Admit(start, innocent))
	require.Equal(t, isolator.Trial, i.Admit(start, other), "it ran on an endpoint that crashed")
}

func TestCopiesOfSuspect(t *testing.T) {
	for name, test := range map[string]struct {
		outcome isolator.Outcome
		after   isolator.Verdict
	}{
		"trial completed":   {isolator.Completed, isolator.Unrestricted},
		"trial crashed":     {isolator.Crashed, isolator.Quarantined},
		"trial abandoned":   {isolator.Abandoned, isolator.Trial},
		"trial not started": {isolator.NotStarted, isolator.Trial},
	} {
		t.Run(name, func(t *testing.T) {
			var i isolator.Isolator
			i.End(start, i.Start(start, poison, endpoint(1), false), isolator.Crashed)
			require.Equal(t, isolator.Trial, i.Admit(start, poison))
			require.Equal(t, isolator.Hold, i.Admit(start, poison), "one copy at a time")
			i.End(start, i.Start(start, poison, endpoint(2), true), test.outcome)
			require.Equal(t, test.after, i.Admit(start, poison))
		})
	}
}

// Guards against a crash being attributed only to the requests that ran beside
// the one that caused it: its caller disconnects, the router cancels the request,
// and the endpoint crashes a moment later, when the request no longer counts as
// running there.
func TestAbandonedRunStillCounts(t *testing.T) {
	for name, test := range map[string]struct {
		later time.Duration
		want  isolator.Verdict
	}{
		"within the retention": {time.Second, isolator.Trial},
		"after the retention":  {6 * time.Second, isolator.Unrestricted},
	} {
		t.Run(name, func(t *testing.T) {
			var i isolator.Isolator
			bad := i.Start(start, poison, endpoint(1), false)
			good := i.Start(start, innocent, endpoint(1), false)
			i.End(start, bad, isolator.Abandoned)
			i.End(start.Add(test.later), good, isolator.Crashed)
			require.Equal(t, test.want, i.Admit(start.Add(test.later), poison))
		})
	}
}

func TestExpiry(t *testing.T) {
	i := isolator.Isolator{Expiry: time.Minute}
	i.End(start, i.Start(start, poison, endpoint(1), false), isolator.Crashed)
	require.Equal(t, isolator.Trial, i.Admit(start, poison))
	i.End(start, i.Start(start, poison, endpoint(2), true), isolator.Crashed)
	require.Equal(t, isolator.Quarantined, i.Admit(start.Add(59*time.Second), poison))
	require.Equal(t, isolator.Unrestricted, i.Admit(start.Add(time.Minute), poison))
	require.Zero(t, i.Suspects())
}

// Guards against memory growth in a router from suspects or abandoned runs that
// are never evicted: endpoints crash with ever new fingerprints, and callers
// disconnect from requests at ever new endpoints.
func TestMemoryIsBounded(t *testing.T) {
	var i isolator.Isolator
	for n := range uint64(isolator.MaxSuspects + 100) {
		at := start.Add(time.Duration(n) * time.Millisecond)
		i.End(at, i.Start(at, n, endpoint(int(n)), false), isolator.Crashed)
	}
	require.Equal(t, isolator.MaxSuspects, i.Suspects())
	require.Equal(t, isolator.Unrestricted, i.Admit(start.Add(5*time.Second), 0), "the oldest is evicted first")
	require.Zero(t, i.Runs())
	for n := range 1000 {
		i.End(start, i.Start(start, innocent, endpoint(n), false), isolator.Abandoned)
	}
	late := start.Add(time.Hour)
	i.End(late, i.Start(late, innocent, endpoint(1), false), isolator.Completed)
	require.Zero(t, i.Runs())
}

// router is one router of a simulated fleet: its isolator and the copies of the
// poison request that it runs.
type router struct {
	isolator isolator.Isolator
	copies   []*isolator.Run
}

// TestCrashesPerFingerprint counts the endpoints that one fingerprint crashes if
// every run of it crashes its endpoint.
func TestCrashesPerFingerprint(t *testing.T) {
	t.Run("resent after each answer, through every router", func(t *testing.T) {
		require.Equal(t, 2, crashesUntilRefused(t, 400, nil))
	})
	t.Run("resent, and the first router restarts between the two crashes", func(t *testing.T) {
		require.Equal(t, 3, crashesUntilRefused(t, 400, map[int]bool{1: true}))
	})
	t.Run("concurrent copies", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			routers := make([]router, rapid.IntRange(1, 6).Draw(t, "routers"))
			copies := rapid.IntRange(0, 5)
			crashed, running := 0, 0
			for n := range routers {
				for range copies.Draw(t, "copies") {
					if routers[n].isolator.Admit(start, poison) == isolator.Unrestricted {
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
				for range copies.Draw(t, "resends") { // the other routers' quarantine has not arrived yet
					if r.isolator.Admit(start, poison) != isolator.Trial {
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

// crashesUntilRefused sends the poison request through one router after the other
// until all refuse it, and returns the number of crashed endpoints. Each router
// retries the request until it refuses it. The keys of restarts are the numbers
// of the crashes after which the router restarts, losing its state, and the
// caller goes on to the next router.
func crashesUntilRefused(t *testing.T, routers int, restarts map[int]bool) int {
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
			run := i.Start(start, poison, endpoint(crashed), verdict == isolator.Trial)
			quarantined = len(i.End(start, run, isolator.Crashed)) > 0
			if restarts[crashed] {
				break
			}
		}
	}
	return crashed
}

// Guards against the quarantine of a harmless request that many callers send
// alike: copies of it run on two endpoints, both crash, and copies that did not
// run in a trial are counted as proof.
func TestConcurrentCopiesAreNotQuarantined(t *testing.T) {
	var i isolator.Isolator
	first := i.Start(start, innocent, endpoint(1), false)
	second := i.Start(start, innocent, endpoint(2), false)
	require.Empty(t, i.End(start, first, isolator.Crashed))
	require.Empty(t, i.End(start, second, isolator.Crashed))
	require.Equal(t, isolator.Trial, i.Admit(start, innocent))
}

// Guards against a request that crashes endpoints shortly after its caller left and is never suspected,
// because many other requests ran beside it.
func TestAbandonedRunIsSuspectedBesideManyRuns(t *testing.T) {
	for name, test := range map[string]struct {
		running, abandoned int // other runs at the endpoint
		want               isolator.Verdict
	}{
		"alone":                 {want: isolator.Trial},
		"beside many runs":      {running: 200, want: isolator.Trial},
		"beside few that left":  {abandoned: 63, want: isolator.Trial},
		"beside many that left": {abandoned: 64, want: isolator.Unrestricted},
	} {
		t.Run(name, func(t *testing.T) {
			var i isolator.Isolator
			for n := range test.abandoned {
				i.End(start, i.Start(start, uint64(1000+n), endpoint(1), false), isolator.Abandoned)
			}
			for n := range test.running {
				i.Start(start, uint64(2000+n), endpoint(1), false)
			}
			beside := i.Start(start, innocent, endpoint(1), false)
			i.End(start, i.Start(start, poison, endpoint(1), false), isolator.Abandoned)
			i.End(start.Add(time.Second), beside, isolator.Crashed)
			require.Equal(t, test.want, i.Admit(start.Add(time.Second), poison))
		})
	}
}
