package claimer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/messenger"
)

const (
	granted  = messenger.ClaimOutcome_CLAIM_GRANTED
	spent    = messenger.ClaimOutcome_CLAIM_SPENT
	recorded = messenger.ClaimOutcome_CLAIM_RECORDED
	mismatch = messenger.ClaimOutcome_CLAIM_MISMATCH
	full     = messenger.ClaimOutcome_CLAIM_FULL
)

// entry returns a claim by an owner with a fixed workspace and request digest.
func entry(key, owner string) *messenger.ClaimEntry {
	return &messenger.ClaimEntry{Workspace: "club", Key: key, Digest: 7, Owner: owner}
}

func claim(m *claimer.Machine, now time.Duration, entry *messenger.ClaimEntry) *messenger.ClaimResult {
	return m.Claim(now, claimer.Policy{}, []*messenger.ClaimEntry{entry})[0]
}

func record(m *claimer.Machine, now time.Duration, key, owner string, answer *messenger.Answer) {
	m.Record(now, claimer.Policy{}, []*messenger.RecordEntry{
		{Workspace: "club", Key: key, Digest: 7, Owner: owner, Answer: answer},
	})
}

// Guards against a key that is granted to a second owner while the request may have
// run, and against a key that is not free again when it should be.
func TestClaims(t *testing.T) {
	t.Parallel()
	answer := &messenger.Answer{Status: 200, Body: []byte("booked")}
	notRun := &messenger.Answer{NotRun: true}
	tests := map[string]struct {
		before func(m *claimer.Machine)
		entry  *messenger.ClaimEntry
		want   messenger.ClaimOutcome
	}{
		"the first claim is granted": {func(*claimer.Machine) {}, entry("k", "one"), granted},
		"the key is spent for another owner": {
			func(m *claimer.Machine) { claim(m, 0, entry("k", "one")) }, entry("k", "two"), spent,
		},
		"a repeat by the same owner is granted again": {
			func(m *claimer.Machine) { claim(m, 0, entry("k", "one")) }, entry("k", "one"), granted,
		},
		"another request with the same key is a mismatch": {
			func(m *claimer.Machine) { claim(m, 0, entry("k", "one")) },
			&messenger.ClaimEntry{Workspace: "club", Key: "k", Digest: 8, Owner: "one"}, mismatch,
		},
		"another workspace has its own keys": {
			func(m *claimer.Machine) { claim(m, 0, entry("k", "one")) },
			&messenger.ClaimEntry{Workspace: "house", Key: "k", Digest: 8, Owner: "two"}, granted,
		},
		"a recorded answer is returned": {
			func(m *claimer.Machine) {
				claim(m, 0, entry("k", "one"))
				record(m, 0, "k", "one", answer)
			}, entry("k", "two"), recorded,
		},
		"the first answer is kept": {
			func(m *claimer.Machine) {
				claim(m, 0, entry("k", "one"))
				record(m, 0, "k", "one", answer)
				record(m, 0, "k", "one", notRun)
			}, entry("k", "two"), recorded,
		},
		"the key of a request that was not run is free again": {
			func(m *claimer.Machine) {
				claim(m, 0, entry("k", "one"))
				record(m, 0, "k", "one", notRun)
			}, entry("k", "two"), granted,
		},
		"a record by another owner changes nothing": {
			func(m *claimer.Machine) {
				claim(m, 0, entry("k", "one"))
				record(m, 0, "k", "two", notRun)
			}, entry("k", "two"), spent,
		},
		"the key is free again after the window": {
			func(m *claimer.Machine) {
				claim(m, -claimer.DefaultWindow, entry("k", "one"))
			}, entry("k", "two"), granted,
		},
		"the key is not free before the end of the window": {
			func(m *claimer.Machine) {
				claim(m, -claimer.DefaultWindow+time.Millisecond, entry("k", "one"))
			}, entry("k", "two"), spent,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &claimer.Machine{}
			test.before(m)
			result := claim(m, 0, test.entry)
			require.Equal(t, test.want.String(), result.GetOutcome().String())
			if test.want == recorded {
				var answer messenger.Answer
				require.NoError(t, proto.Unmarshal(result.GetRecorded(), &answer))
				require.Equal(t, "booked", string(answer.GetBody()))
			}
		})
	}
}

// Guards against a booking that is made twice: an endpoint did not start a
// request, its router reports that, and the answer to the report is lost; a resend
// through another router claims the key and runs; then the first router repeats
// its report, which must not free the key.
func TestLateReportFreesNoOtherClaim(t *testing.T) {
	t.Parallel()
	m := &claimer.Machine{}
	notRun := &messenger.Answer{NotRun: true}
	claim(m, 0, entry("k", "one"))
	record(m, 0, "k", "one", notRun)
	require.Equal(t, granted, claim(m, 0, entry("k", "two")).GetOutcome())
	record(m, 0, "k", "one", notRun)
	require.Equal(t, spent, claim(m, 0, entry("k", "three")).GetOutcome())
}

