package apportioner

import "math"

// longestDebt bounds, in seconds of the share, what a workspace pays back of what it took
// before its bound was known.
const longestDebt = 4.0

// allowance is what a workspace may use at one router of one of its shares.
type allowance struct {
	share   float64 // tokens a second of the whole fleet; +Inf without a bound
	tokens  float64 // that may be used here now; below 0 after a large request
	taken   float64 // tokens a second that were used here of late
	bounded bool    // there was a bound at the last request
}

// grow fills it with this router's part of the share for a time, in seconds.
//
// What was taken beyond the share before there was a bound is owed from then on: routers
// hear of one another's demand half a second late, and a flood that begins at all of them
// takes several seconds' shares until then, while others wait.
func (l *allowance) grow(local, elapsed float64) {
	l.taken *= fading(elapsed)
	switch {
	case math.IsInf(local, 1):
		l.bounded, l.tokens = false, 0
	case !l.bounded:
		debt := max(l.taken-local, 0) * halfLife.Seconds() / math.Ln2
		l.bounded, l.tokens = true, local*firstBurst-min(debt, local*longestDebt)
	default:
		l.tokens = min(l.tokens+local*elapsed, local*Burst)
	}
}

// take uses some of it.
func (l *allowance) take(tokens float64) {
	l.tokens -= tokens
	l.taken += asRate(tokens)
}
