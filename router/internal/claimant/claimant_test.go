package claimant

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

var errCut = errors.New("cut")

// keepers grants every claim once and can hold or fail calls.
type keepers struct {
	mutex   sync.Mutex
	owners  map[string]string
	sizes   []int
	records []*messenger.RecordEntry
	fail    int
	hold    chan struct{}
	called  chan struct{}
}

func (k *keepers) Claim(_ context.Context, q *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	if k.called != nil {
		k.called <- struct{}{}
	}
	if k.hold != nil {
		<-k.hold
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.sizes = append(k.sizes, len(q.GetClaims()))
	if k.fail > 0 {
		k.fail--
		return nil, errCut
	}
	answer := &messenger.ClaimResponse{}
	for _, entry := range q.GetClaims() {
		outcome := messenger.ClaimOutcome_CLAIM_GRANTED
		if owner, taken := k.owners[entry.GetKey()]; taken && owner != entry.GetOwner() {
			outcome = messenger.ClaimOutcome_CLAIM_SPENT
		}
		k.owners[entry.GetKey()] = entry.GetOwner()
		answer.Results = append(answer.Results, &messenger.ClaimResult{Outcome: outcome})
	}
	return answer, nil
}

func (k *keepers) Record(_ context.Context, q *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.fail > 0 {
		k.fail--
		return nil, errCut
	}
	k.records = append(k.records, q.GetEntries()...)
	return &messenger.RecordResponse{}, nil
}

func newClaimant(k *keepers) *Claimant {
	k.owners = make(map[string]string)
	return New(Options{Keeping: k, Name: "router-a1", Incarnation: 1, Clock: clockwork.NewRealClock()})
}

// Symptom: a booking runs twice.
// Sequence: two requests with one key come to one router at once.
// Cause: both claims have the same owner, and a repeat by the owner is granted.
func TestEveryClaimHasItsOwnOwner(t *testing.T) {
	k := &keepers{}
	c := newClaimant(k)
	granted := 0
	for range 3 {
		result, err := c.Claim(t.Context(), &messenger.ClaimEntry{Workspace: "w", Key: "booking-1"})
		require.NoError(t, err)
		if result.GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
			granted++
		}
	}
	require.Equal(t, 1, granted)
}

func TestClaimsShareCalls(t *testing.T) {
	k := &keepers{hold: make(chan struct{}), called: make(chan struct{}, 8)}
	c := newClaimant(k)
	var group sync.WaitGroup
	claim := func(key string) {
		group.Go(func() {
			_, err := c.Claim(t.Context(), &messenger.ClaimEntry{Workspace: "w", Key: key})
			require.NoError(t, err)
		})
	}
	claim("first")
	<-k.called
	for _, key := range []string{"a", "b", "c", "d"} {
		claim(key)
	}
	require.Eventually(t, func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.waiting) == 4
	}, 5*time.Second, time.Millisecond)
	close(k.hold)
	group.Wait()
	require.Equal(t, []int{1, 4}, k.sizes)
}

// Symptom: a caller's resend is told "may have run" although nothing was sent.
// Sequence: the request's time is over while its claim is on its way; the claim
// is granted afterwards. Cause: nobody frees the key.
func TestAbandonedClaimIsFreed(t *testing.T) {
	k := &keepers{hold: make(chan struct{}), called: make(chan struct{}, 1)}
	c := newClaimant(k)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := c.Claim(ctx, &messenger.ClaimEntry{Workspace: "w", Key: "bid-1"})
		failed <- err
	}()
	<-k.called
	cancel()
	require.ErrorIs(t, <-failed, ErrNoQuorum)
	close(k.hold)
	require.Eventually(t, func() bool {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		return len(k.records) == 1 && k.records[0].GetAnswer().GetNotRun() && k.records[0].GetOwner() == k.owners["bid-1"]
	}, 5*time.Second, time.Millisecond)
}

// Symptom: an outcome is lost, so that a resend is told "may have run".
// Sequence: the keepers do not answer for a while. Cause: one try only.
func TestRecordIsTriedUntilItIsStored(t *testing.T) {
	k := &keepers{fail: 2}
	c := newClaimant(k)
	c.Record(&messenger.RecordEntry{Workspace: "w", Key: "k"})
	require.NoError(t, c.Drain(t.Context()))
	require.Len(t, k.records, 1)
}

// Symptom: the router runs out of memory while the keepers are away.
// Cause: outcomes pile up without bound.
func TestRecordsAreBounded(t *testing.T) {
	k := &keepers{fail: 1 << 30}
	c := New(Options{Keeping: k, Clock: clockwork.NewFakeClock()})
	for range maxRecords + 100 {
		c.Record(&messenger.RecordEntry{Workspace: "w", Key: "k", Answer: &messenger.Answer{Body: make([]byte, 16<<10)}})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	require.LessOrEqual(t, len(c.records), maxRecords+maxBatch)
	require.LessOrEqual(t, c.recordBytes, maxRecordBytes+maxBatch*16<<10)
}

// Symptom: in a zone that is cut off, calls that may be repeated wait for
// seconds beside calls that may not.
// Sequence: each claim waits for a call's timeout, the claims behind it for the
// next one, and each holds a slot of the service meanwhile.
// Cause: claims were kept waiting although the last call had found no quorum.
func TestClaimsAreRefusedAtOnceWhileNoQuorumIsReached(t *testing.T) {
	k := &keepers{hold: make(chan struct{}), called: make(chan struct{}, 8), fail: 1}
	c := newClaimant(k)
	entry := func(key string) *messenger.ClaimEntry { return &messenger.ClaimEntry{Workspace: "w", Key: key} }
	ended := make(chan error, 2)
	claim := func(key string) {
		go func() {
			_, err := c.Claim(t.Context(), entry(key))
			ended <- err
		}()
	}
	claim("first")
	<-k.called
	claim("behind")
	require.Eventually(t, func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.waiting) == 1
	}, 5*time.Second, time.Millisecond)
	k.hold <- struct{}{}
	require.ErrorIs(t, <-ended, ErrNoQuorum)
	require.ErrorIs(t, <-ended, ErrNoQuorum, "a claim behind a call that found no quorum is refused with it")
	require.Equal(t, []int{1}, k.sizes)

	claim("probe")
	<-k.called
	_, err := c.Claim(t.Context(), entry("beside the probe"))
	require.ErrorIs(t, err, ErrNoQuorum)
	close(k.hold)
	require.NoError(t, <-ended)
	_, err = c.Claim(t.Context(), entry("after"))
	require.NoError(t, err)
	require.Equal(t, []int{1, 1, 1}, k.sizes)
}

// Symptom: a claim hangs or is refused although no call to the keepers is
// under way. Sequence: a call finds no quorum and its claims are told so; the
// next claim comes before the calling goroutine has come round. Cause: that
// goroutine was taken for a call in flight.
func TestClaimBetweenTwoCallsIsTheNextProbe(t *testing.T) {
	k := &keepers{}
	c := newClaimant(k)
	c.calling, c.inFlight = true, true
	c.noteContact(false)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Claim(t.Context(), &messenger.ClaimEntry{Workspace: "w", Key: "k"})
		ended <- err
	}()
	require.Eventually(t, func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.waiting) == 1 || len(ended) == 1
	}, 5*time.Second, time.Millisecond)
	c.callClaims()
	require.NoError(t, <-ended)
}
