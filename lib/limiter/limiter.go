// Package limiter bounds the requests that wait at a router, per workspace and
// in total, and estimates when a refused caller may come back.
//
// Invariants: a workspace never has more waiting than its bound, and all
// together never more than the total; a workspace with few waiting finds room
// while others flood, because the last eighth of the total is kept for those
// with at most Small waiting; a refusal costs a map lookup.
package limiter

import (
	"math"
	"time"
)

const (
	// Small is how many requests a workspace may have waiting and still count as small.
	Small = 8
	// reservedPart of the total is kept for small workspaces: one in reservedPart.
	reservedPart = 8
	// halfLife is how fast the drain rate forgets: half of the past in this time.
	halfLife = 10 * time.Second
	// leastRetry and mostRetry bound what callers are told.
	leastRetry = time.Second
	mostRetry  = time.Minute
	// forgetAfter is how long the drain rate of an idle workspace is kept.
	forgetAfter = 5 * time.Minute
	// maxQueues bounds the workspaces that are known; at about 100 bytes each
	// they take 400 KiB.
	maxQueues = 4096
)

// Limiter counts waiting requests. The zero value refuses all; set Total.
type Limiter struct {
	Total int // the most requests that wait at this router

	waiting int
	queues  map[string]*queue
}

// queue is one workspace's waiting requests and its drain rate: requests that
// left the queue for a slot, and the time in which they did, both decayed.
type queue struct {
	waiting int
	served  float64
	seconds float64
	at      time.Time
}

// Enter lets a request wait, or tells when to come back.
func (l *Limiter) Enter(now time.Time, workspace string, bound int) (retry time.Duration, entered bool) {
	q := l.queue(now, workspace)
	if q == nil {
		return mostRetry, false
	}
	q.decay(now)
	if q.waiting >= bound || l.waiting >= l.room(q) {
		return q.retry(), false
	}
	q.waiting++
	l.waiting++
	return 0, true
}

// Leave takes a request out of the queue. Served says that it got a slot.
func (l *Limiter) Leave(now time.Time, workspace string, served bool) {
	q, found := l.queues[workspace]
	if !found || q.waiting == 0 {
		return
	}
	q.decay(now)
	q.waiting--
	l.waiting--
	if served {
		q.served++
	}
}

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int {
	return l.waiting
}

// room returns the total at which this workspace is refused.
func (l *Limiter) room(q *queue) int {
	if q.waiting < Small {
		return l.Total
	}
	return l.Total - l.Total/reservedPart
}

func (l *Limiter) queue(now time.Time, workspace string) *queue {
	if q, found := l.queues[workspace]; found {
		return q
	}
	if l.queues == nil {
		l.queues = make(map[string]*queue)
	}
	if len(l.queues) >= maxQueues && !l.forget(now) {
		return nil
	}
	q := &queue{at: now}
	l.queues[workspace] = q
	return q
}

// forget drops workspaces that have been idle for long.
func (l *Limiter) forget(now time.Time) bool {
	for workspace, q := range l.queues {
		if q.waiting == 0 && now.Sub(q.at) >= forgetAfter {
			delete(l.queues, workspace)
		}
	}
	return len(l.queues) < maxQueues
}

// decay lets time pass. Time counts only while requests wait: an empty queue
// drains nothing however fast it could.
func (q *queue) decay(now time.Time) {
	passed := now.Sub(q.at)
	if passed <= 0 {
		return
	}
	q.at = now
	kept := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	q.served *= kept
	q.seconds *= kept
	if q.waiting > 0 {
		q.seconds += passed.Seconds()
	}
}

// retry is the time in which the queue of now will have drained.
func (q *queue) retry() time.Duration {
	if q.served <= 0 {
		if q.seconds <= 0 {
			return leastRetry
		}
		return mostRetry
	}
	seconds := float64(q.waiting) * q.seconds / q.served
	estimate := time.Duration(min(seconds, mostRetry.Seconds()) * float64(time.Second))
	return max(estimate, leastRetry)
}
