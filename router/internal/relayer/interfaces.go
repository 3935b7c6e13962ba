// Package relayer proxies callers' requests to endpoints: it admits a request, waits for a slot, sends
// the request to the slot's endpoint, and relays the answer back to the caller.
//
// Invariants:
//   - every request ends with exactly one outcome, which its caller gets: answered completely,
//     refused and not run, or failed and possibly run;
//   - a caller gets "not run" only if no byte of the request reached an endpoint, or the endpoint
//     answered that it did not start the request;
//   - a non-repeatable request is sent at most once, unless the endpoint answered that it did not
//     start the request;
//   - a truncated answer is visibly truncated.
package relayer

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// WaitingRequest describes a request that waits for a slot to its pool's scheduler.
type WaitingRequest struct {
	ID        string // X-Request-Id, for explain
	Service   string
	Workspace string
	Model     string        // empty for a plain service
	Hint      uint32        // maximum tokens of the answer, 0 if the caller sets none
	Prompt    uint32        // estimated tokens of the prompt
	Prefix    uint64        // hash of the prompt's prefix, 0 if none
	Waited    time.Duration // since the request arrived
	Avoid     []string      // IDs of endpoints that must not get the request
	Alone     bool          // it must run where no other suspect request runs
}

// Slot is the right to send one request to one endpoint, until it is finished.
type Slot interface {
	// Endpoint returns the ID of the endpoint.
	Endpoint() string
	// Incarnation returns the incarnation of the endpoint.
	Incarnation() uint64
	// Address returns the address of the endpoint.
	Address() netip.AddrPort
	// Progress reports the total units used so far.
	Progress(charged uint32)
	// Finish releases the slot. Only the first call has an effect.
	Finish(finish scheduler.Finish)
}

// Enroller obtains slots from the pools' schedulers.
type Enroller interface {
	// Enrol waits for a slot until the context ends. A refusal by the scheduler is a *Refused.
	Enrol(ctx context.Context, waiting WaitingRequest) (Slot, error)
}

// Refused is the error of a request that the scheduler refuses, with the time after which to retry.
type Refused struct {
	Code  string        // a code of docs/INTERFACES.md, such as queue_full
	Retry time.Duration // after which to retry
}

// Error returns the code and the time after which to retry.
func (r *Refused) Error() string {
	return "refused: " + r.Code + "; retry after " + r.Retry.String()
}

// Ruler provides the rules of the configuration in force.
type Ruler interface {
	Rules() *matcher.Rules
	// Current reports whether the rules are known to be the newest ones. Rules that are read
	// after it has returned true are at least as new.
	Current() bool
}

// Claimer claims idempotency keys, and records their requests' outcomes, in the replicated log.
type Claimer interface {
	// Claim claims a key. It returns an error only if no quorum has answered; the request must
	// then not be sent.
	Claim(ctx context.Context, entry *messenger.ClaimEntry) (*messenger.ClaimResult, error)
	// Record stores an outcome. It retries in the background until the outcome is stored or the
	// retention window of the key is over.
	Record(entry *messenger.RecordEntry)
}

// Quarantine holds the fleet-wide fingerprints of requests that crash endpoints.
type Quarantine interface {
	// Quarantined reports whether a fingerprint is in quarantine, and for how long it remains so.
	Quarantined(digest uint64) (remaining time.Duration, quarantined bool)
	// Publish puts a fingerprint into quarantine at all routers.
	Publish(digest uint64)
}
