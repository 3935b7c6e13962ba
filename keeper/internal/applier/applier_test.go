package applier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/lessor"
	"shallotkeel.example/lib/messenger"
)

func apply(t *testing.T, s *applier.State, clock time.Duration, command *messenger.Command) applier.Result {
	t.Helper()
	command.ClockMs = uint64(clock / time.Millisecond)
	data, err := proto.Marshal(command)
	require.NoError(t, err)
	result, err := s.Apply(data)
	require.NoError(t, err)
	return result
}

func quarantining(digest uint64, left time.Duration) *messenger.Command {
	return &messenger.Command{Quarantine: &messenger.QuarantineRequest{Fingerprints: []*messenger.Fingerprint{
		{Digest: digest, LeftMs: uint32(left / time.Millisecond)},
	}}}
}

func TestQuarantineEndsOnTheReplicatedClock(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Minute, quarantining(7, time.Minute))
	left, revision := s.Quarantined(90 * time.Second)
	require.Len(t, left, 1)
	require.EqualValues(t, 30_000, left[0].GetLeftMs())
	require.EqualValues(t, 1, revision)
	left, _ = s.Quarantined(2 * time.Minute)
	require.Empty(t, left)

	apply(t, s, 80*time.Second, quarantining(7, time.Second))
	left, _ = s.Quarantined(90 * time.Second)
	require.EqualValues(t, 30_000, left[0].GetLeftMs(), "a shorter time ends nothing early")
}

// Symptom: crashing requests fill the keepers' memory.
func TestQuarantineIsBounded(t *testing.T) {
	t.Parallel()
	s := applier.New()
	for i := range applier.MaxQuarantined + 5 {
		apply(t, s, 0, quarantining(uint64(i+1), time.Duration(i+1)*time.Second))
	}
	left, _ := s.Quarantined(0)
	require.Len(t, left, applier.MaxQuarantined)
	require.EqualValues(t, 6, left[0].GetDigest(), "the first to end made room")
	apply(t, s, 0, quarantining(1, 1000*time.Hour))
	left, _ = s.Quarantined(0)
	require.EqualValues(t, applier.MaxQuarantine/time.Millisecond, left[len(left)-1].GetLeftMs())
}

// Symptom: keys expire early. Sequence: a leader's clock lies behind that of the
// one before, and the replicated clock goes back and forth.
func TestClockNeverGoesBack(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Hour, &messenger.Command{})
	apply(t, s, time.Minute, &messenger.Command{})
	require.Equal(t, time.Hour, s.Clock())
}

func TestSnapshotHoldsEverything(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Minute, quarantining(7, time.Minute))
	apply(t, s, time.Minute, &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: "k", Owner: "one"},
	}}})
	apply(t, s, time.Minute, &messenger.Command{Change: &messenger.VerifiedChange{Change: &messenger.ApplyRequest{
		Change: "id", Edits: []*messenger.Edit{{Object: &messenger.Object{Kind: "endpoint", Name: "e"}}},
	}}})
	apply(t, s, time.Minute, &messenger.Command{Lease: &messenger.LeaseGrant{Pool: &messenger.Pool{Zone: "a", Service: "s"}, Holder: "one"}})
	data, err := s.Encode()
	require.NoError(t, err)
	again, err := applier.Decode(data)
	require.NoError(t, err)
	data2, err := again.Encode()
	require.NoError(t, err)
	require.Equal(t, data, data2)
	require.Equal(t, 1, again.Claims())
	require.EqualValues(t, 1, again.Configuration().Revision())
	require.EqualValues(t, 1, again.QuarantineRevision())
	require.Equal(t, lessor.Grant{Holder: "one", Fence: 1}, again.Leases().Grant(lessor.Pool{Zone: "a", Service: "s"}))
	_, err = applier.Decode([]byte{0xff})
	require.ErrorIs(t, err, applier.ErrMalformed)
	_, err = s.Apply([]byte{0xff})
	require.ErrorIs(t, err, applier.ErrMalformed)
}
