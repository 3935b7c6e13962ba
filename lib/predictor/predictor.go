// Package predictor predicts the time that an engine takes until the first token of a request.
//
// An engine prefills prompts in arrival order. The wait is therefore a constant part plus the tokens
// that are unread, that is not prefilled yet, those queued ahead and the request's own, divided by the
// engine's speed. The engines of
// one service differ little, and a router gets a few answers per second of each: the two parameters
// are fitted over the answers of all of them. An engine's speed relative to the fit is learned over
// the whole fleet, because one router gets few answers of one engine (Speed). A sudden deviation, as
// of an engine that stalls or has more load than this router sees, is a factor of its own (Factor).
//
// The fit describes an engine of mean speed: it is fed waits from which the learned speed has been
// divided out, and speeds are measured against its predictions without any learned speed.
//
// Invariants: a prediction is never negative and rises with the number of tokens; a Factor that is
// not confirmed by answers returns to one, a Speed returns to one only as its observations age.
package predictor

import (
	"math"
	"time"
)

const (
	// initialBase and initialTokenTime are the parameters of a fit before any answer, typical of
	// engines that prefill prompts while other requests run.
	initialBase      = 40 * time.Millisecond
	initialTokenTime = 15 * time.Microsecond
	// initialWeight is the number of answers for which the initial parameters count. A router has
	// as many answers in its first quarter of a second.
	initialWeight = 8
	// initialSpread is both the mean and the standard deviation of the tokens of these initial
	// answers: 3,000 tokens an answer.
	initialSpread = 3000.0
	// decayPerAnswer is the factor by which the weight of an answer is multiplied with each later
	// one: some three hundred answers count, which are a few seconds of a busy router.
	decayPerAnswer = 0.997
	// minTokenTime and maxTokenTime bound the time for one token, because a fit over few answers
	// may be far off.
	minTokenTime = time.Microsecond
	maxTokenTime = time.Millisecond
	// maxBase bounds the constant part.
	maxBase = 500 * time.Millisecond
)

// Fit is the linear fit of the waits for the first token over the engines of one service. The zero
// value has seen no answers and predicts from the initial parameters.
type Fit struct {
	waits           line    // tokens and seconds
	base, tokenTime float64 // in seconds, and in seconds per token
	deviation       float64 // mean absolute deviation of answers from their predictions, in seconds
}

// Observe records an answer: the wait for its first token, and the number of unread tokens when it
// was sent.
func (f *Fit) Observe(tokens int, waited time.Duration) {
	f.initialize()
	f.waits.observe(float64(tokens), waited.Seconds())
	f.solve()
}

// initialize replaces missing answers by the initial parameters.
func (f *Fit) initialize() {
	if f.waits.count > 0 {
		return
	}
	f.base, f.tokenTime, f.deviation = initialBase.Seconds(), initialTokenTime.Seconds(), initialDeviation.Seconds()
	mean, square := initialSpread, 2*initialSpread*initialSpread
	f.waits = line{
		count: initialWeight, x: initialWeight * mean, y: initialWeight * (f.base + f.tokenTime*mean),
		square: initialWeight * square, product: initialWeight * (f.base*mean + f.tokenTime*square),
	}
}

// solve computes the least-squares line, within the bounds.
func (f *Fit) solve() {
	meanTokens, meanWaited := f.waits.means()
	if slope, found := f.waits.slope(); found {
		f.tokenTime = slope
	}
	f.tokenTime = min(max(f.tokenTime, minTokenTime.Seconds()), maxTokenTime.Seconds())
	f.base = min(max(meanWaited-f.tokenTime*meanTokens, 0), maxBase.Seconds())
}

// Wait returns the predicted wait with the given number of unread tokens.
func (f *Fit) Wait(tokens int) time.Duration {
	f.initialize()
	return seconds(f.base + f.tokenTime*float64(max(tokens, 0)))
}

