package apportioner

import (
	"math"
	"time"
)

// Standing tells how a workspace's next request at this router relates to its guaranteed share. A full
// router uses it to decide whom it refuses first, and what it tells them.
type Standing struct {
	// Owed is set if the request is within what this router holds of the guaranteed share. A request to
	// which no share applies is owed.
	Owed bool
	// Underserved is set if the whole fleet serves the workspace less than its guaranteed share, or if
	// that share does not bound it: a retry at another router is owed. It is not set if no share applies.
	Underserved bool
}

// Standing returns the standing of a workspace. Nothing is counted or spent.
func (a *Apportioner) Standing(now time.Time, name string) Standing {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.bounded(now, name)
	if w == nil {
		return Standing{Owed: true}
	}
	a.decide(now, w, false) // it refills the allowances
	return Standing{
		Owed:        !w.guaranteed.bounded || w.guaranteed.tokens >= 0,
		Underserved: math.IsInf(w.guaranteed.share, 1) || w.served() < w.guaranteed.share,
	}
}
