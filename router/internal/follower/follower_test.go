package follower

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
)

// object returns a workspace with a weight.
func object(name, weight string) *messenger.Object {
	return &messenger.Object{Kind: string(describer.Workspace), Name: name, Labels: map[string]string{"weight": weight}}
}

// Guards against applying an answer because it arrived last and not because it is newer:
// repeated and reordered answers of keepers that are behind would revert an accepted
// change at a router.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s state
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			before := s.snapshot
			after := rapid.SampledFrom([]uint64{before.Revision, 0, 3}).Draw(t, "after")
			answer := &messenger.WatchResponse{
				Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"),
				Full:     rapid.Bool().Draw(t, "full"),
			}
			result := s.apply(now, after, answer)
			require.GreaterOrEqual(t, s.snapshot.Revision, before.Revision)
			if result != newer {
				require.Equal(t, before.Revision, s.snapshot.Revision)
			}
		}
	})
}

// Only a full answer, or a difference from the revision in force, changes the snapshot.
func TestApply(t *testing.T) {
	start := func() *state {
		s := &state{}
		s.apply(time.Unix(0, 0), 0, &messenger.WatchResponse{
			Revision: 5, Full: true, Objects: []*messenger.Object{object("a", "1"), object("b", "1")},
		})
		return s
	}
	for name, test := range map[string]struct {
		after   uint64
		answer  *messenger.WatchResponse
		result  applyResult
		objects int
	}{
		"difference": {
			after: 5, result: newer, objects: 2,
			answer: &messenger.WatchResponse{
				Revision: 6, Objects: []*messenger.Object{object("c", "1")},
				Deletions: []*messenger.Deletion{{Kind: "workspace", Name: "a"}},
			},
		},
		"difference from another revision": {after: 3, answer: &messenger.WatchResponse{Revision: 6}, result: gap, objects: 2},
		"whole": {
			after: 0, answer: &messenger.WatchResponse{Revision: 9, Full: true, Objects: []*messenger.Object{object("z", "1")}},
			result: newer, objects: 1,
		},
		"older":     {after: 5, answer: &messenger.WatchResponse{Revision: 4, Full: true}, result: older, objects: 2},
		"unchanged": {after: 5, answer: &messenger.WatchResponse{Revision: 5, Stale: true}, result: unchanged, objects: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := start()
			require.Equal(t, test.result, s.apply(time.Unix(0, 0), test.after, test.answer))
			require.Len(t, s.snapshot.Objects, test.objects)
			require.Equal(t, test.answer.GetStale(), s.stale)
		})
	}
}

// scriptedKeeper returns its answers in order, and then holds polls until they are
// cancelled.
type scriptedKeeper struct {
	messenger.Keeping
	mutex    sync.Mutex
	answers  []*messenger.WatchResponse
	requests []*messenger.WatchRequest
}

var errCut = errors.New("cut")

func (k *scriptedKeeper) Watch(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	k.mutex.Lock()
	k.requests = append(k.requests, q)
	if len(k.answers) > 0 {
		answer := k.answers[0]
		k.answers = k.answers[1:]
		k.mutex.Unlock()
		return answer, nil
	}
	k.mutex.Unlock()
	<-ctx.Done()
	return nil, errCut
}

// fakePeer is another router with a fixed snapshot.
type fakePeer struct {
	messenger.Membership
	answer *messenger.WatchResponse
}

func (m *fakePeer) Snapshot(context.Context, *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return m.answer, nil
}

// startFollower runs a follower with one peer. The channel receives each revision that is
// put in force.
func startFollower(t *testing.T, keepers []messenger.Keeping, peer *messenger.WatchResponse) (*Follower, chan uint64) {
	revisions := make(chan uint64, 16)
	f := New(Options{
		Name: "router-a1", Zone: "trento-a", Keepers: keepers, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		Peers:   func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} },
		Peer:    func(netip.AddrPort) messenger.Membership { return &fakePeer{answer: peer} },
		Changed: func(rules *matcher.Rules) { revisions <- rules.Revision },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return f, revisions
}

// Guards against treating the first answer as the best: when a router starts in a
// partitioned zone whose keeper has no quorum and is behind, while another router of the
// zone has a newer revision, it would serve nothing, or an old configuration that is not
// marked stale.
func TestStartsWithTheHighestRevisionReachable(t *testing.T) {
	behind := &scriptedKeeper{answers: []*messenger.WatchResponse{{Revision: 3, Full: true, Stale: true}}}
	f, revisions := startFollower(t, []messenger.Keeping{behind}, &messenger.WatchResponse{Revision: 7, Full: true, Stale: true})
	for revision := range revisions {
		if revision == 7 {
			break
		}
	}
	require.True(t, f.Stale())
	require.Equal(t, uint64(7), f.Rules().Revision)
}

