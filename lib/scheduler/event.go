// Package scheduler decides which waiting request runs next and on which
// endpoint, for one pool: a service in an availability zone.
//
// A Pool is a pure state machine. The host applies events together with the
// time at which they occurred and carries out the returned actions; the pool
// has no goroutine, socket or clock of its own. All of its state is soft:
// routers enrol their waiting and running requests again when another scheduler
// takes over the pool, so the loss of a scheduler impairs fairness for a bounded
// time and never loses a request.
//
// Each workspace has a service counter, its virtual time of fair queueing: the
// units served to it in all zones, divided by its weight. Requests wait in
// lanes, one per workspace and set of endpoints. Pools of the same service in
// different zones exchange their totals and demand, and lend each other slots.
//
// Invariants:
//   - no slot is idle while a request waits that may use it;
//   - among workspaces that can use a free slot, the one with the smallest
//     weighted service counter is served first;
//   - a grant is for one waiting request, and a request has at most one grant at
//     a time;
//   - an endpoint that is leaving or draining, or whose announcement has exceeded
//     its time to live, receives no grant.
package scheduler

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/labeler"
)

// RouterID identifies one incarnation of a router; a restart makes a new one.
type RouterID struct {
	Name        string
	Incarnation uint64
}

// RequestID identifies a request at a router.
type RequestID struct {
	Router RouterID
	Seq    uint64
}

// Event is an input of the pool.
type Event interface{ event() }

// Action is an output of the pool, which the host carries out.
type Action interface{ action() }

// Ticket is a waiting request. Costs are in service units: generated tokens for
// models, milliseconds of busy time for plain services.
type Ticket struct {
	Seq       uint64
	Workspace string
	Model     string // empty for plain services
	Hint      uint32 // the caller's upper bound of the cost in units, 0 if none
	Prompt    uint32 // prompt size in units
	Prefix    uint64 // hash of the prompt's prefix, 0 if none
	Waited    time.Duration
	Avoid     []string // IDs of endpoints that have already failed this request
	Alone     bool     // suspected of crashing endpoints; must not run beside another suspect
}

// Running is a request that already held a slot when the pool's scheduler
// changed.
type Running struct {
	Seq       uint64
	Workspace string
	Model     string
	Endpoint  string
	Charged   uint32
}

// Progress is the total number of units that a running request has used so far.
type Progress struct {
	Seq     uint64
	Charged uint32
}

// Ending is the way in which an attempt at an endpoint ended.
type Ending uint8

// Endings of an attempt.
const (
	Done Ending = iota + 1
	Cancelled
	Refused     // the endpoint reported that it did not start the request
	Failed      // aborted or failed after the first byte was sent
	Unreachable // no connection could be made
	Declined    // the grant arrived for a request that was no longer waiting
)

// Finish ends an attempt, or withdraws a ticket that was never granted.
type Finish struct {
	Seq     uint64
	Charged uint32
	Ending  Ending
	First   time.Duration // time to the first unit, 0 if none was received
	Took    time.Duration // total time at the endpoint
	Backoff time.Duration // how long the endpoint wants no further requests, 0 if unspecified
	Leaving bool          // the endpoint reported that it is leaving
}

// Report is an update from a router. If Full is set, Tickets and Running are
// complete and replace all earlier state of the router.
type Report struct {
	Router   RouterID
	Full     bool
	Tickets  []Ticket
	Running  []Running
	Progress []Progress
	Finished []Finish
}

// RouterGone reports that a router's lease has expired. Its tickets are dropped
// and its slots are freed.
type RouterGone struct{ Router RouterID }

// Announced reports that an endpoint announced itself or renewed its lease.
type Announced struct {
	ID          string
	Incarnation uint64
	Address     netip.AddrPort
	Labels      labeler.Labels // including zone, service and endpoint
	Models      []string
	Slots       int
	TTL         time.Duration
	Leaving     bool
	Load        int
	Cached      []uint64
	Evicted     []uint64
}

// Compared is one exchange sent by the scheduler of the same service in another
// zone: its own totals, its demand for slots in this zone, and the state of the
// loans that it has from this zone.
type Compared struct {
	Zone     string
	Origin   uint64
	Totals   []Total
	Demand   []Demand
	Returned []uint64
	Renewed  []uint64
	Idle     int
}

// Lent is the other zone's answer to an exchange: the slots that this pool may
// use.
type Lent struct {
	Zone  string
	Loans []Loan
	// RequestedAt is when the exchange that this event answers was sent. The
	// borrower counts leases and terms from this time: the lender counts from a
	// later one, so that they never end at the lender first. Zero means the time
	// of the event.
	RequestedAt time.Time
}

// History is the collapsed totals from which a pool starts when it joins a
// running fleet.
type History struct{ Totals []Total }

// Declinations lists grants that a router returned because the requests were no
// longer waiting.
type Declinations struct {
	Router RouterID
	Seqs   []uint64
}

// Tick advances the time: announcements, loans and the demand of other zones expire,
// hung endpoints are detected, and tickets that no endpoint can serve are refused.
type Tick struct{}

// Configured replaces the rules.
type Configured struct{ Rules Rules }

// Rules is the part of the configuration that the pool uses.
type Rules interface {
	Weight(workspace string) float64
	Allowed(workspace, endpoint string, labels labeler.Labels) bool
	Draining(endpoint string, labels labeler.Labels) bool
}

// Total is the row of one workspace from one origin. Its values only grow and
// are merged by maximum, so lost, repeated and reordered exchanges are
// harmless.
type Total struct {
	Workspace string
	Charged   uint64
	Lifted    uint64
	Forgiven  uint64
}

// Demand is the number of waiting requests of a workspace that could run in
// another zone.
type Demand struct {
	Workspace string
	Model     string
	Waiting   int
}

// Loan is one slot lent to another zone for requests of one workspace, one
// request at a time. A loan with the ID of an earlier one extends it; then only
// ID, Lease and Term are used.
type Loan struct {
	ID          uint64
	Workspace   string
	Model       string
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
	// Lease is how long the lender reserves the slot after the last renewal.
	Lease time.Duration
	// Term is how long further requests may begin in the slot, at most Lease; 0
	// means that the slot is for a single request.
	Term time.Duration
}

// Grant instructs a router to send a request to an endpoint now.
type Grant struct {
	Request     RequestID
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
}

// Refusal notifies a router that a request cannot be served, and after which time
// its caller may retry.
type Refusal struct {
	Request RequestID
	Reason  string
	Retry   time.Duration
}

// Lend answers a Compared event from this zone with loans.
type Lend struct {
	Zone  string
	Loans []Loan
}

// Reasons of a Refusal.
const (
	// ReasonNoEndpoint refuses a ticket for which no endpoint that the
	// selectors allow has been present for Options.NoEndpointAfter.
	ReasonNoEndpoint = "no_endpoint"
)

func (Report) event()       {}
func (RouterGone) event()   {}
func (Announced) event()    {}
func (Compared) event()     {}
func (Lent) event()         {}
func (History) event()      {}
func (Declinations) event() {}
func (Tick) event()         {}
func (Configured) event()   {}

func (Grant) action()   {}
func (Refusal) action() {}
func (Lend) action()    {}
