package predictor

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// The two parameters of an engine are recovered from answers with scattered waits, whatever the
// initial parameters are.
func TestFitFollowsTheEngine(t *testing.T) {
	tests := map[string]struct {
		base, token time.Duration
	}{
		"near initial values": {50 * time.Millisecond, 25 * time.Microsecond},
		"fast":                {10 * time.Millisecond, 5 * time.Microsecond},
		"slow":                {120 * time.Millisecond, 100 * time.Microsecond},
		"no constant":         {0, 40 * time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var f Fit
			for range 2000 {
				tokens := random.IntN(12_000)
				waited := test.base + time.Duration(tokens)*test.token
				f.Observe(tokens, time.Duration(float64(waited)*(0.8+0.4*random.Float64())))
			}
			for _, tokens := range []int{2000, 6000, 12_000} {
				want := test.base + time.Duration(tokens)*test.token
				require.InDelta(t, want.Seconds(), f.Wait(tokens).Seconds(), 0.12*want.Seconds()+0.005)
			}
			require.InDelta(t, (6000 * test.token).Seconds(), f.PrefillTime(6000).Seconds(), 0.15*(6000*test.token).Seconds()+0.005)
		})
	}
}

func TestFitStartsFromInitialValues(t *testing.T) {
	var f Fit
	require.Equal(t, initialBase, f.Wait(0))
	require.Equal(t, initialBase+1000*initialTokenTime, f.Wait(1000))
	f.Observe(0, initialBase)
	require.InDelta(t, (initialBase + 1000*initialTokenTime).Seconds(), f.Wait(1000).Seconds(), 0.005, "a single answer changes little")
}

// For any sequence of answers, predictions rise with the tokens and are not negative.
func TestFitStaysWithinItsBounds(t *testing.T) {
	tests := map[string]func(i int) (int, time.Duration){
		"more tokens, less wait": func(i int) (int, time.Duration) { return i * 10, time.Duration(1000-i) * time.Millisecond },
		"constant wait":          func(int) (int, time.Duration) { return 500, time.Second },
		"no unread tokens":       func(int) (int, time.Duration) { return 0, 0 },
		"hours":                  func(i int) (int, time.Duration) { return i, time.Hour },
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			var f Fit
			for i := range 1000 {
				f.Observe(answer(i))
			}
			require.GreaterOrEqual(t, f.Wait(0), time.Duration(0))
			require.Greater(t, f.Wait(100_000), f.Wait(1000))
			require.InDelta(t, 5000, f.PrefillTokens(f.PrefillTime(5000)), 1)
			require.Zero(t, f.PrefillTokens(-time.Second))
			require.LessOrEqual(t, f.Wait(0), maxBase)
		})
	}
}

// Guards against a slow engine that gets an even share of the requests, and against an engine that
// was slow once and never gets requests again.
func TestFactorFollowsEngineAndDecays(t *testing.T) {
	var f Factor
	require.InDelta(t, 1, f.Get(start), 0)
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		f.Observe(now, 800*time.Millisecond, 200*time.Millisecond)
	}
	require.Greater(t, f.Get(now), 2.5)
	require.Less(t, f.Get(now.Add(10*factorHalfLife)), 1.01)
	var once Factor
	once.Observe(start, time.Hour, time.Millisecond)
	require.Less(t, once.Get(start), 1.3, "a single answer changes little")
}

// Guards against short requests that are sent behind a queue because their answers are predicted
// just in time: the deviation of answers from their predictions has to count.
func TestExpectedLatenessDependsOnSpread(t *testing.T) {
	const target = 250 * time.Millisecond
	tests := map[string]struct {
		deviation       time.Duration // deviation of each answer, with alternating sign
		wait            time.Duration
		atLeast, atMost time.Duration
	}{
		"well in time, steady engines":   {5 * time.Millisecond, 100 * time.Millisecond, 0, time.Millisecond},
		"well in time, unsteady engines": {80 * time.Millisecond, 100 * time.Millisecond, time.Millisecond, 10 * time.Millisecond},
		"just in time, steady engines":   {5 * time.Millisecond, 240 * time.Millisecond, 0, 2 * time.Millisecond},
		"just in time, unsteady engines": {80 * time.Millisecond, 240 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond},
		"late, steady engines":           {5 * time.Millisecond, 450 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
		"late, unsteady engines":         {80 * time.Millisecond, 450 * time.Millisecond, 200 * time.Millisecond, 205 * time.Millisecond},
		"late by a minute":               {80 * time.Millisecond, time.Minute, time.Minute - target, time.Minute - target},
		"engines that hang occasionally": {time.Minute, 250 * time.Millisecond, 240 * time.Millisecond, 255 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f Fit
			for i := range 2000 {
				deviation := test.deviation
				if i%2 == 0 {
					deviation = -deviation
				}
				f.ObserveDeviation(deviation)
			}
			late := f.ExpectedLateness(test.wait, target)
			require.GreaterOrEqual(t, late, test.atLeast)
			require.LessOrEqual(t, late, test.atMost)
		})
	}
	var f Fit
	last := time.Duration(-1)
	for wait := time.Duration(0); wait < time.Second; wait += 10 * time.Millisecond {
		late := f.ExpectedLateness(wait, target)
		require.Greater(t, late, last, "lateness rises with the wait")
		last = late
	}
}