// Guards against a router that has just started and takes what a keeper without a quorum has, nothing or an
// old revision, for the configuration: it would count as ready, and refuse valid tokens for good.
func TestOnlyAQuorumConfirmsTheConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		answers                []*messenger.WatchResponse
		ready, current, waited bool // waited: ready once confirmationWait is over
	}{
		"no answer":                 {},
		"a keeper that has nothing": {answers: []*messenger.WatchResponse{{Stale: true}}},
		"an older revision":         {answers: []*messenger.WatchResponse{{Revision: 3, Full: true, Stale: true}}, waited: true},
		"a group that has nothing":  {answers: []*messenger.WatchResponse{{}}, ready: true, current: true, waited: true},
		"the newest revision":       {answers: []*messenger.WatchResponse{{Revision: 3, Full: true}}, ready: true, current: true, waited: true},
		"confirmed, and contact lost": {
			answers: []*messenger.WatchResponse{{Revision: 3, Full: true}, {Revision: 3, Stale: true}}, ready: true, waited: true,
		},
		"an older revision, then confirmed": {
			answers: []*messenger.WatchResponse{{Revision: 3, Full: true, Stale: true}, {Revision: 3}}, ready: true, current: true, waited: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			f := New(Options{Clock: clock, Log: zerolog.Nop()})
			for _, answer := range test.answers {
				f.applyAnswer(f.Rules().Revision, answer)
			}
			require.Equal(t, test.ready, f.HasConfiguration())
			require.Equal(t, test.current, f.Current())
			clock.Advance(confirmationWait)
			require.Equal(t, test.waited, f.HasConfiguration())
			require.Equal(t, test.current, f.Current())
		})
	}
}

// Guards against a router that is not ready for seconds after its keepers have elected a leader, because a
// keeper that has no newer revision holds its poll.
func TestConfirmationIsNotWaitedForInALongPoll(t *testing.T) {
	k := &scriptedKeeper{answers: []*messenger.WatchResponse{
		{Revision: 3, Full: true, Stale: true}, {Revision: 3, Stale: true}, {Revision: 3},
	}}
	f, _ := startFollower(t, []messenger.Keeping{k}, &messenger.WatchResponse{})
	require.Eventually(t, f.Current, 5*time.Second, time.Millisecond)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, request := range k.requests[:3] {
		require.Zero(t, request.GetWaitMs())
	}
}

// Guards against a router whose long polls do not carry its revision in force: after an
// accepted change, `skctl apply --wait` would never return.
func TestAcknowledgesTheRevisionInForce(t *testing.T) {
	k := &scriptedKeeper{answers: []*messenger.WatchResponse{
		{Revision: 1, Full: true}, {Revision: 2, Objects: []*messenger.Object{object("a", "2")}},
	}}
	f, revisions := startFollower(t, []messenger.Keeping{k}, &messenger.WatchResponse{})
	require.Equal(t, uint64(1), <-revisions)
	require.Equal(t, uint64(2), <-revisions)
	require.Eventually(t, func() bool {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		return k.requests[len(k.requests)-1].GetInForce() == 2
	}, 5*time.Second, time.Millisecond)
	require.False(t, f.Stale())
	require.InDelta(t, 2, f.Rules().Weight("a"), 0)
}

// A published fingerprint is quarantined at this router before the keepers return it, and
// a fingerprint from a keeper only for its remaining time.
func TestQuarantineAppliesLocallyAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := New(Options{Clock: clock, Log: zerolog.Nop(), Publisher: fakePublisher{}})
	f.Publish(7)
	remaining, quarantined := f.Quarantined(7)
	require.True(t, quarantined)
	require.Equal(t, quarantineDuration, remaining)
	f.applyAnswer(0, &messenger.WatchResponse{QuarantineRevision: 1, Quarantined: []*messenger.Fingerprint{{Digest: 8, LeftMs: 1000}}})
	_, quarantined = f.Quarantined(8)
	require.True(t, quarantined)
	clock.Advance(2 * time.Second)
	_, quarantined = f.Quarantined(8)
	require.False(t, quarantined)
}

// fakePublisher accepts every fingerprint.
type fakePublisher struct{}

func (fakePublisher) Quarantine(context.Context, *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error) {
	return &messenger.QuarantineResponse{}, nil
}
