package predictor

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the half-life of observations of an engine's speed. Over a fleet, an engine
	// answers some ten requests per second: its sums then cover some hundred answers, whose mean is
	// known to a few percent.
	speedHalfLife = 10 * time.Second
	// speedPrior is the number of observations of an engine of mean speed that each engine is assumed to have.
	speedPrior = 4.0
)

// Sums are decayed sums of observations of one engine. Sums of several routers are added up. The zero
// value has no observations.
type Sums struct {
	// Waits is the number of observed waits for a first token, and WaitLog the sum of the natural
	// logarithms of their ratios to the predictions of Fit. Gaps and GapLog are the same of the gaps
	// between events and the predictions of Steps.
	Waits, WaitLog float64
	Gaps, GapLog   float64
}

// Plus returns the sums over the observations of both.
func (s Sums) Plus(other Sums) Sums {
	return Sums{
		Waits: s.Waits + other.Waits, WaitLog: s.WaitLog + other.WaitLog,
		Gaps: s.Gaps + other.Gaps, GapLog: s.GapLog + other.GapLog,
	}
}

// WaitFactor returns the ratio of the engine's waits to the predictions for an engine of mean speed: 1
// without observations, and near 1 with few.
func (s Sums) WaitFactor() float64 {
	return math.Exp(s.WaitLog / (max(s.Waits, 0) + speedPrior))
}

// GapFactor returns the ratio of the engine's gaps to the predictions for an engine of mean speed.
func (s Sums) GapFactor() float64 {
	return math.Exp(s.GapLog / (max(s.Gaps, 0) + speedPrior))
}

// Speed holds one router's observations of one lifetime of an engine. The zero value has none.
type Speed struct {
	sums Sums
	at   time.Time // time of the last decay
}

// ObserveWait records a wait for a first token and the prediction of Fit for it. The prediction must
// not include the learned speed: the ratio would tend to one once the speed is learned, and the speed
// would be forgotten and learned again in turns.
func (s *Speed) ObserveWait(now time.Time, waited, predicted time.Duration) {
	s.decay(now)
	s.sums.Waits++
	s.sums.WaitLog += logRatio(waited, predicted)
}

// ObserveGap records a mean gap between events and the prediction of Steps for it, which must not
// include the learned speed.
func (s *Speed) ObserveGap(now time.Time, gap, predicted time.Duration) {
	s.decay(now)
	s.sums.Gaps++
	s.sums.GapLog += logRatio(gap, predicted)
}

// Sums returns the sums, decayed until now.
func (s *Speed) Sums(now time.Time) Sums {
	s.decay(now)
	return s.sums
}

func (s *Speed) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 && s.sums != (Sums{}) {
		factor := math.Exp2(-elapsed.Seconds() / speedHalfLife.Seconds())
		s.sums.Waits *= factor
		s.sums.WaitLog *= factor
		s.sums.Gaps *= factor
		s.sums.GapLog *= factor
	}
	s.at = now
}
