package driver

import "time"

// clock is the replicated clock as a leader advances it: it starts from the value
// in the state when the leader's term began and adds the time elapsed on the
// leader's monotonic clock. Time without a leader is not counted, so claims may
// outlive their window but never expire early, and a jump of the wall clock has
// no effect.
type clock struct {
	term  uint64
	start time.Time     // when the leader first read the clock in the term
	base  time.Duration // the clock of the state at start
}

// read returns the replicated clock at now for a leader of the term. It never
// returns less than the clock of the state.
func (c *clock) read(now time.Time, term uint64, state time.Duration) time.Duration {
	if c.term != term {
		*c = clock{term: term, start: now, base: state}
	}
	return max(state, c.base+now.Sub(c.start))
}
