package apportioner

import "math"

const (
	// longestDebt bounds, in seconds of the share, what a workspace pays back of what it
	// took before its bound was known.
	longestDebt = 4.0
	// shortDebt bounds it where there was another bound before.
	shortDebt = 0.5
)

// allowance is what a workspace may use at one router of one of its shares.
type allowance struct {
	share   float64 // tokens a second of the whole fleet; +Inf without a bound
	tokens  float64 // that may be used here now; below 0 after a large request
	taken   float64 // tokens a second that were used here of late
	bounded bool    // there was a bound at the last request
	settle  bool    // what was taken beyond the present bound is to be paid back
}

// grow fills it with this router's part of the share for a time, in seconds.
//
// What was taken beyond the share before there was a bound is owed from then on: routers
// hear of one another's demand half a second late, and a flood that begins at all of them
// takes several seconds' shares until then, while others wait.
//
// The same holds, for less, where another workspace begins to be held back by its router, or gets
// far less there than before: until that is known others take what engines have to spare, or
// what was due beside more, and after that a burst.
func (l *allowance) grow(local, elapsed float64) {
	l.taken *= fading(elapsed, halfLife)
	switch {
	case math.IsInf(local, 1):
		l.bounded, l.tokens = false, 0
	case !l.bounded:
		l.bounded, l.tokens = true, local*firstBurst-min(l.debt(local), local*longestDebt)
	case l.settle:
		l.tokens = min(l.tokens, 0) - min(l.debt(local), local*shortDebt)
	default:
		l.tokens = min(l.tokens+local*elapsed, local*Burst)
	}
	l.settle = false
}

// debt is what was taken of late beyond a bound, in tokens.
func (l *allowance) debt(local float64) float64 {
	return max(l.taken-local, 0) * halfLife.Seconds() / math.Ln2
}

// take uses some of it.
func (l *allowance) take(tokens float64) {
	l.tokens -= tokens
	l.taken += asRate(tokens, halfLife)
}
