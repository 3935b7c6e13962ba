package server

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// unthrottledFollowers is the number of followers up to which each change is notified
	// without coalescing.
	unthrottledFollowers = 20
	// urgentAnswersPerSecond bounds the answers per second caused by urgent changes, and
	// routineAnswersPerSecond those caused by other changes.
	urgentAnswersPerSecond  = 600
	routineAnswersPerSecond = 150
	// maxUrgentPause bounds the pause between notifications of urgent changes, and
	// maxRoutinePause that of other changes. An endpoint that has announced that it leaves must
	// get no more work; a new endpoint is merely unused until it is announced.
	maxUrgentPause  = 400 * time.Millisecond
	maxRoutinePause = 2 * time.Second
)

// updateNotifier wakes the long polls of the followers after changes of endpoints or of the plan.
//
// An isolated change is notified at once. Changes that follow shortly after are coalesced:
// when thousands of endpoints announce themselves, notifying hundreds of followers of each
// change separately would use all of a keeper's processor time, and calls about the
// configuration would get no answer in the meantime.
type updateNotifier struct {
	broadcast
	clock clockwork.Clock
	// followers returns the current number of followers.
	followers func() int

	mutex        sync.Mutex
	lastNotified time.Time
	flushAt      time.Time // due time of the coalesced notification, zero if none is pending
}

// notify wakes the followers, at once or after a pause. A change is urgent if it takes an
// endpoint out of use, or if it is a new plan.
func (n *updateNotifier) notify(urgent bool) {
	pause := notifyPause(n.followers(), urgent)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now, due := n.clock.Now(), n.lastNotified.Add(pause)
	if !n.flushAt.IsZero() && !due.Before(n.flushAt) {
		return
	}
	if n.lastNotified.IsZero() || !due.After(now) {
		n.flushAt, n.lastNotified = time.Time{}, now
		n.broadcast.notify()
		return
	}
	n.flushAt = due
	n.clock.AfterFunc(due.Sub(now), n.flush)
}

// notifyPause returns the minimum pause between two notifications of a number of followers.
func notifyPause(followers int, urgent bool) time.Duration {
	throttled := time.Duration(max(followers-unthrottledFollowers, 0)) * time.Second
	if urgent {
		return min(throttled/urgentAnswersPerSecond, maxUrgentPause)
	}
	return min(throttled/routineAnswersPerSecond, maxRoutinePause)
}

// flush sends the coalesced notification if it is due.
func (n *updateNotifier) flush() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.clock.Now()
	if n.flushAt.IsZero() || now.Before(n.flushAt) {
		return // an earlier notification has covered the changes
	}
	n.flushAt, n.lastNotified = time.Time{}, now
	n.broadcast.notify()
}
