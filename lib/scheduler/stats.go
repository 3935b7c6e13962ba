package scheduler

import "time"

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
	Busy        int // own requests, loans and holds
	Foreign     int // requests there that this pool did not send, by report
	Draining    bool
	Leaving     bool
	Hung        bool
	// Probation is how long the endpoint gets no request after failures.
	Probation time.Duration
}
