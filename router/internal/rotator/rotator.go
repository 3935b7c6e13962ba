// Package rotator calls the keepers, one after the other until one answers.
//
// Invariants: the keeper that answered last is asked first; a call is made
// again at another keeper only because every call of Keeping may be repeated
// (changes by their id, claims and records by their owner, fingerprints by
// their digest); an answer that says the request is wrong is final.
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

// ErrNoQuorum is the kind of the error when no keeper could answer.
var ErrNoQuorum = merry.Sentinel("no quorum of keepers answered")

// attempt bounds one call; a keeper gives up a proposal after three seconds.
const attempt = 3500 * time.Millisecond

// claimAttempt bounds one call for claims, which hold slots while they wait: a
// keeper that is frozen accepts connections and answers nothing, and the next
// one must be asked before the claims' own time is over. An election takes a
// fraction of it.
const claimAttempt = 800 * time.Millisecond

// Rotator calls keepers in turn. It is safe for concurrent use.
type Rotator struct {
	keepers []messenger.Keeping
	last    atomic.Int64
}

// New returns a rotator over the keepers' control addresses, preferred first.
func New(client *http.Client, addresses []netip.AddrPort) *Rotator {
	r := &Rotator{}
	for _, address := range addresses {
		r.keepers = append(r.keepers, messenger.NewKeepingProtobufClient("http://"+address.String(), client))
	}
	return r
}

// Keepers returns the clients, in the order of the settings.
func (r *Rotator) Keepers() []messenger.Keeping {
	return r.keepers
}

// Apply passes a change on.
func (r *Rotator) Apply(ctx context.Context, q *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Apply)
}

// Watch asks for the configuration.
func (r *Rotator) Watch(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Watch)
}

// History asks for past changes.
func (r *Rotator) History(ctx context.Context, q *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	return try(ctx, r, q, messenger.Keeping.History)
}

// Claim takes idempotency keys.
func (r *Rotator) Claim(ctx context.Context, q *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	return tryFor(ctx, claimAttempt, r, q, messenger.Keeping.Claim)
}

// Record stores outcomes.
func (r *Rotator) Record(ctx context.Context, q *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Record)
}

// Quarantine publishes fingerprints.
func (r *Rotator) Quarantine(ctx context.Context, q *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Quarantine)
}

// Lease takes or renews a pool's lease.
func (r *Rotator) Lease(ctx context.Context, q *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Lease)
}

// Status asks a keeper what it knows.
func (r *Rotator) Status(ctx context.Context, q *messenger.KeeperStatusRequest) (*messenger.KeeperStatusResponse, error) {
	return try(ctx, r, q, messenger.Keeping.Status)
}

// try asks every keeper once.
func try[Q, A any](ctx context.Context, r *Rotator, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	return tryFor(ctx, attempt, r, request, method)
}

func tryFor[Q, A any](ctx context.Context, limit time.Duration, r *Rotator, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	err := merry.Errorf("the settings name no keeper")
	first := int(r.last.Load())
	for i := range r.keepers {
		at := (first + i) % len(r.keepers)
		var answer *A
		answer, err = once(ctx, limit, r.keepers[at], request, method)
		if err == nil || final(err) {
			r.last.Store(int64(at))
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, merry.Errorf("%w: %v; check that most of the keepers run and reach each other", ErrNoQuorum, err)
}

func once[Q, A any](ctx context.Context, limit time.Duration, k messenger.Keeping, request *Q, method func(messenger.Keeping, context.Context, *Q) (*A, error)) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return method(k, ctx, request)
}

// final tells errors that another keeper would answer with as well.
func final(err error) bool {
	var answered twirp.Error
	if !errors.As(err, &answered) {
		return false
	}
	return answered.Code() == twirp.InvalidArgument || answered.Code() == twirp.NotFound
}