// PrefillTime returns the part of the wait that the given number of tokens adds.
func (f *Fit) PrefillTime(tokens int) time.Duration {
	f.initialize()
	return seconds(f.tokenTime * float64(max(tokens, 0)))
}

const (
	// initialDeviation is the mean deviation before any answer.
	initialDeviation = 50 * time.Millisecond
	// deviationGain is the EWMA weight of one answer in the mean deviation: some hundred answers
	// count.
	deviationGain = 0.01
	// maxDeviation bounds the effect of one answer: an answer that hung says little about the next
	// one.
	maxDeviation = 500 * time.Millisecond
	// deviationPerScale is the ratio of the mean deviation of a logistic distribution to its scale.
	deviationPerScale = 2 * math.Ln2
	// certainScales is the number of scales beyond the target from which an answer is late with
	// certainty.
	certainScales = 20
)

// ObserveDeviation records the difference between an answer's wait and its prediction.
func (f *Fit) ObserveDeviation(deviation time.Duration) {
	f.initialize()
	f.deviation += deviationGain * (min(deviation.Abs(), maxDeviation).Seconds() - f.deviation)
}

// ExpectedLateness returns the mean lateness of an answer with the given predicted wait. Answers
// are distributed around their prediction like a logistic distribution: an answer that is predicted
// only just in time is late in half of all cases, because of load that is unknown to the router.
func (f *Fit) ExpectedLateness(wait, target time.Duration) time.Duration {
	f.initialize()
	scale := f.deviation / deviationPerScale
	excess := (wait - target).Seconds()
	if excess >= certainScales*scale {
		return max(wait-target, 0)
	}
	return seconds(scale * math.Log1p(math.Exp(excess/scale)))
}

// PrefillTokens returns how many tokens an engine prefills in the given time, 0 for a negative time.
func (f *Fit) PrefillTokens(available time.Duration) float64 {
	f.initialize()
	return max(available.Seconds(), 0) / f.tokenTime
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

const (
	// factorGain is the EWMA weight of one answer in an engine's factor: a router gets some two
	// answers per second of each engine.
	factorGain = 0.15
	// maxRatio bounds the effect of one answer in both directions: an answer that waited behind a
	// prompt unknown to this router says little about the next one.
	maxRatio = 4.0
	// minCompared replaces shorter times in a ratio.
	minCompared = 100 * time.Microsecond
	// minLog is the logarithm below which a factor counts as one: a hundredth, which is not visible
	// in any answer.
	minLog = 0.01
	// factorHalfLife is the half-life of a factor without answers. A slow engine gets little work,
	// and its recovery would otherwise never be detected.
	factorHalfLife = 3 * time.Second
)

// Factor is the ratio of an engine's waits to the predictions of the fit. Its zero value is one.
type Factor struct {
	log float64   // natural logarithm of the factor
	at  time.Time // time of the last decay
}

// Observe records an answer's wait and the prediction for it.
func (f *Factor) Observe(now time.Time, waited, predicted time.Duration) {
	f.decay(now)
	f.log += factorGain * (logRatio(waited, predicted) - f.log)
}

// logRatio returns the logarithm of the ratio of an observed to a predicted time, within the bounds.
func logRatio(observed, predicted time.Duration) float64 {
	ratio := max(observed, minCompared).Seconds() / max(predicted, minCompared).Seconds()
	return math.Log(min(max(ratio, 1/maxRatio), maxRatio))
}

// Get returns the factor, decayed until now.
func (f *Factor) Get(now time.Time) float64 {
	if f.log == 0 {
		return 1
	}
	f.decay(now)
	return math.Exp(f.log)
}

// decay moves the factor towards one by the time since the last call.
func (f *Factor) decay(now time.Time) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		f.log *= math.Exp2(-elapsed.Seconds() / factorHalfLife.Seconds())
		f.at = now
		if math.Abs(f.log) < minLog {
			f.log = 0
		}
	}
}
