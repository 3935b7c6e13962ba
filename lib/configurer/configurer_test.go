package configurer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
)

func workspace(name, tier string) describer.Object {
	return describer.Object{Kind: describer.Workspace, Name: name, Labels: labeler.Labels{"tier": tier}}
}

func set(object describer.Object) describer.Edit {
	return describer.Edit{Object: object}
}

func checked(object describer.Object, version uint64) describer.Edit {
	return describer.Edit{Object: object, Check: true, Version: version}
}

func remove(name string) describer.Edit {
	return describer.Edit{Object: describer.Object{Kind: describer.Workspace, Name: name}, Delete: true}
}

func change(id string, edits ...describer.Edit) describer.Change {
	return describer.Change{ID: id, Author: "operator", Edits: edits}
}

// apply does what a leader and then every replica does.
func apply(m *configurer.Machine, wanted describer.Change) configurer.Result {
	verdict := m.Check(wanted)
	if verdict.Outcome != configurer.Accepted || verdict.Resent {
		return verdict
	}
	return m.Apply(wanted, verdict.Findings, m.Revision(), time.Unix(100, 0))
}

// Symptom: a change takes effect twice, or undoes a later one. Sequence: the
// answer is lost, another operator's change comes in between, and the first
// operator sends the change again.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	first := apply(m, change("a", checked(workspace("club", "gold"), 0)))
	require.Equal(t, configurer.Accepted, first.Outcome)
	apply(m, change("b", set(workspace("club", "silver"))))

	again := apply(m, change("a", checked(workspace("club", "gold"), 0)))
	require.True(t, again.Resent)
	require.Equal(t, first.Revision, again.Revision)
	require.Equal(t, first.Findings, again.Findings)
	require.Equal(t, "silver", m.Snapshot().Objects[workspace("club", "").Key()].Labels["tier"])

	replicated := m.Apply(change("a", set(workspace("club", "gold"))), nil, m.Revision(), time.Unix(0, 0))
	require.True(t, replicated.Resent, "also when two copies were in the log already")
}

// Symptom: an operator's change vanishes without a trace. Sequence: two
// operators see the same version and both write.
func TestRaceHasOneWinnerThatTheLoserSees(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	version := m.Snapshot().Objects[workspace("club", "").Key()].Version
	require.Equal(t, configurer.Accepted, apply(m, change("b", checked(workspace("club", "silver"), version))).Outcome)

	lost := apply(m, change("c", checked(workspace("club", "bronze"), version)))
	require.Equal(t, configurer.Conflict, lost.Outcome)
	require.Equal(t, "silver", lost.Winners[0].Labels["tier"])
	require.Equal(t, version+1, lost.Winners[0].Version)
}

// Symptom: an operator overwrites an object that is not the one they saw.
// Sequence: it is deleted and made anew, and its version counts from 1 again.
func TestVersionsOfANameAreNeverUsedTwice(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	seen := m.Snapshot().Objects[workspace("club", "").Key()].Version
	apply(m, change("b", remove("club")))
	gone := apply(m, change("c", checked(workspace("club", "silver"), seen)))
	require.Equal(t, configurer.Conflict, gone.Outcome)
	require.Zero(t, gone.Winners[0].Version, "the loser sees that it was deleted")
	apply(m, change("d", set(workspace("club", "bronze"))))
	require.Equal(t, configurer.Conflict, apply(m, change("e", checked(workspace("club", "silver"), seen))).Outcome)
}

