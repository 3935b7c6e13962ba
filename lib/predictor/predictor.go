// Package predictor predicts how long an engine takes until the first token of a
// request.
//
// An engine reads prompts in the order in which they came, so that the wait is a
// constant part and the unread tokens, those ahead and the request's own, over the
// engine's speed. Engines of one service differ little, and a router has a few
// answers a second of each: the two numbers are fitted over the answers of all of
// them. What an engine differs by, because it is slow or because it has more to do
// than this router knows, is a factor of its own.
//
// Invariants: a prediction is never negative and rises with the tokens; a factor that
// is not confirmed by answers goes back to one.
package predictor

import (
	"math"
	"time"
)

const (
	// firstBase and firstToken are what a fit begins with before any answer, of engines that
	// read with other requests between.
	firstBase  = 40 * time.Millisecond
	firstToken = 15 * time.Microsecond
	// firstWeight is how many answers that beginning counts for. A router has as many
	// in its first quarter of a second.
	firstWeight = 8
	// firstSpread is the spread of tokens among these, 3,000 for one answer.
	firstSpread = 3000.0
	// keep is what an answer's weight is multiplied by with each later one: some three
	// hundred count, which is a few seconds of a busy router.
	keep = 0.997
	// leastToken and mostToken bound the time for one token. A fit over few answers
	// may be far off.
	leastToken = time.Microsecond
	mostToken  = time.Millisecond
	// mostBase bounds the constant part.
	mostBase = 500 * time.Millisecond
)

// Fit is the two numbers of one service's engines. Its zero value knows no answer.
type Fit struct {
	count, tokens, waited, square, product float64 // decayed sums, in tokens and seconds
	base, token                            float64 // seconds, and seconds a token
	deviation                              float64 // mean deviation of answers from what was predicted, in seconds
}

// Observe takes how long an answer's begin took, with how many unread tokens.
func (f *Fit) Observe(tokens int, waited time.Duration) {
	f.begin()
	x, w := float64(tokens), waited.Seconds()
	f.count = keep*f.count + 1
	f.tokens = keep*f.tokens + x
	f.waited = keep*f.waited + w
	f.square = keep*f.square + x*x
	f.product = keep*f.product + x*w
	f.solve()
}

// begin puts the first guess in place of answers.
func (f *Fit) begin() {
	if f.count > 0 {
		return
	}
	f.base, f.token, f.deviation = firstBase.Seconds(), firstToken.Seconds(), firstDeviation.Seconds()
	mean := firstSpread
	f.count = firstWeight
	f.tokens = firstWeight * mean
	f.square = firstWeight * (mean*mean + firstSpread*firstSpread)
	f.waited = f.base*f.count + f.token*f.tokens
	f.product = f.base*f.tokens + f.token*f.square
}

// solve finds the line of the least squares, within the bounds.
func (f *Fit) solve() {
	meanTokens, meanWaited := f.tokens/f.count, f.waited/f.count
	spread := f.square/f.count - meanTokens*meanTokens
	if spread > 1 {
		f.token = (f.product/f.count - meanTokens*meanWaited) / spread
	}
	f.token = min(max(f.token, leastToken.Seconds()), mostToken.Seconds())
	f.base = min(max(meanWaited-f.token*meanTokens, 0), mostBase.Seconds())
}

// Wait returns the wait expected with so many unread tokens.
func (f *Fit) Wait(tokens int) time.Duration {
	f.begin()
	return seconds(f.base + f.token*float64(max(tokens, 0)))
}

// Reading returns the part of the wait that so many tokens are.
func (f *Fit) Reading(tokens int) time.Duration {
	f.begin()
	return seconds(f.token * float64(max(tokens, 0)))
}

const (
	// firstDeviation is the mean deviation before any answer.
	firstDeviation = 50 * time.Millisecond
	// deviationStep is the weight of one answer in it: some hundred count.
	deviationStep = 0.01
	// mostDeviation bounds what one answer says: one that hung says little of the next.
	mostDeviation = 500 * time.Millisecond
	// logistic is how many times its scale the mean deviation of a logistic distribution is.
	logistic = 2 * math.Ln2
	// certain is from how many scales beyond its target on an answer is late for certain.
	certain = 20
)

// Deviate takes by how much the begin of an answer was off its prediction.
func (f *Fit) Deviate(off time.Duration) {
	f.begin()
	f.deviation += deviationStep * (min(off.Abs(), mostDeviation).Seconds() - f.deviation)
}

// Late returns by how much an answer that is predicted after a wait is late in the mean.
// Answers come about their prediction as in a logistic distribution: one that is predicted
// only just in time is late in half of all cases, because of what nobody knew of.
func (f *Fit) Late(wait, target time.Duration) time.Duration {
	f.begin()
	scale := f.deviation / logistic
	beyond := (wait - target).Seconds()
	if beyond >= certain*scale {
		return max(wait-target, 0)
	}
	return seconds(scale * math.Log1p(math.Exp(beyond/scale)))
}

// Tokens returns how many tokens an engine reads in a time, 0 for a negative one.
func (f *Fit) Tokens(length time.Duration) float64 {
	f.begin()
	return max(length.Seconds(), 0) / f.token
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

const (
	// step is the weight of one answer in an engine's factor: a router has some two
	// answers a second of each engine.
	step = 0.15
	// mostRatio bounds what one answer says, either way: one that waited behind a
	// prompt that this router did not know of says little of the next.
	mostRatio = 4.0
	// leastLog is what counts as one again: a hundredth, which no answer shows.
	leastLog = 0.01
	// forgets is the half-life of a factor without answers. A slow engine gets little
	// work, and would else never be found to have recovered.
	forgets = 3 * time.Second
)

// Factor is by how much an engine's waits exceed the prediction. Its zero value is one.
type Factor struct {
	log float64
	at  time.Time
}

// Observe takes an answer's wait and what was predicted for it.
func (f *Factor) Observe(now time.Time, waited, predicted time.Duration) {
	f.decay(now)
	ratio := max(waited.Seconds(), 1e-3) / max(predicted.Seconds(), 1e-3)
	ratio = min(max(ratio, 1/mostRatio), mostRatio)
	f.log += step * (math.Log(ratio) - f.log)
}

// Get returns the factor.
func (f *Factor) Get(now time.Time) float64 {
	if f.log == 0 {
		return 1
	}
	f.decay(now)
	return math.Exp(f.log)
}

func (f *Factor) decay(now time.Time) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		f.log *= math.Exp2(-elapsed.Seconds() / forgets.Seconds())
		f.at = now
		if math.Abs(f.log) < leastLog {
			f.log = 0
		}
	}
}
