package passer

import "time"

const (
	// spareQueue and spareWait are the parts of its target that a request beyond its
	// workspace's right may be expected to wait behind others, and to wait in all. The
	// engine that would run it has next to nothing else to do then.
	spareQueue = 0.25
	spareWait  = 0.9
	// retryBusy is when a request may come back that found engines busy: half of what
	// they have to do is done by then.
	retryBusy = 100 * time.Millisecond
)

// keepsOthersWaiting tells whether a request that nobody owes an answer would be read
// before, or together with, those that are owed one.
func (p *Passer) keepsOthersWaiting(q *request) bool {
	if !q.spare {
		return false
	}
	q.queue, q.expected = p.options.Balancer.Estimate(q.received, q.service, &q.in.Work)
	target := float64(q.in.Work.Target)
	return q.queue > time.Duration(spareQueue*target) || q.expected > time.Duration(spareWait*target)
}
