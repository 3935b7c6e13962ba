package predictor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow engine whose learned speed is forgotten once it is learned, and against predictions
// that drift away because the fit and the learned speeds follow each other.
func TestSpeedConvergesAndStays(t *testing.T) {
	const (
		slow, fast = 1 / 0.55, 1 / 1.2
		tokens     = 6000
	)
	for _, noise := range []float64{0.2, 0.4} {
		t.Run(fmt.Sprint("noise ", noise), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var fit Fit
			engines := map[float64]*Speed{slow: {}, fast: {}}
			now := start
			for second := range 1200 {
				for range 8 { // answers of an engine in a second, over the fleet
					now = now.Add(125 * time.Millisecond)
					for truth, speed := range engines {
						tokens := random.IntN(12_000)
						wait := time.Duration(truth * math.Exp(noise*random.NormFloat64()) * float64(30*time.Millisecond+time.Duration(tokens)*16*time.Microsecond))
						speed.ObserveWait(now, wait, fit.Wait(tokens))
						fit.Observe(tokens, wait)
					}
				}
				if second < 30 {
					continue
				}
				slowFactor, fastFactor := engines[slow].Sums(now).WaitFactor(), engines[fast].Sums(now).WaitFactor()
				require.InDelta(t, slow/fast, slowFactor/fastFactor, 0.5)
				want := slow * float64(30*time.Millisecond+tokens*16*time.Microsecond)
				require.InEpsilon(t, want, slowFactor*float64(fit.Wait(tokens)), 0.3, "what is predicted for the slow engine")
			}
		})
	}
}

// Guards against one unusual answer that moves requests away from an engine.
func TestFewObservationsMeanLittle(t *testing.T) {
	tests := map[string]struct {
		answers  int
		min, max float64
	}{
		"none":  {0, 1, 1},
		"one":   {1, 1, 1.4},
		"five":  {5, 1.4, 2.3},
		"fifty": {50, 3, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Speed
			for range test.answers {
				s.ObserveWait(start, time.Second, time.Millisecond)
				s.ObserveGap(start, time.Second, time.Millisecond)
			}
			sums := s.Sums(start)
			require.GreaterOrEqual(t, sums.WaitFactor(), test.min)
			require.LessOrEqual(t, sums.WaitFactor(), test.max)
			require.InDelta(t, sums.WaitFactor(), sums.GapFactor(), 1e-9)
		})
	}
}

// Guards against a speed that outlives its observations: the engine may have recovered.
func TestSpeedFadesWithItsObservations(t *testing.T) {
	var s Speed
	for range 100 {
		s.ObserveWait(start, 2*time.Second, time.Second)
	}
	before := s.Sums(start)
	after := s.Sums(start.Add(speedHalfLife))
	require.InDelta(t, before.Waits/2, after.Waits, 1e-9)
	require.InDelta(t, math.Ln2*50, after.WaitLog, 1e-6)
	require.InDelta(t, 1, s.Sums(start.Add(20*speedHalfLife)).WaitFactor(), 0.01)
}

// Guards against a slot wait that is computed from the step times of a few streams.
func TestStepsFollowTheEngine(t *testing.T) {
	var s Steps
	random := rand.New(rand.NewPCG(3, 4))
	require.False(t, s.Known())
	for range 500 {
		running := 1 + random.IntN(16)
		step := 3*time.Millisecond + time.Duration(running)*100*time.Microsecond
		s.Observe(running, time.Duration(float64(step)*(0.9+0.2*random.Float64())))
	}
	require.True(t, s.Known())
	require.InDelta(t, 3100, s.Time(1).Microseconds(), 150)
	require.InDelta(t, 4600, s.Time(16).Microseconds(), 150)
}

// Guards against negative or falling step times for any observations.
func TestStepsStayWithinTheirBounds(t *testing.T) {
	tests := map[string]func(i int) (int, time.Duration){
		"faster with more requests": func(i int) (int, time.Duration) { return i % 20, time.Duration(30-i%20) * time.Millisecond },
		"always one request":        func(int) (int, time.Duration) { return 1, 5 * time.Millisecond },
		"nothing runs":              func(int) (int, time.Duration) { return 0, 5 * time.Millisecond },
		"hours":                     func(i int) (int, time.Duration) { return i % 20, time.Hour },
	}
	for name, observation := range tests {
		t.Run(name, func(t *testing.T) {
			var s Steps
			for i := range 200 {
				s.Observe(observation(i))
			}
			require.GreaterOrEqual(t, s.Time(0), time.Duration(0))
			require.GreaterOrEqual(t, s.Time(20), s.Time(0))
			require.LessOrEqual(t, s.Time(1), 2*maxStepTime)
		})
	}
}
