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
	// may take before the leader is determined again.
	attemptElections = 3
	// forwardedHeader marks a call that a keeper forwarded to the leader. A call is
	// forwarded only once; otherwise two keepers that each consider the other the
	// leader would send it back and forth.
	forwardedHeader = "X-Forwarded-By-Keeper"
	// codeMeta is the metadata key of an error's code (see docs/INTERFACES.md).
	codeMeta = "code"
)

// Codes of errors between keepers and to routers.
const (
	// CodeNotLeader means that the call had no effect; another keeper may answer it.
	CodeNotLeader = "not_leader"
	// CodeNoQuorum means that no majority of the group answers.
	CodeNoQuorum = "no_quorum"
	// CodeUnknown means that the call may or may not take effect. All calls are safe to retry.
	CodeUnknown = "unknown"
)

// forwardedKey is the context key of the mark of a forwarded call.
type forwardedKey struct{}

// markForwarded copies the mark of a forwarded call from its header to its context.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// runOnLeader executes a call locally if this keeper is the leader, and forwards it to
// the leader otherwise. It retries while there is no leader, until proposalTimeout is
// over. Every such call is safe to retry: changes carry ids, claims and records carry
// their owner, and fingerprints are only ever added.
func runOnLeader[T any](
	ctx context.Context, s *Server,
	local func(context.Context) (T, error),
	forward func(context.Context, peerClient) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	for {
		answer, err := attemptOnLeader(ctx, s, local, forward)
		if err == nil {
			return answer, nil
		}
		known := classify(err)
		if !retryable(ctx, known) || s.pause(ctx, s.timing.HeartbeatInterval) != nil {
			return answer, known
		}
	}
}

// classify turns every error that is not the caller's fault into Unavailable with
// a code. The code is CodeUnknown if the leader could not be reached or did not answer
// in time, because it may have executed the call.
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

// retryable reports whether another attempt may succeed. A forwarded call is
// retried by the keeper that forwarded it.
func retryable(ctx context.Context, err twirp.Error) bool {
	return ctx.Err() == nil && ctx.Value(forwardedKey{}) == nil && err.Code() == twirp.Unavailable
}

// attemptOnLeader makes one attempt of runOnLeader. It ends early if the leader changes.
func attemptOnLeader[T any](
	ctx context.Context, s *Server,
	local func(context.Context) (T, error),
	forward func(context.Context, peerClient) (T, error),
) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, attemptElections*s.timing.ElectionTimeout)
	defer cancel()
	changed := s.leadershipChanged.next()
	status := s.view.Load().status
	if status.State == replicator.Leader {
		return local(ctx)
	}
	leader, found := status.Group.Find(status.Leader)
	if !found {
		return none, unavailable(replicator.ErrNoQuorum)
	}
	if ctx.Value(forwardedKey{}) != nil {
		return none, unavailable(replicator.ErrNotLeader)
	}
	// A leader that is frozen or cut off does not answer; once another leader is
	// known, waiting longer is useless.
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
	return forward(forwarded, s.peers.forAddress(leader.Address))
}

// unavailable converts an error of the control loop to an error with a code for callers.
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
