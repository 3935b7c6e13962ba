package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Stats is the state of a pool for status pages and explanations.
type Stats struct {
	Zone    string
	Service string
	Origin  uint64
	Waiting int // number of tickets
	Running int // number of requests holding a local or a borrowed slot
	// Workspaces is sorted by name and contains only workspaces that have had
	// work here.
	Workspaces []WorkspaceStats
	// Endpoints is sorted by ID.
	Endpoints []EndpointStats
	// Gap is the largest difference of counters between two workspaces that both
	// wait and share an eligible endpoint, in units by weight and without the
	// estimates of work in flight.
	Gap float64
	// Bound is the current upper bound of Gap by the formula of
	// docs/FAIRNESS.md.
	Bound float64
	// Utilisation is the current ratio of used to usable slots.
	Utilisation float64
	// Busy and Usable are the integrals of used and usable slots over time
	// since the pool started. The ratio of their increases over an interval is
	// the utilisation in that interval.
	Busy   time.Duration
	Usable time.Duration
	// Lent and Borrowed count loans that are in use.
	Lent     int
	Borrowed int
	// Held counts slots kept free for another zone until its next exchange.
	Held int
}

// WorkspaceStats is the state of one workspace at a pool.
type WorkspaceStats struct {
	Workspace string
	Weight    float64
	Waiting   int
	Running   int
	// Charged is the units that this pool has charged since it started.
	Charged uint64
	// Counter is the service counter without Reserved: units by weight over the whole
	// fleet, as far as known here.
	Counter float64
	// Reserved is the estimated units in flight that have not been charged yet.
	Reserved uint64
	// Oldest is the waiting time of the oldest ticket.
	Oldest time.Duration
}

// EndpointStats is the state of one endpoint of a pool.
type EndpointStats struct {
	Endpoint    string
	Incarnation uint64
	Slots       int // as announced
	Window      int // requests allowed at once, at most Slots
	Limit       int // requests allowed now: Window, or less while the endpoint fails or leaves
	Busy        int // own requests, loans and holds
	Foreign     int // requests that this pool did not send, as reported
	Draining    bool
	Leaving     bool
	Hung        bool
	// Probation is the remaining time for which the endpoint receives no
	// request because of failures or a requested backoff.
	Probation time.Duration
}

// Stats returns the state of the pool. It iterates over all workspaces, lanes
// and endpoints and is meant for status pages.
func (p *Pool) Stats(now time.Time) Stats {
	stats := Stats{
		Zone: p.options.Zone, Service: p.options.Service, Origin: p.options.Origin,
		Waiting: p.waiting, Running: p.running,
		Gap: p.gap(), Bound: p.bound(),
		Busy: p.busyTime, Usable: p.usableTime,
		Lent: len(p.loanList), Borrowed: len(p.borrowings), Held: p.heldSlots,
	}
	if p.usableSlots > 0 {
		stats.Utilisation = float64(p.busySlots) / float64(p.usableSlots)
	}
	for _, w := range p.workspaceList {
		stats.Workspaces = append(stats.Workspaces, w.stats(now))
	}
	for _, e := range p.endpointsByIndex {
		if e != nil {
			stats.Endpoints = append(stats.Endpoints, e.stats(now))
		}
	}
	slices.SortFunc(stats.Workspaces, func(a, b WorkspaceStats) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(stats.Endpoints, func(a, b EndpointStats) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return stats
}

func (w *workspace) stats(now time.Time) WorkspaceStats {
	stats := WorkspaceStats{
		Workspace: w.name, Weight: w.account.Weight(), Waiting: w.waiting, Running: w.running,
		Charged: w.account.Own().Charged, Counter: w.account.Counter(), Reserved: w.reserved,
	}
	for _, l := range w.active {
		if l.first != nil {
			stats.Oldest = max(stats.Oldest, now.Sub(l.first.arrived))
		}
	}
	return stats
}

func (e *endpoint) stats(now time.Time) EndpointStats {
	return EndpointStats{
		Endpoint: e.id, Incarnation: e.incarnation,
		Slots: e.throttle.Slots(), Window: e.throttle.Window(), Limit: e.limit(now), Busy: e.busy(), Foreign: e.foreign,
		Draining: e.draining, Leaving: e.leaving, Hung: e.hung,
		Probation: max(0, e.probation.reopensAt().Sub(now)),
	}
}

// counterRange is the smallest and the largest counter of a group's workspaces.
type counterRange struct {
	group             *group
	smallest, largest float64
	found             bool
}

// gap returns the largest difference of counters between two workspaces that
// both wait and share an endpoint.
func (p *Pool) gap() float64 {
	ranges := p.counterRanges()
	largest := 0.0
	for i, a := range ranges {
		for _, b := range ranges[i:] {
			if a.group.endpoints.intersects(b.group.endpoints) {
				largest = max(largest, a.largest-b.smallest, b.largest-a.smallest)
			}
		}
	}
	return largest
}

// counterRanges returns the range of each group with a local waiting workspace.
func (p *Pool) counterRanges() []counterRange {
	var ranges []counterRange
	for _, g := range p.groupList {
		s := counterRange{group: g}
		for _, l := range g.lanes {
			if l.remote() {
				continue
			}
			counter := l.workspace.account.Counter()
			if !s.found || counter < s.smallest {
				s.smallest = counter
			}
			if !s.found || counter > s.largest {
				s.largest = counter
			}
			s.found = true
		}
		if s.found {
			ranges = append(ranges, s)
		}
	}
	return ranges
}

// bound applies the formula of docs/FAIRNESS.md to recent peaks: the estimated
// units that one workspace had in flight, the maximum further cost of its
// requests in flight, and the change of a counter by one exchange between
// zones.
func (p *Pool) bound() float64 {
	return p.peakInFlight + p.peakRunning*p.maxRequestCost + p.peakJump
}
