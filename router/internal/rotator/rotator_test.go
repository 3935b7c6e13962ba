package rotator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/messenger"
)

// keeper counts its calls and answers with err.
type keeper struct {
	messenger.Keeping
	err   error
	calls int
}

func (k *keeper) Apply(context.Context, *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	k.calls++
	return &messenger.ApplyResponse{}, k.err
}

// A call fails over to the next keeper unless the keeper rejects the request.
func TestFailoverToTheNextKeeper(t *testing.T) {
	down := twirp.NewError(twirp.Unavailable, "no quorum")
	wrong := twirp.InvalidArgumentError("edits", "are malformed")
	for name, test := range map[string]struct {
		errs  []error
		calls []int
		fails bool
		kind  error
	}{
		"first answers":           {errs: []error{nil, nil}, calls: []int{1, 0}},
		"first is down":           {errs: []error{down, nil}, calls: []int{1, 1}},
		"all are down":            {errs: []error{down, down}, calls: []int{1, 1}, fails: true, kind: ErrNoQuorum},
		"request is wrong":        {errs: []error{wrong, nil}, calls: []int{1, 0}, fails: true, kind: wrong},
		"no keeper is configured": {fails: true, kind: ErrNoQuorum},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Rotator{}
			for _, err := range test.errs {
				r.keepers = append(r.keepers, &keeper{err: err})
			}
			_, err := r.Apply(t.Context(), &messenger.ApplyRequest{})
			require.Equal(t, test.fails, err != nil)
			require.ErrorIs(t, err, test.kind)
			for i, calls := range test.calls {
				require.Equal(t, calls, r.keepers[i].(*keeper).calls)
			}
		})
	}
}

// Guards against calling an unavailable keeper again before each call.
func TestLastAnsweringKeeperIsCalledFirst(t *testing.T) {
	first := &keeper{err: twirp.NewError(twirp.Unavailable, "no quorum")}
	second := &keeper{}
	r := &Rotator{keepers: []messenger.Keeping{first, second}}
	for range 3 {
		_, err := r.Apply(t.Context(), &messenger.ApplyRequest{})
		require.NoError(t, err)
	}
	require.Equal(t, 1, first.calls)
	require.Equal(t, 3, second.calls)
}

// frozenKeeper is a keeper whose process is suspended: calls hang until they time out.
type frozenKeeper struct {
	messenger.Keeping
}

func (frozenKeeper) Claim(ctx context.Context, _ *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (k *keeper) Claim(context.Context, *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	k.calls++
	return &messenger.ClaimResponse{}, k.err
}

// Guards against an attempt that takes as long as a whole call for claims: if the keeper
// that answered last is frozen, each call waits for it until the claims' own timeout, and
// the next call starts with the same keeper. Requests that may not repeat would be refused
// for seconds although two of three keepers work.
func TestFrozenKeeperLeavesTimeForTheNext(t *testing.T) {
	// callTimeout equals the timeout of package claimant for one call for claims.
	const callTimeout = 2 * time.Second
	healthy := &keeper{}
	r := &Rotator{keepers: []messenger.Keeping{frozenKeeper{}, healthy}}
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err := r.Claim(ctx, &messenger.ClaimRequest{})
	require.NoError(t, err)
	_, err = r.Claim(ctx, &messenger.ClaimRequest{})
	require.NoError(t, err)
	require.Equal(t, 2, healthy.calls, "the keeper that answered last is called first")
}
