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

// apply checks a change as a leader does and then applies it as every replica does.
func apply(m *configurer.Machine, wanted describer.Change) configurer.Result {
	verdict := m.Check(wanted)
	if verdict.Outcome != configurer.Accepted || verdict.Resent {
		return verdict
	}
	return m.Apply(wanted, verdict.Findings, m.Revision(), time.Unix(100, 0))
}

// Guards against a change that takes effect twice or undoes a later change: its
// answer is lost, a change of another operator is accepted, and the first operator
// sends the change again.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	first := apply(m, change("a", checked(workspace("club", "gold"), 0)))
	require.Equal(t, configurer.Accepted, first.Outcome)
	apply(m, change("b", set(workspace("club", "silver"))))

	resent := apply(m, change("a", checked(workspace("club", "gold"), 0)))
	require.True(t, resent.Resent)
	require.Equal(t, first.Revision, resent.Revision)
	require.Equal(t, first.Findings, resent.Findings)
	require.Equal(t, "silver", m.Snapshot().Objects[workspace("club", "").Key()].Labels["tier"])

	replicated := m.Apply(change("a", set(workspace("club", "gold"))), nil, m.Revision(), time.Unix(0, 0))
	require.True(t, replicated.Resent, "a second copy in the log is a resend as well")
}

// Guards against a change that another operator's change overwrites unnoticed: both
// operators read the same version of an object and both write it.
func TestConflictReturnsWinningObject(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	version := m.Snapshot().Objects[workspace("club", "").Key()].Version
	require.Equal(t, configurer.Accepted, apply(m, change("b", checked(workspace("club", "silver"), version))).Outcome)

	conflict := apply(m, change("c", checked(workspace("club", "bronze"), version)))
	require.Equal(t, configurer.Conflict, conflict.Outcome)
	require.Equal(t, "silver", conflict.Winners[0].Labels["tier"])
	require.Equal(t, version+1, conflict.Winners[0].Version)
}

// Guards against an operator who overwrites another object than the one they read:
// the object is deleted and created again, and its versions start from 1 again.
func TestVersionsOfANameAreNeverUsedTwice(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	seen := m.Snapshot().Objects[workspace("club", "").Key()].Version
	apply(m, change("b", remove("club")))
	gone := apply(m, change("c", checked(workspace("club", "silver"), seen)))
	require.Equal(t, configurer.Conflict, gone.Outcome)
	require.Zero(t, gone.Winners[0].Version, "version 0 shows that the object was deleted")
	apply(m, change("d", set(workspace("club", "bronze"))))
	require.Equal(t, configurer.Conflict, apply(m, change("e", checked(workspace("club", "silver"), seen))).Outcome)
}

// Guards against two services that offer the same model, which validation forbids:
// two changes that are valid alone are both checked against the same revision, and
// both are in the log before either is applied.
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

// Guards against a snapshot that changes while readers in other goroutines use it.
func TestSnapshotsAreImmutable(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold"))))
	before := m.Snapshot()
	apply(m, change("b", set(workspace("club", "silver")), set(workspace("other", "gold"))))
	require.Len(t, before.Objects, 1)
	require.Equal(t, "gold", before.Objects[workspace("club", "").Key()].Labels["tier"])
}

// Guards against routers that miss edits or deletions after the revision they have.
func TestSinceReturnsDifference(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	apply(m, change("a", set(workspace("club", "gold")), set(workspace("house", "gold"))))
	apply(m, change("b", set(workspace("club", "silver"))))
	apply(m, change("c", remove("house")))

	complete := m.Since(0)
	require.True(t, complete.Full)
	require.Len(t, complete.Objects, 1)

	difference := m.Since(1)
	require.False(t, difference.Full)
	require.Equal(t, "silver", difference.Objects[0].Labels["tier"])
	require.Equal(t, []describer.Key{{Kind: describer.Workspace, Name: "house"}}, difference.Deletions)
	require.Empty(t, m.Since(3).Objects)
	require.EqualValues(t, 3, m.Since(9).Revision, "a router with a higher revision gets the lower one and no objects, and keeps its own")
}

// Guards against a history that grows without bound, and against wrong answers about
// revisions that are no longer in it.
func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	m := &configurer.Machine{}
	for i := range configurer.HistoryLength + 10 {
		apply(m, change(fmt.Sprint(i), set(workspace("club", "gold"))))
	}
	require.Len(t, m.History(0, 1<<20), configurer.HistoryLength)
	require.True(t, m.Since(1).Full, "a revision older than the history gets the full configuration")
	_, err := m.At(1)
	require.ErrorIs(t, err, configurer.ErrForgotten)
	require.ErrorContains(t, err, "ask for 10 to")
	require.True(t, apply(m, change("0")).Resent, "change ids are remembered for longer than the history")
}

// TestAnyHistory applies random changes and compares with all earlier states: every
// revision can be looked up, a difference leads from each of them to the last, and
// a decoded state behaves exactly like the encoded one.
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

// reopen encodes and decodes the machine, as a restart of a keeper does.
func reopen(t require.TestingT, m *configurer.Machine) *configurer.Machine {
	state := m.Encode()
	decoded := configurer.Decode(state)
	require.True(t, proto.Equal(state, decoded.Encode()))
	return decoded
}

// follow applies a difference as a router does.
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
