package director

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// timerClock is a fake clock that reports when the timer of a planned stop has been registered. The number of
// timers, as BlockUntilContext counts them, does not tell: other parts of a router register theirs meanwhile.
type timerClock struct {
	*clockwork.FakeClock
	draining chan struct{} // closed once there is a timer of drainTime
}

func newTimerClock() *timerClock {
	return &timerClock{FakeClock: clockwork.NewFakeClock(), draining: make(chan struct{})}
}

// After registers a timer.
func (c *timerClock) After(d time.Duration) <-chan time.Time {
	timer := c.FakeClock.After(d)
	if d == drainTime {
		close(c.draining)
	}
	return timer
}

// awaitDrainTimer waits until the timer of a planned stop has been registered. An Advance before that would be
// lost, and the stop would not go on.
func (c *timerClock) awaitDrainTimer(t *testing.T) {
	t.Helper()
	select {
	case <-c.draining:
	case <-time.After(waitTimeout):
		require.Fail(t, "the stop does not begin")
	}
}
