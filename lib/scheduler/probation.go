package scheduler

import "time"

// Limits of probation.
const (
	minProbation = 250 * time.Millisecond
	maxProbation = 30 * time.Second
	// failedThreshold and refusalThreshold are how many attempts that end as Failed
	// or as Refused, without a success in between, put an endpoint on probation. A
	// single failed attempt may be the fault of the request.
	failedThreshold  = 3
	refusalThreshold = 2
)

// probation keeps work away from an endpoint that fails: it receives no request
// for a time that doubles with each failure, then one at a time until one
// succeeds. Without it, an endpoint that fails immediately would appear idle
// and attract every request of the pool. An endpoint that asks for backoff
// receives no request for that time, whatever the outcome of its earlier
// requests.
type probation struct {
	failures      int       // counted failures since the last success
	blockedUntil  time.Time // end of the period without requests
	backoffUntil  time.Time // end of the backoff that the endpoint asked for
	probing       bool      // one request at a time until one succeeds
	failedEndings int       // endings Failed since the last success
	refusals      int       // endings Refused since the last success
}

// fail counts a failure. Failures during a blocked period are ignored: their
// requests were sent before it and carry no new information.
func (p *probation) fail(now time.Time) {
	if now.Before(p.blockedUntil) {
		return
	}
	wait := maxProbation
	if p.failures < 7 {
		wait = min(wait, minProbation<<p.failures)
	}
	p.failures++
	p.blockedUntil = now.Add(wait)
	p.probing = true
}

// succeed ends probation after a completed request, but not a requested backoff.
func (p *probation) succeed() {
	*p = probation{backoffUntil: p.backoffUntil}
}

// backOff blocks all requests until the given time, as the endpoint asked.
func (p *probation) backOff(until time.Time) {
	if until.After(p.backoffUntil) {
		p.backoffUntil = until
	}
}

// reopensAt returns when the endpoint may receive requests again.
func (p *probation) reopensAt() time.Time {
	if p.backoffUntil.After(p.blockedUntil) {
		return p.backoffUntil
	}
	return p.blockedUntil
}

// closed reports whether the endpoint may receive no request at all.
func (p *probation) closed(now time.Time) bool {
	return now.Before(p.reopensAt())
}

// observe records how a request at the endpoint ended.
func (p *probation) observe(now time.Time, ending Ending) {
	switch ending {
	case Done:
		p.succeed()
	case Unreachable:
		p.fail(now)
	case Refused:
		p.refusals++
		if p.probing || p.refusals >= refusalThreshold {
			p.fail(now)
		}
	case Failed:
		p.failedEndings++
		if p.probing || p.failedEndings >= failedThreshold {
			p.fail(now)
		}
	case Cancelled, Declined:
	}
}
