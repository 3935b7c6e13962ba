package apportioner

import "math"

const (
	// maxInitialDebt bounds, in seconds of the local share, the debt for tokens that a workspace
	// spent before it had a bound.
	maxInitialDebt = 4.0
	// maxLaterDebt bounds, in seconds of the local share, the debt for tokens spent beyond a bound
	// that has since become lower.
	maxLaterDebt = 0.5
)

// allowance is a token bucket: what a workspace may spend at one router under one of its shares.
type allowance struct {
	share     float64 // tokens per second of the whole fleet; +Inf without a bound
	tokens    float64 // available now at this router; below 0 after a large request
	spentRate float64 // recent spending at this router, tokens per second
	bounded   bool    // a bound applied at the last refill
	repay     bool    // the next refill charges what was spent beyond the present bound
}

// refill adds this router's part of the share, local tokens per second, for elapsed seconds.
//
// What was spent beyond the share before a bound existed becomes a debt: routers learn the demand
// at other routers half a second late, and until then a flood that begins at all of them spends
// several seconds' worth of its share, while other workspaces wait.
//
// A smaller debt applies when another workspace becomes starved, or its service rate falls sharply:
// until this is known the others spend the spare capacity of engines, or what their bound allowed
// at the earlier rate, and a burst after that.
func (l *allowance) refill(local, elapsed float64) {
	l.spentRate *= decayFactor(elapsed, halfLife)
	switch {
	case math.IsInf(local, 1):
		l.bounded, l.tokens = false, 0
	case !l.bounded:
		l.bounded, l.tokens = true, local*initialBurst-min(l.debt(local), local*maxInitialDebt)
	case l.repay:
		l.tokens = min(l.tokens, 0) - min(l.debt(local), local*maxLaterDebt)
	default:
		l.tokens = min(l.tokens+local*elapsed, local*Burst)
	}
	l.repay = false
}

// debt returns the tokens that were recently spent beyond a bound.
func (l *allowance) debt(local float64) float64 {
	return max(l.spentRate-local, 0) * halfLife.Seconds() / math.Ln2
}

// spend takes tokens from the bucket.
func (l *allowance) spend(tokens float64) {
	l.tokens -= tokens
	l.spentRate += asRate(tokens, halfLife)
}
