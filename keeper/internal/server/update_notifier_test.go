package server

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against a keeper that answers no calls for seconds while a large fleet starts: thousands
// of endpoints announce themselves within a second, and each of hundreds of followers is
// notified of each endpoint separately.
func TestManyUpdatesAreCoalesced(t *testing.T) {
	const changes, step = 1000, time.Millisecond
	tests := map[string]struct {
		followers   int
		urgent      bool
		maxNotified int // maximum number of notifications
	}{
		"small fleet, each change notified":        {10, false, changes},
		"large fleet, some notifications":          {80, false, 3},
		"hundreds of followers, one notification":  {220, false, 1},
		"thousands of followers, one notification": {2000, false, 1},
		"hundreds of followers, urgent changes":    {220, true, 4},
		"thousands of followers, urgent changes":   {2000, true, 3},
		"urgent pause is bounded":                  {20_000, true, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			n := &updateNotifier{clock: clock, followers: func() int { return test.followers }}
			notified, changed := 0, n.next()
			check := func() {
				select {
				case <-changed:
					notified, changed = notified+1, n.next()
				default:
				}
			}
			for range changes {
				n.notify(test.urgent)
				check()
				require.Positive(t, notified, "the first change is notified at once")
				clock.Advance(step)
				require.Eventually(t, func() bool {
					n.mutex.Lock()
					defer n.mutex.Unlock()
					return n.flushAt.IsZero() || clock.Now().Before(n.flushAt)
				}, waitTimeout, 10*time.Microsecond)
				check()
			}
			require.LessOrEqual(t, notified, test.maxNotified)
			require.GreaterOrEqual(t, notified, test.maxNotified-1, "no change waits longer than the pause")
			clock.Advance(maxRoutinePause)
			require.Eventually(t, func() bool { check(); n.mutex.Lock(); defer n.mutex.Unlock(); return n.flushAt.IsZero() }, waitTimeout, time.Millisecond, "the last change is notified")
		})
	}
}

// Guards against an endpoint that leaves, whose announcement waits for the pending notification
// of routine changes.
func TestUrgentUpdateOvertakesRoutineOnes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &updateNotifier{clock: clock, followers: func() int { return 2000 }}
	n.notify(false)
	pending := n.next()
	n.notify(false)
	n.notify(true)
	clock.Advance(maxUrgentPause)
	select {
	case <-pending:
	case <-t.Context().Done():
	}
	changed := n.next()
	clock.Advance(maxRoutinePause)
	n.flush()
	select {
	case <-changed:
		require.Fail(t, "the coalesced changes were notified already")
	default:
	}
	n.notify(false)
	<-changed
}
