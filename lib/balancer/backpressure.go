package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// slowTargetShare is the share of its target latency above which a call counts as slow.
	slowTargetShare = 0.6
	// slowMinimumFactor is the multiple of the endpoint's minimum latency that a slow call exceeds
	// as well. An endpoint that is slow for every call has no queue that causes it, and sending it
	// fewer calls would not help.
	slowMinimumFactor = 3
	// minimumGrowth is the factor by which the minimum latency grows with each call, so that it
	// follows an endpoint that has become slower within some tens of calls.
	minimumGrowth = 1.02
	// decrease is the factor applied to the admitted share after a slow call or a refusal for lack
	// of capacity, and increase is the share of all calls that is admitted again after a quick call.
	// Together they settle where one call in ten is slow.
	decrease = 0.8
	increase = 0.02
	// minAdmitted is the share of calls that is admitted however slow they are: without it the
	// router would not notice that the endpoint has capacity again.
	minAdmitted = 0.05
	// fullWeight is the EWMA weight of the latest call in the share of calls that found the
	// endpoint full. From fullThreshold on the endpoint counts as recently full: one refusal in the
	// last fifteen calls.
	fullWeight    = 0.1
	fullThreshold = 0.02
	// lateWeight is the number of calls that a late call counts as when its admission is drawn.
	// If most calls are rejected, almost no late call is admitted beside calls that can still meet
	// their target; if few are, most late calls are admitted.
	lateWeight = 4
	// maxCapacityAttempts is the number of endpoints that are tried for capacity. With more attempts a
	// service of many endpoints would hardly ever reject a call, however high its load.
	maxCapacityAttempts = 3
	// rejectionWeight is the EWMA weight of the latest call in the share of a service's calls that
	// find no capacity.
	rejectionWeight = 0.05
)

// backpressure computes the share of the calls meant for one endpoint of a plain service that this
// router rejects, because they would wait behind the endpoint's queue.
//
// An endpoint runs a few calls at a time and queues some more. If the demand for a service exceeds
// its capacity, all queues are full and each call waits for a whole queue: all calls are late,
// whereas with short queues as many could be in time. Each of many routers has less than one call
// at a time at an endpoint, so a limit on concurrent calls per router has no effect. What each
// router observes is the latency of answers and the refusals for lack of capacity; the admitted share
// follows these as a congestion window does (D.-M. Chiu and R. Jain, "Analysis of the Increase and
// Decrease Algorithms for Congestion Avoidance", Computer Networks and ISDN Systems 17, 1989).
//
// The zero value rejects nothing.
type backpressure struct {
	rejected    float64       // share of the calls that is rejected, 0 to 1
	minLatency  time.Duration // recent minimum latency of a call, 0 before the first
	lastLatency time.Duration // latency of the latest call
	fullShare   float64       // EWMA of the share of calls that found the endpoint full
}

// observeAnswer records the latency of an answer with a target latency.
func (b *backpressure) observeAnswer(took, target time.Duration) {
	b.fullShare *= 1 - fullWeight
	b.lastLatency = took
	if b.minLatency == 0 || took < b.minLatency {
		b.minLatency = took
	} else {
		b.minLatency = time.Duration(minimumGrowth * float64(b.minLatency))
	}
	switch slow := time.Duration(slowTargetShare * float64(target)); {
	case took > max(slow, slowMinimumFactor*b.minLatency):
		b.reduce()
	case took <= slow || b.fullShare < fullThreshold:
		b.rejected = max(b.rejected-increase, 0)
	}
}

// admitProbability returns the probability with which a call is admitted.
func (b *backpressure) admitProbability(late bool) float64 {
	if late {
		return math.Pow(1-b.rejected, lateWeight)
	}
	return 1 - b.rejected
}

// observeFull records that the endpoint refused a call for lack of capacity. An endpoint that answers
// other calls quickly has no queue: it refuses calls for another reason, and the share stays.
func (b *backpressure) observeFull(target time.Duration) {
	b.fullShare += fullWeight * (1 - b.fullShare)
	if b.lastLatency == 0 || b.lastLatency > time.Duration(slowTargetShare*float64(target)) {
		b.reduce()
	}
}

func (b *backpressure) reduce() {
	b.rejected = min(1-decrease*(1-b.rejected), 1-minAdmitted)
}

// isPlainCall reports whether a request to a service is a plain call rather than a prompt for an
// engine.
func (b *Balancer) isPlainCall(service string, work *Work) bool {
	return len(work.Parts) == 0 && b.cacheCapacities[service] == 0
}

// pickPlain takes a slot at an endpoint of a plain service that has capacity. It returns nil if none of
// the endpoints that were tried has capacity.
func (b *Balancer) pickPlain(now time.Time, service string, work *Work, excluded func(id string) bool) *Slot {
	var full []*endpoint
	for len(full) < maxCapacityAttempts {
		best := b.choose(now, service, work, func(id string) bool {
			return excluded != nil && excluded(id) ||
				slices.ContainsFunc(full, func(e *endpoint) bool { return e.ID == id })
		})
		if best.endpoint == nil {
			break
		}
		if b.randomUnit() < best.endpoint.pressure.admitProbability(work.Late) {
			b.services[service].noteRejection(false)
			slot := b.takeSlot(now, best, work)
			slot.objective = work.Objective
			return slot
		}
		full = append(full, best.endpoint)
	}
	if len(full) > 0 {
		b.services[service].noteRejection(true)
	}
	return nil
}

// randomUnit returns the next value of a uniform pseudo-random sequence in [0, 1).
func (b *Balancer) randomUnit() float64 {
	b.draws++
	return float64(mix(b.Seed, b.draws)>>11) / (1 << 53)
}

// noteRejection records whether a call of the service found no endpoint with capacity.
func (p *pool) noteRejection(rejected bool) {
	p.rejectionShare *= 1 - rejectionWeight
	if rejected {
		p.rejectionShare += rejectionWeight
	}
}

// RejectionShare returns the share of a service's calls that recently found no endpoint with capacity,
// 0 to 1.
func (b *Balancer) RejectionShare(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if listed := b.services[service]; listed != nil {
		return listed.rejectionShare
	}
	return 0
}

// HasEligible reports whether a service has an endpoint that is ready, outside evacuated zones and
// of the request's version, whether or not it accepts requests now.
func (b *Balancer) HasEligible(service string, work *Work) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.all(service) {
		if work.matchesVersion(e) && b.isEligible(e) {
			return true
		}
	}
	return false
}

// HasAvailable reports whether a service has an endpoint that is not excluded and may get the
// request now, whether or not it has capacity.
func (b *Balancer) HasAvailable(now time.Time, service string, work *Work, excluded func(id string) bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.all(service) {
		if work.matchesVersion(e) && b.isAvailable(now, e) && !excluded(e.ID) {
			return true
		}
	}
	return false
}

// CountThrottled returns the number of endpoints of plain services for which this router rejects a
// share of the calls.
func (b *Balancer) CountThrottled() int {
	return b.count(func(e *endpoint) bool { return e.pressure.rejected > 0 })
}
