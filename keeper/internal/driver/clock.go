package driver

import "time"

// clock is the replicated clock as a leader moves it on: from where the state
// had it when the leadership began, by the leader's own monotonic clock. Time
// without a leader is not counted, so claims live rather longer than their
// window, and a wall clock that jumps moves nothing.
type clock struct {
	term  uint64
	since time.Time
	base  time.Duration
}

func (c *clock) read(now time.Time, term uint64, state time.Duration) time.Duration {
	if c.term != term {
		*c = clock{term: term, since: now, base: state}
	}
	return max(state, c.base+now.Sub(c.since))
}
