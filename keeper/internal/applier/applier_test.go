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

// apply applies a command at a time of the replicated clock.
func apply(t *testing.T, s *applier.State, clock time.Duration, command *messenger.Command) applier.Result {
	t.Helper()
	command.ClockMs = uint64(clock / time.Millisecond)
	data, err := proto.Marshal(command)
	require.NoError(t, err)
	result, err := s.Apply(data)
	require.NoError(t, err)
	return result
}

func quarantineCommand(digest uint64, remaining time.Duration) *messenger.Command {
	return &messenger.Command{Quarantine: &messenger.QuarantineRequest{Fingerprints: []*messenger.Fingerprint{
		{Digest: digest, LeftMs: uint32(remaining / time.Millisecond)},
	}}}
}

// Guards against a quarantine that an operator, or an answer, cannot end.
func TestQuarantineWithoutTimeLeftIsLifted(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Minute, quarantineCommand(7, time.Minute))
	before := s.QuarantineRevision()
	apply(t, s, time.Minute, quarantineCommand(7, 0))
	quarantined, revision := s.Quarantined(time.Minute)
	require.Empty(t, quarantined)
	require.Greater(t, revision, before)
}

// Guards against a quarantine that ends early or late: it must last for its time on
// the replicated clock, and a second report must not shorten it.
func TestQuarantineEndsOnTheReplicatedClock(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Minute, quarantineCommand(7, time.Minute))
	quarantined, revision := s.Quarantined(90 * time.Second)
	require.Len(t, quarantined, 1)
	require.EqualValues(t, 30_000, quarantined[0].GetLeftMs())
	require.EqualValues(t, 1, revision)
	quarantined, _ = s.Quarantined(2 * time.Minute)
	require.Empty(t, quarantined)

	apply(t, s, 80*time.Second, quarantineCommand(7, time.Second))
	quarantined, _ = s.Quarantined(90 * time.Second)
	require.EqualValues(t, 30_000, quarantined[0].GetLeftMs(), "a shorter quarantine does not move the expiry earlier")
}

// Guards against fingerprints of crashing requests that fill the keepers' memory.
func TestQuarantineIsBounded(t *testing.T) {
	t.Parallel()
	s := applier.New()
	for i := range applier.MaxQuarantined + 5 {
		apply(t, s, 0, quarantineCommand(uint64(i+1), time.Duration(i+1)*time.Second))
	}
	quarantined, _ := s.Quarantined(0)
	require.Len(t, quarantined, applier.MaxQuarantined)
	require.EqualValues(t, 6, quarantined[0].GetDigest(), "the fingerprints that expire first were evicted")
	apply(t, s, 0, quarantineCommand(1, 1000*time.Hour))
	quarantined, _ = s.Quarantined(0)
	require.EqualValues(t, applier.MaxQuarantine/time.Millisecond, quarantined[len(quarantined)-1].GetLeftMs())
}

// Guards against keys that expire early: a leader's clock is behind that of the
// previous leader, and the replicated clock jumps back and forth.
func TestClockNeverGoesBack(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Hour, &messenger.Command{})
	apply(t, s, time.Minute, &messenger.Command{})
	require.Equal(t, time.Hour, s.Clock())
}

// Guards against parts of the state that a snapshot loses, and against malformed data
// that is taken for a state or a command.
func TestSnapshotHoldsEverything(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, time.Minute, quarantineCommand(7, time.Minute))
	apply(t, s, time.Minute, &messenger.Command{Claim: &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: "k", Owner: "one"},
	}}})
	apply(t, s, time.Minute, &messenger.Command{Change: &messenger.VerifiedChange{Change: &messenger.ApplyRequest{
		Change: "id", Edits: []*messenger.Edit{{Object: &messenger.Object{Kind: "endpoint", Name: "e"}}},
	}}})
	apply(t, s, time.Minute, departureCommand("leaving", time.Time{}))
	apply(t, s, time.Minute, &messenger.Command{Lease: &messenger.LeaseGrant{Pool: &messenger.Pool{Zone: "a", Service: "s"}, Holder: "one"}})
	data, err := s.Encode()
	require.NoError(t, err)
	decoded, err := applier.Decode(data)
	require.NoError(t, err)
	data2, err := decoded.Encode()
	require.NoError(t, err)
	require.Equal(t, data, data2)
	require.Equal(t, 1, decoded.ClaimCount())
	require.EqualValues(t, 1, decoded.Configuration().Revision())
	require.EqualValues(t, 1, decoded.QuarantineRevision())
	require.Equal(t, lessor.Grant{Holder: "one", Fence: 1}, decoded.Leases().Grant(lessor.Pool{Zone: "a", Service: "s"}))
	_, err = applier.Decode([]byte{0xff})
	require.ErrorIs(t, err, applier.ErrMalformed)
	_, err = s.Apply([]byte{0xff})
	require.ErrorIs(t, err, applier.ErrMalformed)
}
