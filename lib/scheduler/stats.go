package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Stats is what a pool tells status pages and explanations.
type Stats struct {
	Zone    string
	Service string
	Origin  uint64
	Waiting int // tickets
	Running int // requests holding a slot here or a loan
	// Workspaces is sorted by name and leaves out those that never had work here.
	Workspaces []WorkspaceStats
	// Endpoints is sorted by id.
	Endpoints []EndpointStats
	// Gap is the largest difference of settled counters, in units by weight,
	// between two workspaces that both wait and reach a common endpoint.
	Gap float64
	// Bound is what the formula of docs/FAIRNESS.md allows for Gap now.
	Bound float64
	// Utilisation is the slots in use over the slots that may be used, now.
	Utilisation float64
	// Busy and Usable are slot-time since the pool began; their quotient over
	// an interval is the utilisation in that interval.
	Busy   time.Duration
	Usable time.Duration
	// Lent and Borrowed count loans that are in use.
	Lent     int
	Borrowed int
	// Held counts slots kept for a loan that the other zone has yet to fetch.
	Held int
}

// WorkspaceStats is one workspace at a pool.
type WorkspaceStats struct {
	Workspace string
	Weight    float64
	Waiting   int
	Running   int
	// Charged is the units that this pool charged in its life.
	Charged uint64
	// Counter is the settled service counter: units by weight, of the whole
	// fleet as far as it is known here.
	Counter float64
	// Reserved is the estimated units in flight that are not yet charged.
	Reserved uint64
	// Oldest is how long the oldest ticket has waited.
	Oldest time.Duration
}

// EndpointStats is one endpoint of a pool.
type EndpointStats struct {
	Endpoint    string
	Incarnation uint64
	Slots       int // announced
	Window      int // requests allowed at once, at most Slots
	Limit       int // requests allowed now: Window, less while it fails or leaves
	Busy        int // own requests, loans and holds
	Foreign     int // requests there that this pool did not send, by report
	Draining    bool
	Leaving     bool
	Hung        bool
	// Probation is how long the endpoint gets no request after failures.
	Probation time.Duration
}

// Stats describes the pool. It walks everything and is meant for status pages.
func (p *Pool) Stats(now time.Time) Stats {
	stats := Stats{
		Zone: p.options.Zone, Service: p.options.Service, Origin: p.options.Origin,
		Waiting: p.waiting, Running: p.running,
		Gap: p.gap(), Bound: p.bound(),
		Busy: p.busyTime, Usable: p.usableTime,
		Lent: len(p.loanList), Borrowed: len(p.borrowings), Held: p.held,
	}
	if p.usable > 0 {
		stats.Utilisation = float64(p.busy) / float64(p.usable)
	}
	for _, w := range p.order {
		stats.Workspaces = append(stats.Workspaces, w.stats(now))
	}
	for _, e := range p.seats {
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
		Probation: max(0, e.probation.opens().Sub(now)),
	}
}

// span is the smallest and the largest counter of a group's workspaces.
type span struct {
	group       *group
	least, most float64
	some        bool
}

// gap returns the largest difference of counters between two workspaces that
// both wait and whose endpoints have one in common.
func (p *Pool) gap() float64 {
	spans := p.spans()
	largest := 0.0
	for i, a := range spans {
		for _, b := range spans[i:] {
			if a.group.set.intersects(b.group.set) {
				largest = max(largest, a.most-b.least, b.most-a.least)
			}
		}
	}
	return largest
}

func (p *Pool) spans() []span {
	var spans []span
	for _, g := range p.groupList {
		s := span{group: g}
		for _, l := range g.lanes {
			if l.remote() {
				continue
			}
			counter := l.workspace.account.Counter()
			if !s.some || counter < s.least {
				s.least = counter
			}
			if !s.some || counter > s.most {
				s.most = counter
			}
			s.some = true
		}
		if s.some {
			spans = append(spans, s)
		}
	}
	return spans
}

// bound is the formula of docs/FAIRNESS.md with what was seen lately: the
// estimates that one workspace had in flight, the most that its requests in
// flight can still cost, and what one exchange between zones brings.
func (p *Pool) bound() float64 {
	return p.peakInFlight + p.peakRunning*p.largest + p.peakJump
}