// Symptom: two services offer one model although validation forbids it.
// Sequence: two changes are valid alone, both are checked on the same revision,
// and both are in the log before either is applied.
func TestVerdictHoldsForOneRevision(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	service := func(name string) describer.Change {
		return change(name, set(describer.Object{Kind: describer.Service, Name: name, Labels: labeler.Labels{
			describer.LabelType: describer.TypeModel, describer.PrefixModel + "draft": describer.Yes,
		}}))
	}
	base := m.Revision()
	require.Equal(t, configurer.Accepted, m.Check(service("one")).Outcome)
	require.Equal(t, configurer.Accepted, m.Check(service("two")).Outcome)
	require.Equal(t, configurer.Accepted, m.Apply(service("one"), nil, base, time.Time{}).Outcome)
	require.Equal(t, configurer.Moved, m.Apply(service("two"), nil, base, time.Time{}).Outcome)
	require.Equal(t, configurer.Invalid, m.Check(service("two")).Outcome)
	require.EqualValues(t, 1, m.Revision())
}

func TestSnapshotsStayAsTheyWere(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	before := m.Snapshot()
	apply(m, change("b", set(workspace("club", "silver")), set(workspace("other", "gold"))))
	require.Len(t, before.Objects, 1)
	require.Equal(t, "gold", before.Objects[workspace("club", "").Key()].Labels["tier"])
}

func TestSinceTellsWhatChanged(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold")), set(workspace("house", "gold"))))
	apply(m, change("b", set(workspace("club", "silver"))))
	apply(m, change("c", remove("house")))

	everything := m.Since(0)
	require.True(t, everything.Full)
	require.Len(t, everything.Objects, 1)

	difference := m.Since(1)
	require.False(t, difference.Full)
	require.Equal(t, "silver", difference.Objects[0].Labels["tier"])
	require.Equal(t, []describer.Key{{Kind: describer.Workspace, Name: "house"}}, difference.Deletions)
	require.Empty(t, m.Since(3).Objects)
	require.EqualValues(t, 3, m.Since(9).Revision, "a router that is ahead hears of the lower revision and keeps its own")
}

func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	for i := range configurer.HistoryLength + 10 {
		apply(m, change(fmt.Sprint(i), set(workspace("club", "gold"))))
	}
	require.Len(t, m.History(0, 1<<20), configurer.HistoryLength)
	require.True(t, m.Since(1).Full, "what lies before the history is told in full")
	_, err := m.At(1)
	require.ErrorIs(t, err, configurer.ErrForgotten)
	require.ErrorContains(t, err, "ask for 10 to")
	require.True(t, apply(m, change("0")).Resent, "change ids are remembered for longer")
}

// TestAnyHistory applies random changes and checks against all earlier states:
// every revision can be looked up, a difference leads from any of them to the
// last, and a state that was encoded goes on exactly as the original.
func TestAnyHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &configurer.Machine{}
		states := []map[describer.Key]describer.Object{{}}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			wanted := change(fmt.Sprint(i))
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string]).Draw(t, "names") {
				edit := set(workspace(name, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tier")))
				edit.Delete = rapid.Bool().Draw(t, "delete")
				wanted.Edits = append(wanted.Edits, edit)
			}
			if apply(m, wanted).Outcome == configurer.Accepted {
				states = append(states, m.Snapshot().Objects)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				m = reopen(t, m)
			}
		}
		for revision, objects := range states {
			at, err := m.At(uint64(revision))
			require.NoError(t, err)
			require.Equal(t, objects, at.Objects)
			require.Equal(t, states[len(states)-1], follow(objects, m.Since(uint64(revision))))
		}
	})
}

// reopen returns the machine as a keeper has it after a restart.
func reopen(t require.TestingT, m *configurer.Machine) *configurer.Machine {
	state := m.Encode()
	again := configurer.Decode(state)
	require.True(t, proto.Equal(state, again.Encode()))
	return again
}

// follow does what a router does with a difference.
func follow(objects map[describer.Key]describer.Object, difference configurer.Difference) map[describer.Key]describer.Object {
	followed := make(map[describer.Key]describer.Object)
	if !difference.Full {
		for key, object := range objects {
			followed[key] = object
		}
	}
	for _, object := range difference.Objects {
		followed[object.Key()] = object
	}
	for _, key := range difference.Deletions {
		delete(followed, key)
	}
	return followed
}
