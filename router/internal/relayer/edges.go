// Package relayer takes callers' requests, waits for a slot, and relays each
// to an endpoint and its answer back.
//
// Invariants: every request has exactly one ending that the caller is told
// (whole answer, refused and not run, failed and may have run); "not run" is
// said only when no byte of the request reached an endpoint, or the endpoint
// said that it did not start; a request that may not repeat is sent at most
// once in its life; an answer that is cut short is visibly cut short.
package relayer

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// Waiting is what a pool's scheduler is told of a waiting request.
type Waiting struct {
	ID        string // X-Request-Id, for explain
	Service   string
	Workspace string
	Model     string
	Hint      uint32
	Prompt    uint32
	Prefix    uint64
	Waited    time.Duration
	Avoid     []string
	Alone     bool
}

// Slot is the right to send one request to one endpoint, until it is finished.
type Slot interface {
	Endpoint() string
	Incarnation() uint64
	Address() netip.AddrPort
	// Progress tells the units used in all so far.
	Progress(charged uint32)
	// Finish gives the slot back. Only the first call counts.
	Finish(finish scheduler.Finish)
}

// Enroller gets slots from the pools' schedulers.
type Enroller interface {
	// Enrol waits for a slot until the context ends. A refusal is a *Refused.
	Enrol(ctx context.Context, waiting Waiting) (Slot, error)
}

// Refused says that a request cannot be served and when to come back.
type Refused struct {
	Code  string // a code of docs/INTERFACES.md, such as queue_full
	Retry time.Duration
}

// Error names the code and the remedy.
func (r *Refused) Error() string {
	return "refused: " + r.Code + "; come back in " + r.Retry.String()
}

// Ruler returns the rules in force.
type Ruler interface {
	Rules() *matcher.Rules
}

// Claimer takes and settles idempotency keys in the replicated log.
type Claimer interface {
	// Claim returns an error only when no quorum answered: then nothing may be sent.
	Claim(ctx context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error)
	// Record stores the outcome, retrying in the background until it is stored or the window is over.
	Record(entry *messenger.RecordEntry)
}

// Quarantine knows the fingerprints of requests that crash endpoints, fleet-wide.
type Quarantine interface {
	Quarantined(digest uint64) (left time.Duration, quarantined bool)
	// Publish puts a fingerprint into quarantine everywhere.
	Publish(digest uint64)
}
