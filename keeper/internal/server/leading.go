package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/replicator"
)

const (
	// proposalTimeout bounds a call that needs a quorum, an election included.
	proposalTimeout = 3 * time.Second
	// attemptElections is how many election timeouts one attempt at the leader
	// may take before another leader is looked for.
	attemptElections = 3
	// forwardedHeader marks a call that a keeper passed on to the leader. It is
	// passed on once only, or two keepers that each take the other for the leader
	// would send a call back and forth.
	forwardedHeader = "X-Forwarded-By-Keeper"
	// codeMeta is the key under which errors carry a code of docs/INTERFACES.md.
	codeMeta = "code"
)

// Codes of errors between keepers and to routers.
const (
	// CodeNotLeader: ask another keeper; the call had no effect.
	CodeNotLeader = "not_leader"
	// CodeNoQuorum: no majority answers.
	CodeNoQuorum = "no_quorum"
	// CodeUnknown: the call may or may not take effect. All calls may be repeated.
	CodeUnknown = "unknown"
)

type forwardedKey struct{}

// markForwarded puts the mark of a forwarded call into its context.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// lead answers a call here if this keeper leads, and else passes it on. While
// there is no leader it waits for one. Every such call may be repeated: changes
// carry ids, claims and records their owner, and fingerprints only add up.
func lead[T any](
	ctx context.Context, s *Server,
	here func(context.Context) (T, error),
	there func(context.Context, peerClient) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	for {
		answer, err := attempt(ctx, s, here, there)
		if err == nil {
			return answer, nil
		}
		known := classify(err)
		if !retryable(ctx, known) || s.pause(ctx, s.timing.Heartbeat) != nil {
			return answer, known
		}
	}
}

// classify turns every error that is not the caller's fault into an Unavailable
// with a code. A leader that could not be reached, or did not answer in time,
// may have taken the call.
func classify(err error) twirp.Error {
	var known twirp.Error
	if !errors.As(err, &known) {
		return unavailable(err)
	}
	switch known.Code() {
	case twirp.InvalidArgument, twirp.Unavailable:
		return known
	}
	return twirp.NewError(twirp.Unavailable, known.Msg()).WithMeta(codeMeta, CodeUnknown)
}

// retryable tells whether another attempt may help. A forwarded call is
// repeated by the keeper that forwarded it.
func retryable(ctx context.Context, err twirp.Error) bool {
	return ctx.Err() == nil && ctx.Value(forwardedKey{}) == nil && err.Code() == twirp.Unavailable
}

func attempt[T any](
	ctx context.Context, s *Server,
	here func(context.Context) (T, error),
	there func(context.Context, peerClient) (T, error),
) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, attemptElections*s.timing.Election)
	defer cancel()
	changed := s.leadershipChanged.next()
	status := s.view.Load().status
	if status.State == replicator.Leader {
		return here(ctx)
	}
	leader, found := status.Group.Find(status.Leader)
	if !found {
		return none, unavailable(replicator.ErrNoQuorum)
	}
	if ctx.Value(forwardedKey{}) != nil {
		return none, unavailable(replicator.ErrNotLeader)
	}
	// A leader that is frozen or cut off answers nothing; once another one is
	// known, waiting on has no use.
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	header := make(http.Header)
	header.Set(forwardedHeader, s.settings.Name)
	forwarded, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return none, err
	}
	return there(forwarded, s.peers.forAddress(leader.Address))
}

// unavailable converts an error of the control loop for callers.
func unavailable(err error) twirp.Error {
	code := CodeNoQuorum
	switch {
	case errors.Is(err, driver.ErrTooLarge):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.Is(err, driver.ErrUnknown):
		code = CodeUnknown
	case errors.Is(err, replicator.ErrNotLeader):
		code = CodeNotLeader
	}
	return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(codeMeta, code)
}
