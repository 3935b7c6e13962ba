package proxier

import "time"

const (
	// beyondShareMaxQueue and beyondShareMaxWait are the fractions of its target that a request beyond
	// its workspace's share may be expected to wait behind other requests, and to wait in total. Below
	// them, the engine that would run it has almost nothing else to do.
	beyondShareMaxQueue = 0.25
	beyondShareMaxWait  = 0.9
	// enginesBusyRetryAfter is the Retry-After of a request refused because engines are busy: half of
	// their current work is done by then.
	enginesBusyRetryAfter = 100 * time.Millisecond
)

// wouldDelayOthers reports whether a request beyond its workspace's share would be prefilled before, or
// together with, requests that are within the share of theirs.
func (p *Proxier) wouldDelayOthers(q *request) bool {
	if !q.beyondShare {
		return false
	}
	q.queueWait, q.expectedFirst = p.options.Balancer.Estimate(q.received, q.service, &q.in.Work)
	target := float64(q.in.Work.Target)
	return q.queueWait > time.Duration(beyondShareMaxQueue*target) || q.expectedFirst > time.Duration(beyondShareMaxWait*target)
}
