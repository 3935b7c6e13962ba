package claimant

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

var errUnreachable = errors.New("cut")

// fakeKeepers grants every claim once, and can delay or fail calls.
type fakeKeepers struct {
	mutex    sync.Mutex
	owners   map[string]string
	sizes    []int
	records  []*messenger.RecordEntry
	failures int
	hold     chan struct{}
	called   chan struct{}
}

func (k *fakeKeepers) Claim(_ context.Context, q *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	if k.called != nil {
		k.called <- struct{}{}
	}
	if k.hold != nil {
		<-k.hold
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.sizes = append(k.sizes, len(q.GetClaims()))
	if k.failures > 0 {
		k.failures--
		return nil, errUnreachable
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

func (k *fakeKeepers) Record(_ context.Context, q *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.failures > 0 {
		k.failures--
		return nil, errUnreachable
	}
	if _, err := proto.Marshal(q); err != nil {
		return nil, err
	}
	k.records = append(k.records, q.GetEntries()...)
	return &messenger.RecordResponse{}, nil
}

func newClaimant(k *fakeKeepers) *Claimant {
	k.owners = make(map[string]string)
	return New(Options{Keeping: k, Name: "router-a1", Incarnation: 1, Clock: clockwork.NewRealClock()})
}

// Guards against a request that runs twice because two claims of one key at one
// router have the same owner: a repeated claim by the owner is granted.
func TestEveryClaimHasItsOwnOwner(t *testing.T) {
	k := &fakeKeepers{}
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
	k := &fakeKeepers{hold: make(chan struct{}), called: make(chan struct{}, 8)}
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

// Guards against a key that stays claimed although no request was sent, so that the
// client's retry gets "may have run". The request times out while its claim is in
// flight, and the claim is granted afterwards.
func TestAbandonedClaimIsFreed(t *testing.T) {
	k := &fakeKeepers{hold: make(chan struct{}), called: make(chan struct{}, 1)}
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

// Guards against an outcome that is lost after a single attempt, so that a retry
// gets "may have run". The keepers do not answer for a while.
func TestRecordIsRetriedUntilStored(t *testing.T) {
	k := &fakeKeepers{failures: 2}
	c := newClaimant(k)
	c.Record(&messenger.RecordEntry{Workspace: "w", Key: "k"})
	require.NoError(t, c.Drain(t.Context()))
	require.Len(t, k.records, 1)
}

// Guards against an outcome that no message can carry, and that keeps all others from being recorded.
func TestRecordThatCannotBeEncodedCostsOnlyItself(t *testing.T) {
	k := &fakeKeepers{failures: 1}
	c := newClaimant(k)
	c.Record(&messenger.RecordEntry{Workspace: "w", Key: "bad", Answer: &messenger.Answer{ContentType: "text/b\xff"}})
	c.Record(&messenger.RecordEntry{Workspace: "w", Key: "good"})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, c.Drain(ctx))
	require.Len(t, k.records, 1)
	require.Equal(t, "good", k.records[0].GetKey())
}

// Guards against unbounded memory for outcomes while the keepers do not answer.
func TestRecordsAreBounded(t *testing.T) {
	k := &fakeKeepers{failures: 1 << 30}
	c := New(Options{Keeping: k, Clock: clockwork.NewFakeClock()})
	for range maxRecords + 100 {
		c.Record(&messenger.RecordEntry{Workspace: "w", Key: "k", Answer: &messenger.Answer{Body: make([]byte, 16<<10)}})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	require.LessOrEqual(t, len(c.records), maxRecords+maxBatch)
	require.LessOrEqual(t, c.recordBytes, maxRecordBytes+maxBatch*16<<10)
}

// Guards against a partitioned zone in which repeatable requests, which need no
// claim, wait for seconds because other requests hold the slots of the service while
// they wait for a claim: each claim waits for the timeout of a call, and the claims
// behind it for the next. After a call that reached no quorum, claims must not be
// kept waiting.
func TestClaimsAreRefusedAtOnceWhileNoQuorumIsReached(t *testing.T) {
	k := &fakeKeepers{hold: make(chan struct{}), called: make(chan struct{}, 8), failures: 1}
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

// Guards against a claim that hangs or is refused although no call to the keepers is
// in flight. A call reaches no quorum and its claims are refused; the next claim
// arrives while sendClaims is between two calls, which must not count as a call in
// flight.
func TestClaimBetweenTwoCallsIsTheNextProbe(t *testing.T) {
	k := &fakeKeepers{}
	c := newClaimant(k)
	c.senderRunning, c.inFlight = true, true
	c.updateQuorum(false)
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
	c.sendClaims()
	require.NoError(t, <-ended)
}
