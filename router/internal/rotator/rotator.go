// Package rotator calls the keepers one after the other until one of them answers.
//
// Invariants: the keeper that answered last is called first; a call may be
// retried at another keeper because every call of Keeping is idempotent (changes
// by their ID, claims and records by their owner, fingerprints by their digest);
// an answer that rejects the request as invalid is final.
package rotator

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/messenger"
)

// ErrNoQuorum is the kind of the error when no keeper answered a call.
var ErrNoQuorum = merry.Sentinel("no quorum of keepers answered")

// attemptTimeout bounds a call to one keeper. It is longer than the three seconds after
// which a keeper abandons a proposal.
const attemptTimeout = 3500 * time.Millisecond

// claimAttemptTimeout bounds a call for claims to one keeper. Requests hold slots while
// their claims wait, and a frozen keeper accepts connections without answering, so the
// next keeper must be called before the claims' own timeout. An election takes a
// fraction of this time.
const claimAttemptTimeout = 800 * time.Millisecond

// Rotator calls keepers with failover. It is safe for concurrent use.
type Rotator struct {
	keepers      []messenger.Keeping
	lastAnswered atomic.Int64 // index of the keeper that answered last
}

// New returns a rotator over the keepers' control addresses, in order of preference.
func New(client *http.Client, addresses []netip.AddrPort) *Rotator {
	r := &Rotator{}
	for _, address := range addresses {
		r.keepers = append(r.keepers, messenger.NewKeepingProtobufClient("http://"+address.String(), client))
	}
	return r
}

// Keepers returns the clients of the keepers, in the order given to New.
func (r *Rotator) Keepers() []messenger.Keeping {
	return r.keepers
}

// Apply submits a change of the configuration.
func (r *Rotator) Apply(ctx context.Context, q *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Apply)
}

// Watch requests the configuration.
func (r *Rotator) Watch(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Watch)
}

// History requests past changes.
func (r *Rotator) History(ctx context.Context, q *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.History)
}

// Claim claims idempotency keys.
func (r *Rotator) Claim(ctx context.Context, q *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	return callAnyWithin(ctx, claimAttemptTimeout, r, q, messenger.Keeping.Claim)
}

// Record stores outcomes of claimed requests.
func (r *Rotator) Record(ctx context.Context, q *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Record)
}

// Quarantine publishes fingerprints.
func (r *Rotator) Quarantine(ctx context.Context, q *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Quarantine)
}

// Lease takes or renews a pool's lease.
func (r *Rotator) Lease(ctx context.Context, q *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Lease)
}

// Status requests the status of a keeper and its group.
func (r *Rotator) Status(ctx context.Context, q *messenger.KeeperStatusRequest) (*messenger.KeeperStatusResponse, error) {
	return callAny(ctx, r, q, messenger.Keeping.Status)
}

// callAny calls the keepers in turn, each at most once, until one answers.
func callAny[Q, A any](ctx context.Context, r *Rotator, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	return callAnyWithin(ctx, attemptTimeout, r, request, method)
}

// callAnyWithin does the same with limit as the timeout of each attempt. It returns an
// error of the kind ErrNoQuorum if no keeper answered, and the keeper's own error if the
// request is invalid.
func callAnyWithin[Q, A any](ctx context.Context, limit time.Duration, r *Rotator, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	err := merry.Errorf("no keeper is configured, at least one is needed")
	first := int(r.lastAnswered.Load())
	for i := range r.keepers {
		at := (first + i) % len(r.keepers)
		var answer *A
		answer, err = callOnce(ctx, limit, r.keepers[at], request, method)
		if err == nil || isFinal(err) {
			r.lastAnswered.Store(int64(at))
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, merry.Errorf("%w: %v; check that most of the keepers run and reach each other", ErrNoQuorum, err)
}

// callOnce calls one keeper with a timeout.
func callOnce[Q, A any](ctx context.Context, limit time.Duration, k messenger.Keeping, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return method(k, ctx, request)
}

// isFinal reports whether every other keeper would answer with this error as well.
func isFinal(err error) bool {
	var answered twirp.Error
	if !errors.As(err, &answered) {
		return false
	}
	return answered.Code() == twirp.InvalidArgument || answered.Code() == twirp.NotFound
}
