package director

import "time"

const (
	// reservedShare is the share of the processor time that is reserved for requests that are
	// served, however many have to be refused.
	reservedShare = 0.5
	// refusalCost is the core time that refusing a request takes.
	refusalCost = 25 * time.Microsecond
	// costDecay is the factor applied to older samples at each update: they count for some seconds.
	costDecay = 0.9
	// minMeasuredRequests is the number of recent requests from which on their cost is known.
	minMeasuredRequests = 20
)

// requestCost measures the core time that a served request takes, its whole stream included: a
// stream has a few events in one deployment and fifty in another. The zero value is ready to use.
type requestCost struct {
	lastUsed                 time.Duration // at the previous update, as are lastStarted and lastRefused
	lastStarted, lastRefused uint64
	coreSeconds, requests    float64 // decaying sums
}

// update takes cumulative totals since the start: the processor time used, and the requests started
// and refused. It returns the core seconds per served request, 0 if they are not known yet.
func (s *requestCost) update(used time.Duration, started, refused uint64) float64 {
	spent := used - s.lastUsed - time.Duration(refused-s.lastRefused)*refusalCost
	s.coreSeconds = s.coreSeconds*costDecay + max(spent, 0).Seconds()
	s.requests = s.requests*costDecay + float64(started-s.lastStarted)
	s.lastUsed, s.lastStarted, s.lastRefused = used, started, refused
	if s.requests < minMeasuredRequests {
		return 0
	}
	return s.coreSeconds / s.requests
}

// reserveStarts sets the floor of the start rate from the measured cost of a request, so that a
// share of the processor time stays reserved for requests that are served.
func (d *Director) reserveStarts() {
	cost := d.requestCost.update(d.processorTime(), d.proxier.Started(), d.proxier.Refused())
	if cost > 0 {
		d.pacer.Starts.SetFloor(reservedShare * d.settings.Processors / cost)
	}
}
