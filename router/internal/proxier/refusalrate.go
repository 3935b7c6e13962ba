package proxier

import (
	"sync"
	"time"
)

const (
	// refusalRateSpan is the span over which requests are counted; the rate covers at most two
	// spans. It is long enough for some hundreds of requests in a flood, and short enough to follow it.
	refusalRateSpan = 500 * time.Millisecond
	// minRefusalSamples is the minimum number of requests for which a rate is reported.
	minRefusalSamples = 50
	// maxRetryAfter is the longest pause after a refusal for lack of capacity. Clients honour a
	// Retry-After of at most a third of their timeout, and by then others may have taken the capacity.
	maxRetryAfter = time.Second
	// likelyRefused is the refusal rate above which a retry is more likely to be refused again
	// than not.
	likelyRefused = 0.5
)

// refusalRate measures the rate of refusals for lack of capacity. The zero value has counted no requests.
type refusalRate struct {
	mutex             sync.Mutex
	spanStart         time.Time // start of the current span
	current, previous requestCounts
}

type requestCounts struct{ total, refused int }

// add counts a request.
func (r *refusalRate) add(now time.Time, refused bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	r.current.total++
	if refused {
		r.current.refused++
	}
}

// ratio returns the fraction of recent requests that were refused, 0 to 1.
func (r *refusalRate) ratio(now time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	total := r.current.total + r.previous.total
	if total < minRefusalSamples {
		return 0
	}
	return float64(r.current.refused+r.previous.refused) / float64(total)
}

// rotate starts a new span if the current one is over.
func (r *refusalRate) rotate(now time.Time) {
	since := now.Sub(r.spanStart)
	if since < refusalRateSpan {
		return
	}
	r.previous = r.current
	if since >= 2*refusalRateSpan {
		r.previous = requestCounts{}
	}
	r.spanStart, r.current = now, requestCounts{}
}

// RefusalRatio returns the fraction of recent requests refused for lack of router capacity, 0 to 1.
func (p *Proxier) RefusalRatio(now time.Time) float64 {
	return p.refusals.ratio(now)
}

// overloadRetryAfter returns the pause of a client that was refused for lack of router capacity. Its retry uses
// a new connection, which mostly reaches another router. If its workspace gets less than its guaranteed share, the
// retry should get there in time. Any other is as likely to be refused as a new request: if one request in twenty is admitted, retries at once
// only take processor time from requests that could be served.
func (p *Proxier) overloadRetryAfter(q *request) time.Duration {
	if q.standing.Underserved {
		return minRetryAfter
	}
	return retryAfterFor(p.refusals.ratio(q.received))
}

// retryAfterFor returns the pause before a retry if a fraction of the requests, 0 to 1, is refused.
func retryAfterFor(refused float64) time.Duration {
	admitted := 1 - refused
	if minRetryAfter.Seconds() >= admitted*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(float64(minRetryAfter) / admitted)
}

// pressureRetryAfter returns the pause of a client whose call found no capacity at a plain service. While
// a retry is likely to be admitted, the pause is short enough for the retry to be in time.
func (p *Proxier) pressureRetryAfter(q *request) time.Duration {
	pressed := p.options.Balancer.RejectionShare(q.service)
	if pressed <= likelyRefused && !q.late() {
		return minRetryAfter
	}
	return retryAfterFor(pressed)
}
