// Package scheduler decides which waiting request runs next and on which
// endpoint, for one pool: a service in an availability zone.
//
// A Pool is a pure state machine. The host applies events with the time at
// which they happened and carries out the returned actions; the pool has no
// goroutine, socket or clock of its own. All of its state is soft: routers
// enrol their waiting and running requests again when the pool's scheduler
// changes, so a lost scheduler costs fairness for a bounded time and never a
// request.
//
// Invariants:
//   - capacity is never idle while an eligible request waits;
//   - among workspaces that can use a free slot, the one with the smallest
//     weighted service counter is served first;
//   - a grant names one waiting request, and a request has one grant at a time;
//   - an endpoint that is leaving, draining or silent beyond its time to live
//     gets no grant.
package scheduler

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/labeler"
)

// RouterID names one life of a router: a restart is a new incarnation.
type RouterID struct {
	Name        string
	Incarnation uint64
}

// RequestID names one request at one router.
type RequestID struct {
	Router RouterID
	Seq    uint64
}

// Event is something that happened to the pool.
type Event interface{ event() }

// Action is something that the host has to do.
type Action interface{ action() }

// Ticket is a waiting request. Costs are in service units: generated tokens
// for models, milliseconds of busy time for plain services.
type Ticket struct {
	Seq       uint64
	Workspace string
	Model     string // empty for plain services
	Hint      uint32 // the caller's bound on cost, 0 if none
	Prompt    uint32 // prompt size in units
	Prefix    uint64 // hash of the prompt's prefix, 0 if none
	Waited    time.Duration
	Avoid     []string // endpoints that already failed this request
	Alone     bool     // a suspect of crashing endpoints: no other suspect may run beside it
}

// Running is a request that held a slot before the pool's scheduler changed.
type Running struct {
	Seq       uint64
	Workspace string
	Model     string
	Endpoint  string
	Charged   uint32
}

// Progress is the units that a running request has used in all so far.
type Progress struct {
	Seq     uint64
	Charged uint32
}

// Ending says how an attempt at an endpoint ended.
type Ending uint8

// The endings of an attempt.
const (
	Done Ending = iota + 1
	Cancelled
	Refused     // the endpoint said that it did not start
	Failed      // cut or failed after the first byte left
	Unreachable // no connection was made
	Declined    // the grant came for a request that no longer waits
)

// Finish ends an attempt, or takes a waiting ticket back when it never ran.
type Finish struct {
	Seq     uint64
	Charged uint32
	Ending  Ending
	First   time.Duration // time to the first unit, 0 if none came
	Took    time.Duration // whole time at the endpoint
	Backoff time.Duration // for which the endpoint wants no more requests, 0 if it did not say
	Leaving bool          // the endpoint said that it leaves
}

// Report is a router's news. With Full, Tickets and Running are all that the
// router has and replace what the pool knew of it.
type Report struct {
	Router   RouterID
	Full     bool
	Tickets  []Ticket
	Running  []Running
	Progress []Progress
	Finished []Finish
}

// RouterGone says that a router's lease is over: its tickets are forgotten and
// the slots that it held are freed.
type RouterGone struct{ Router RouterID }

// Announced says that an endpoint announced itself or renewed its lease.
type Announced struct {
	ID          string
	Incarnation uint64
	Address     netip.AddrPort
	Labels      labeler.Labels // with zone, service and endpoint
	Models      []string
	Slots       int
	TTL         time.Duration
	Leaving     bool
	Load        int
	Cached      []uint64
	Evicted     []uint64
}

// Compared is what another zone's scheduler of the same service told: its own
// totals, and what it would like to run here.
type Compared struct {
	Zone     string
	Origin   uint64
	Totals   []Total
	Demand   []Demand
	Returned []uint64
	Renewed  []uint64
	Idle     int
}

// Lent is the other zone's answer: slots that this pool may use.
type Lent struct {
	Zone   string
	Origin uint64
	Loans  []Loan
	Totals []Total
	Idle   int
	// Asked is when the exchange that this answers was sent: the leases run from
	// then at the latest. Zero stands for now.
	Asked time.Time
}

// History is the collapsed totals with which a pool joins a running fleet.
type History struct{ Totals []Total }

// Declinations are grants that a router gave back because the request no
// longer waits.
type Declinations struct {
	Router RouterID
	Seqs   []uint64
}

// Tick lets time pass: leases end, windows adapt, loans expire.
type Tick struct{}

// Configured says that the rules have changed.
type Configured struct{ Rules Rules }

// Rules is what the pool needs of the configuration.
type Rules interface {
	Weight(workspace string) float64
	Allowed(workspace, endpoint string, labels labeler.Labels) bool
	Draining(endpoint string, labels labeler.Labels) bool
}

// Total is one workspace's row of an origin, grow-only, merged by maximum, so
// that lost, repeated and reordered exchanges do no harm.
type Total struct {
	Workspace string
	Charged   uint64
	Lifted    uint64
	Forgiven  uint64
}

// Demand is how many requests of a workspace would run elsewhere.
type Demand struct {
	Workspace string
	Model     string
	Waiting   int
}

// Loan is one slot lent to another zone for requests of one workspace, one after
// the other. A loan with the id of a former one extends it, and then only ID,
// Lease and Term count.
type Loan struct {
	ID          uint64
	Workspace   string
	Model       string
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
	// Lease is how long the lender keeps the slot without hearing that the loan is
	// still in use.
	Lease time.Duration
	// Term is how long further requests may begin in the slot, at most the lease;
	// with 0 it is for one request.
	Term time.Duration
}

// Grant tells a router to send a request to an endpoint now.
type Grant struct {
	Request     RequestID
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
}

// Refusal tells a router that a request cannot be served and when to come back.
type Refusal struct {
	Request RequestID
	Reason  string
	Retry   time.Duration
}

// Lend answers a Compared event of that zone with loans.
type Lend struct {
	Zone  string
	Loans []Loan
}

// Reasons of a Refusal.
const (
	// ReasonNoEndpoint: no endpoint that the selectors allow has been there for a while.
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
