package apportioner

import "math"

// allowance is what a workspace may use at one router of one of its shares.
type allowance struct {
	share   float64 // tokens a second of the whole fleet; +Inf without a bound
	tokens  float64 // that may be used here now; below 0 after a large request
	bounded bool    // there was a bound at the last request
}

// grow fills it with this router's part of the share for a time, in seconds.
func (l *allowance) grow(local, elapsed float64) {
	switch {
	case math.IsInf(local, 1):
		l.bounded, l.tokens = false, 0
	case !l.bounded:
		l.bounded, l.tokens = true, local*firstBurst
	default:
		l.tokens = min(l.tokens+local*elapsed, local*Burst)
	}
}
