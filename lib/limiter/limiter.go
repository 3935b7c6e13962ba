// Package limiter bounds the requests that wait at a router, per workspace and in total, and
// estimates when a refused client may retry.
//
// Invariants: a workspace never has more requests waiting than its bound, and all workspaces
// together never more than the total. A workspace with few waiting requests is admitted while
// others flood, because the last eighth of the total is reserved for workspaces with fewer than
// SmallQueue waiting. A refusal costs one map lookup.
package limiter

import (
	"math"
	"time"
)

const (
	// SmallQueue is the number of waiting requests up to which a workspace may use the reserved
	// part of the total.
	SmallQueue = 8
	// reservedDivisor gives the part of the total that is reserved for small workspaces: one in
	// reservedDivisor.
	reservedDivisor = 8
	// halfLife is the half-life of the drain rate's decay.
	halfLife = 10 * time.Second
	// minRetry and maxRetry bound the retry delay that clients are given.
	minRetry = time.Second
	maxRetry = time.Minute
	// idleRetention is how long the drain rate of an idle workspace is kept.
	idleRetention = 5 * time.Minute
	// maxQueues bounds the workspaces that have a queue; at about 100 bytes each they take 400 KiB.
	maxQueues = 4096
)

// Limiter counts waiting requests. The zero value refuses all requests until Total is set. Limiter
// is not safe for concurrent use.
type Limiter struct {
	Total int // maximum number of requests that wait at this router

	waiting int
	queues  map[string]*queue
}

// queue holds the number of a workspace's waiting requests and its drain rate: the requests that
// left the queue for a slot, and the time during which requests waited. Both decay.
type queue struct {
	waiting int
	served  float64
	seconds float64
	updated time.Time
}

// Enter admits a request to the queue, or returns the time after which the client may retry.
func (l *Limiter) Enter(now time.Time, workspace string, bound int) (retry time.Duration, entered bool) {
	q := l.queue(now, workspace)
	if q == nil {
		return maxRetry, false
	}
	q.decay(now)
	if q.waiting >= bound || l.waiting >= l.capacityFor(q) {
		return q.retryAfter(), false
	}
	q.waiting++
	l.waiting++
	return 0, true
}

// Leave removes a request from the queue. Served means that the request got a slot.
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

// Waiting returns the number of waiting requests of all workspaces.
func (l *Limiter) Waiting() int {
	return l.waiting
}

// capacityFor returns the total number of waiting requests at which this workspace is refused.
func (l *Limiter) capacityFor(q *queue) int {
	if q.waiting < SmallQueue {
		return l.Total
	}
	return l.Total - l.Total/reservedDivisor
}

func (l *Limiter) queue(now time.Time, workspace string) *queue {
	if q, found := l.queues[workspace]; found {
		return q
	}
	if l.queues == nil {
		l.queues = make(map[string]*queue)
	}
	if len(l.queues) >= maxQueues && !l.evictIdle(now) {
		return nil
	}
	q := &queue{updated: now}
	l.queues[workspace] = q
	return q
}

// evictIdle drops workspaces that have been idle for idleRetention and reports whether there is a
// free queue.
func (l *Limiter) evictIdle(now time.Time) bool {
	for workspace, q := range l.queues {
		if q.waiting == 0 && now.Sub(q.updated) >= idleRetention {
			delete(l.queues, workspace)
		}
	}
	return len(l.queues) < maxQueues
}

// decay applies the decay until now. Time counts only while requests wait: an empty queue drains
// nothing, however fast it could.
func (q *queue) decay(now time.Time) {
	passed := now.Sub(q.updated)
	if passed <= 0 {
		return
	}
	q.updated = now
	kept := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	q.served *= kept
	q.seconds *= kept
	if q.waiting > 0 {
		q.seconds += passed.Seconds()
	}
}

// retryAfter estimates the time until the current queue has drained.
func (q *queue) retryAfter() time.Duration {
	if q.served <= 0 {
		if q.seconds <= 0 {
			return minRetry
		}
		return maxRetry
	}
	seconds := float64(q.waiting) * q.seconds / q.served
	estimate := time.Duration(min(seconds, maxRetry.Seconds()) * float64(time.Second))
	return max(estimate, minRetry)
}