// Guards against the claims of one workspace filling the keepers' memory or using
// up the bounds of other workspaces.
func TestFloodIsBounded(t *testing.T) {
	t.Parallel()
	m := &claimer.Machine{}
	policy := claimer.Policy{PerWorkspace: 3, Total: 5}
	flood := func(workspace string) []string {
		var outcomes []string
		for i := range 4 {
			result := m.Claim(0, policy, []*messenger.ClaimEntry{{Workspace: workspace, Key: fmt.Sprint(i)}})[0]
			outcomes = append(outcomes, result.GetOutcome().String())
		}
		return outcomes
	}
	require.Equal(t, []string{granted.String(), granted.String(), granted.String(), full.String()}, flood("one"))
	require.Equal(t, []string{granted.String(), granted.String(), full.String(), full.String()}, flood("two"))
	m.Claim(claimer.DefaultWindow, policy, nil)
	require.Zero(t, m.Len())
	require.Equal(t, granted.String(), flood("three")[0])
}

// Guards against recorded answers that fill the keepers' memory, and against a
// request that runs again because its answer was dropped.
func TestAnswerBodiesAreBoundedButOutcomesAreKept(t *testing.T) {
	t.Parallel()
	m := &claimer.Machine{}
	policy := claimer.Policy{AnswerBytes: 100, WorkspaceBytes: 150, TotalBytes: 250}
	run := func(workspace, key string, size int) {
		m.Claim(0, policy, []*messenger.ClaimEntry{{Workspace: workspace, Key: key}})
		m.Record(0, policy, []*messenger.RecordEntry{{
			Workspace: workspace, Key: key, Answer: &messenger.Answer{Status: 200, Body: []byte(strings.Repeat("x", size))},
		}})
	}
	omitted := func(workspace, key string) bool {
		result := m.Claim(0, policy, []*messenger.ClaimEntry{{Workspace: workspace, Key: key, Owner: "resend"}})[0]
		require.Equal(t, recorded, result.GetOutcome())
		var answer messenger.Answer
		require.NoError(t, proto.Unmarshal(result.GetRecorded(), &answer))
		require.EqualValues(t, 200, answer.GetStatus())
		return answer.GetOmitted()
	}
	run("one", "large", 101)
	run("one", "a", 60)
	run("one", "b", 60)
	run("one", "c", 60)
	require.True(t, omitted("one", "large"))
	require.True(t, omitted("one", "a"), "the oldest answer of the workspace that exceeds its bound")
	require.False(t, omitted("one", "b"))
	run("two", "d", 60)
	require.False(t, omitted("one", "b"))
	run("three", "e", 60)
	require.True(t, omitted("one", "b"), "the oldest answer of all workspaces")
	require.False(t, omitted("two", "d"))
}

// TestAnySequence compares random claims, records and restarts with a plain map as
// the model, and checks that a replica that restarts from snapshots gives exactly
// the same results as a replica that does not.
func TestAnySequence(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		policy := claimer.Policy{Window: 200 * time.Millisecond, PerWorkspace: 4, WorkspaceBytes: 100, TotalBytes: 100}
		m, restarted := &claimer.Machine{}, &claimer.Machine{}
		owners := make(map[string]string) // of the current claim, by key
		expires := make(map[string]time.Duration)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
			owner := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "owner")
			if rapid.Bool().Draw(t, "record") {
				answer := &messenger.Answer{NotRun: rapid.Bool().Draw(t, "not run"), Body: make([]byte, 30)}
				entries := []*messenger.RecordEntry{{Workspace: "club", Key: key, Owner: owner, Answer: answer}}
				m.Record(now, policy, entries)
				restarted.Record(now, policy, entries)
				if owners[key] == owner && answer.GetNotRun() {
					delete(owners, key)
				}
			} else {
				entries := []*messenger.ClaimEntry{{Workspace: "club", Key: key, Owner: owner}}
				result := m.Claim(now, policy, entries)[0]
				require.True(t, proto.Equal(result, restarted.Claim(now, policy, entries)[0]))
				if result.GetOutcome() == granted {
					holder, held := owners[key]
					require.True(t, !held || holder == owner || expires[key] <= now, "%s is held by %s", key, holder)
					if !held || expires[key] <= now {
						expires[key] = now + policy.Window
					}
					owners[key] = owner
				}
			}
			restarted = claimer.Decode(restarted.Encode())
			require.LessOrEqual(t, m.Len(), policy.PerWorkspace)
		}
	})
}
