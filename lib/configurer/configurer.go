// Package configurer implements the replicated state machine of the
// configuration: objects, their versions, revisions, change ids and history.
//
// A change is checked twice. The leader validates it against the configuration
// that it has applied, and proposes it with the findings and the revision of that
// configuration. Every replica then applies the change only if the revision is
// still the same. Replicas whose validation differs, for example during an
// upgrade, thus reach the same state, and of two changes that are valid alone but
// not together the second is validated again.
//
// Invariants:
//   - the revision rises by one with each accepted change and never decreases;
//   - a change id is applied once; a resend gets the first answer, as long as the
//     id is among the last AcceptedLength accepted changes;
//   - of two changes that check the same version of an object one is accepted, and
//     the answer to the other contains the object as the accepted one left it;
//   - a created object gets the revision as its version, so that no version of a
//     name is used twice, even if the object is deleted and created again.
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

// Bounds on the history and on the remembered change ids, in accepted changes and
// in bytes. The oldest are forgotten first.
const (
	HistoryLength  = 4096
	HistoryBytes   = 16 << 20
	AcceptedLength = 32768 // covers more than a day at 25,000 changes per day
	AcceptedBytes  = 16 << 20
)

// Outcome is the outcome of a change.
type Outcome uint8

// The outcomes.
const (
	// Accepted: the change has a revision, or would have it if it is a dry run.
	Accepted Outcome = iota + 1
	// Invalid: the findings contain an error.
	Invalid
	// Conflict: the version of an object differs from the version that the change
	// expects.
	Conflict
	// Moved: another change was applied after the validation; the change must be
	// validated and proposed again.
	Moved
)

// Result is the answer to a change. Winners are the objects in conflict, as they
// are in force. Resent means that the change id was accepted before.
type Result struct {
	Outcome  Outcome
	Revision uint64
	Findings []describer.Finding
	Winners  []describer.Object
	Resent   bool
}

// Revision is one accepted change. Before holds the edited objects before the
// change; an object of version 0 did not exist.
type Revision struct {
	Revision uint64
	Change   describer.Change
	At       time.Time
	Before   []describer.Object
}

// Machine is the replicated state. The zero value is an empty configuration.
// It is not safe for concurrent use, but the snapshots that it returns are.
type Machine struct {
	revision uint64
	objects  map[describer.Key]describer.Object
	shared   bool // objects is part of a snapshot and must be copied before an edit
	history  window[Revision]
	accepted window[accepted]
	answers  map[string]accepted // by change id, the items of accepted
}

// accepted is the first answer to an accepted change id.
type accepted struct {
	change   string
	revision uint64
	findings []describer.Finding
}

// Revision returns the revision of the last accepted change, 0 if there is none.
func (m *Machine) Revision() uint64 {
	return m.revision
}

// Snapshot returns the objects in force. The snapshot is not modified afterwards.
func (m *Machine) Snapshot() describer.Snapshot {
	m.shared = true
	return describer.Snapshot{Revision: m.revision, Objects: m.objects}
}

// Check returns the answer to a change before it is replicated. The outcome
// Accepted without Resent means that the change may be proposed, and is not final.
func (m *Machine) Check(change describer.Change) Result {
	if result, answered := m.resentOrConflict(change); answered {
		return result
	}
	findings := describer.Validate(m.Snapshot(), change)
	if describer.Failed(findings) {
		return Result{Outcome: Invalid, Revision: m.revision, Findings: findings}
	}
	return Result{Outcome: Accepted, Revision: m.revision + 1, Findings: findings}
}

// Apply applies a replicated change. The leader found it valid, with the given
// findings, against the configuration of revision base. If the revision has
// changed since, the outcome is Moved and nothing is applied.
func (m *Machine) Apply(change describer.Change, findings []describer.Finding, base uint64, at time.Time) Result {
	if result, answered := m.resentOrConflict(change); answered {
		return result
	}
	if base != m.revision {
		return Result{Outcome: Moved, Revision: m.revision}
	}
	m.revision++
	m.makeWritable()
	revision := Revision{Revision: m.revision, Change: change, At: at}
	for _, edit := range change.Edits {
		revision.Before = append(revision.Before, m.applyEdit(edit))
	}
	m.addToHistory(revision)
	m.recordAnswer(accepted{change: change.ID, revision: m.revision, findings: findings})
	return Result{Outcome: Accepted, Revision: m.revision, Findings: findings}
}

// resentOrConflict returns the answer to a resend or to a change in conflict, which
// need no validation, and reports whether the change is one of these.
func (m *Machine) resentOrConflict(change describer.Change) (Result, bool) {
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
			// The object was deleted, which version 0 indicates.
			current = describer.Object{Kind: edit.Object.Kind, Name: edit.Object.Name}
		}
		winners = append(winners, current)
	}
	if len(winners) > 0 {
		return Result{Outcome: Conflict, Revision: m.revision, Winners: winners}, true
	}
	return Result{}, false
}

// makeWritable copies the objects if a snapshot shares them, so that they can be
// edited.
func (m *Machine) makeWritable() {
	if m.shared {
		m.objects = maps.Clone(m.objects)
		m.shared = false
	}
	if m.objects == nil {
		m.objects = make(map[describer.Key]describer.Object)
	}
}

// applyEdit applies one edit and returns the object before it, with version 0 if
// it did not exist.
func (m *Machine) applyEdit(edit describer.Edit) describer.Object {
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

// addToHistory appends a revision to the history, and evicts the oldest beyond the
// bounds.
func (m *Machine) addToHistory(revision Revision) {
	m.history.push(revision, proto.Size(revisionToWire(revision)))
	m.history.evict(HistoryLength, HistoryBytes, func(Revision) {})
}

// recordAnswer remembers the first answer to a change id, and forgets the oldest
// answers beyond the bounds.
func (m *Machine) recordAnswer(first accepted) {
	if m.answers == nil {
		m.answers = make(map[string]accepted)
	}
	m.answers[first.change] = first
	m.accepted.push(first, proto.Size(acceptedToWire(first)))
	m.accepted.evict(AcceptedLength, AcceptedBytes, func(old accepted) { delete(m.answers, old.change) })
}

// Encode returns the complete state for a snapshot. Objects are sorted, so that
// all replicas encode the same bytes.
func (m *Machine) Encode() *messenger.ConfigurationState {
	state := &messenger.ConfigurationState{Revision: m.revision}
	for _, object := range sorted(m.objects) {
		state.Objects = append(state.Objects, ObjectToWire(object))
	}
	for _, revision := range m.history.values() {
		state.History = append(state.History, revisionToWire(revision))
	}
	for _, first := range m.accepted.values() {
		state.Accepted = append(state.Accepted, acceptedToWire(first))
	}
	return state
}

// Decode returns a machine with the state from Encode.
func Decode(state *messenger.ConfigurationState) *Machine {
	m := &Machine{revision: state.GetRevision()}
	m.makeWritable()
	for _, wire := range state.GetObjects() {
		object := ObjectFromWire(wire)
		m.objects[object.Key()] = object
	}
	for _, wire := range state.GetHistory() {
		m.history.push(revisionFromWire(wire), proto.Size(wire))
	}
	for _, wire := range state.GetAccepted() {
		first := acceptedFromWire(wire)
		m.recordAnswer(first)
	}
	return m
}
