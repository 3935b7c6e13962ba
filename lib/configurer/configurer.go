// Package configurer is the replicated state machine of the configuration:
// objects, their versions, revisions, change ids and history.
//
// A change is checked twice. The leader validates it on the configuration that
// it has applied, and proposes it with that verdict and that revision; every
// replica then applies it only if the revision is still the same. So replicas
// whose validation differs, as during an upgrade, still reach the same state,
// and of two changes that are valid alone and not together one is checked again.
//
// Invariants:
//   - the revision rises by one with each accepted change and never decreases;
//   - a change id is applied once; a resend gets the first answer, within the
//     last AcceptedLength accepted changes;
//   - of two changes that check the same version of an object one wins, and the
//     other is shown the winner;
//   - an object made anew gets the revision as its version, so that no version
//     of a name is ever used twice.
//
// Memory: objects are bounded by package describer, history by HistoryLength
// and HistoryBytes, change ids by AcceptedLength and AcceptedBytes.
package configurer

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
)

// Bounds on what is remembered of accepted changes.
const (
	HistoryLength  = 4096
	HistoryBytes   = 16 << 20
	AcceptedLength = 32768 // more than a day of 25,000 changes
	AcceptedBytes  = 16 << 20
)

// Outcome is what became of a change.
type Outcome uint8

// The outcomes.
const (
	// Accepted: the change has, or as a dry run would have, a revision.
	Accepted Outcome = iota + 1
	// Invalid: the findings have an error.
	Invalid
	// Conflict: an object has another version than the change expects.
	Conflict
	// Moved: another change came in between; validate again and propose again.
	Moved
)

// Result is the answer to a change.
type Result struct {
	Outcome  Outcome
	Revision uint64
	Findings []describer.Finding
	Winners  []describer.Object
	Resent   bool
}

// Revision is one accepted change. Before holds the edited objects as they
// were; one of version 0 did not exist.
type Revision struct {
	Revision uint64
	Change   describer.Change
	At       time.Time
	Before   []describer.Object
}

// Machine is the replicated state. The zero value is an empty configuration.
// It is not safe for concurrent use; the snapshots that it hands out are.
type Machine struct {
	revision uint64
	objects  map[describer.Key]describer.Object
	shared   bool // objects has been handed out and must be copied before an edit
	history  window[Revision]
	accepted window[accepted]
	answers  map[string]accepted
}

// accepted is the first answer to a change id.
type accepted struct {
	change   string
	revision uint64
	findings []describer.Finding
}

// Revision returns the number of the last accepted change.
func (m *Machine) Revision() uint64 {
	return m.revision
}

// Snapshot returns the objects in force. It is never changed afterwards.
func (m *Machine) Snapshot() describer.Snapshot {
	m.shared = true
	return describer.Snapshot{Revision: m.revision, Objects: m.objects}
}

// Check returns the answer to a change as far as it can be known before it is
// replicated. An Accepted without Resent means that it may be proposed.
func (m *Machine) Check(change describer.Change) Result {
	if result, settled := m.settled(change); settled {
		return result
	}
	findings := describer.Validate(m.Snapshot(), change)
	if describer.Failed(findings) {
		return Result{Outcome: Invalid, Revision: m.revision, Findings: findings}
	}
	return Result{Outcome: Accepted, Revision: m.revision + 1, Findings: findings}
}

// Apply carries out a replicated change that was found valid, with these
// warnings, on the configuration of revision base.
func (m *Machine) Apply(change describer.Change, findings []describer.Finding, base uint64, at time.Time) Result {
	if result, settled := m.settled(change); settled {
		return result
	}
	if base != m.revision {
		return Result{Outcome: Moved, Revision: m.revision}
	}
	m.revision++
	m.own()
	revision := Revision{Revision: m.revision, Change: change, At: at}
	for _, edit := range change.Edits {
		revision.Before = append(revision.Before, m.edit(edit))
	}
	m.remember(revision)
	m.accept(accepted{change: change.ID, revision: m.revision, findings: findings})
	return Result{Outcome: Accepted, Revision: m.revision, Findings: findings}
}

// settled answers resends and conflicts, which need no validation.
func (m *Machine) settled(change describer.Change) (Result, bool) {
	if first, found := m.answers[change.ID]; found {
		return Result{Outcome: Accepted, Revision: first.revision, Findings: first.findings, Resent: true}, true
	}
	var winners []describer.Object
	for _, edit := range change.Edits {
		current, found := m.objects[edit.Object.Key()]
		if !edit.Check || current.Version == edit.Version {
			continue
		}
		if !found {
			// It was deleted. A version of 0 says so.
			current = describer.Object{Kind: edit.Object.Kind, Name: edit.Object.Name}
		}
		winners = append(winners, current)
	}
	if len(winners) > 0 {
		return Result{Outcome: Conflict, Revision: m.revision, Winners: winners}, true
	}
	return Result{}, false
}

// own makes the objects safe to edit.
func (m *Machine) own() {
	if m.shared {
		m.objects = maps.Clone(m.objects)
		m.shared = false
	}
	if m.objects == nil {
		m.objects = make(map[describer.Key]describer.Object)
	}
}

// edit carries out one edit and returns the object as it was.
func (m *Machine) edit(edit describer.Edit) describer.Object {
	key := edit.Object.Key()
	before, found := m.objects[key]
	if !found {
		before = describer.Object{Kind: key.Kind, Name: key.Name}
	}
	if edit.Delete {
		delete(m.objects, key)
		return before
	}
	object := edit.Object
	object.Version = before.Version + 1
	if !found {
		object.Version = m.revision
	}
	m.objects[key] = object
	return before
}

func (m *Machine) remember(revision Revision) {
	m.history.push(revision, proto.Size(revisionToWire(revision)))
	m.history.shrink(HistoryLength, HistoryBytes, func(Revision) {})
}

func (m *Machine) accept(first accepted) {
	if m.answers == nil {
		m.answers = make(map[string]accepted)
	}
	m.answers[first.change] = first
	m.accepted.push(first, proto.Size(acceptedToWire(first)))
	m.accepted.shrink(AcceptedLength, AcceptedBytes, func(old accepted) { delete(m.answers, old.change) })
}

// Encode returns the whole state.
func (m *Machine) Encode() *messenger.ConfigurationState {
	state := &messenger.ConfigurationState{Revision: m.revision}
	for _, object := range sorted(m.objects) {
		state.Objects = append(state.Objects, ObjectToWire(object))
	}
	for _, revision := range m.history.all() {
		state.History = append(state.History, revisionToWire(revision))
	}
	for _, first := range m.accepted.all() {
		state.Accepted = append(state.Accepted, acceptedToWire(first))
	}
	return state
}

// Decode returns the machine whose state was encoded.
func Decode(state *messenger.ConfigurationState) *Machine {
	m := &Machine{revision: state.GetRevision()}
	m.own()
	for _, wire := range state.GetObjects() {
		object := ObjectFromWire(wire)
		m.objects[object.Key()] = object
	}
	for _, wire := range state.GetHistory() {
		m.history.push(revisionFromWire(wire), proto.Size(wire))
	}
	for _, wire := range state.GetAccepted() {
		first := acceptedFromWire(wire)
		m.accept(first)
	}
	return m
}
