package balancer

import (
	"math"
	"time"

	"shallotkeel.example/lib/predictor"
)

const (
	// maxRankStep bounds the steps of the home ranking, and rankStepsPerOctave is the number of steps in
	// which a speed doubles. Steps are coarse, since routers agree on homes only as far as they agree on
	// steps, and each change of a step moves the homes of some parts.
	maxRankStep        = 3
	rankStepsPerOctave = 2
	// rankHysteresis is how far from the middle of its step, in steps, a speed must be to change it.
	rankHysteresis = 0.75
	// minRankObservations is the number of observations from which a speed changes the ranking.
	minRankObservations = 20
)

// Speeds returns this router's observations of the speed of each engine, by endpoint key.
func (b *Balancer) Speeds(now time.Time) map[uint64]predictor.Sums {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	speeds := make(map[uint64]predictor.Sums)
	for _, e := range b.byID {
		if sums := e.speed.Sums(now); sums != (predictor.Sums{}) {
			speeds[e.key] = sums
		}
	}
	return speeds
}

// SetOtherSpeeds sets the observations of all other routers. They stay in force without further reports:
// an engine keeps its speed while no keeper answers. Observations of a former lifetime have another key.
func (b *Balancer) SetOtherSpeeds(now time.Time, speeds map[uint64]predictor.Sums) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.byID {
		e.otherSpeed = speeds[e.key]
		e.updateSpeed(now)
	}
}

// updateSpeed computes the factors and the step of the home ranking from the observations of all routers.
func (e *endpoint) updateSpeed(now time.Time) {
	sums := e.speed.Sums(now).Plus(e.otherSpeed)
	e.waitFactor, e.gapFactor = sums.WaitFactor(), sums.GapFactor()
	if sums.Waits < minRankObservations {
		return
	}
	speed := -rankStepsPerOctave * math.Log2(e.waitFactor)
	if math.Abs(speed-float64(e.rankStep)) > rankHysteresis {
		e.rankStep = int(min(max(math.Round(speed), -maxRankStep), maxRankStep))
	}
}

// rankWeight returns the weight in the home ranking of an endpoint with a step.
func rankWeight(step int) float64 {
	return math.Exp2(float64(step) / rankStepsPerOctave)
}

// SpeedFactors returns the learned ratio of waits to those of an engine of mean speed for each engine of all
// services whose speeds are learned.
func (b *Balancer) SpeedFactors() []float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var factors []float64
	for _, e := range b.byID {
		if e.hasEngine {
			factors = append(factors, e.waitFactor)
		}
	}
	return factors
}
