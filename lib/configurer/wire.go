package configurer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
)

func compareKeys(a, b describer.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// sorted lists objects by kind and name, so that every replica encodes the same
// state to the same bytes.
func sorted(objects map[describer.Key]describer.Object) []describer.Object {
	listed := make([]describer.Object, 0, len(objects))
	for _, key := range slices.SortedFunc(maps.Keys(objects), compareKeys) {
		listed = append(listed, objects[key])
	}
	return listed
}

// ObjectToWire converts an object to its wire form.
func ObjectToWire(object describer.Object) *messenger.Object {
	return &messenger.Object{
		Kind: string(object.Kind), Name: object.Name, Labels: object.Labels,
		Selector: object.Selector, Version: object.Version,
	}
}

// ObjectFromWire converts an object from its wire form.
func ObjectFromWire(wire *messenger.Object) describer.Object {
	return describer.Object{
		Kind: describer.Kind(wire.GetKind()), Name: wire.GetName(), Labels: wire.GetLabels(),
		Selector: wire.GetSelector(), Version: wire.GetVersion(),
	}
}

// ObjectsToWire converts objects to their wire form.
func ObjectsToWire(objects []describer.Object) []*messenger.Object {
	var wire []*messenger.Object
	for _, object := range objects {
		wire = append(wire, ObjectToWire(object))
	}
	return wire
}

// KeysToWire converts the keys of deleted objects to their wire form.
func KeysToWire(keys []describer.Key) []*messenger.Deletion {
	var wire []*messenger.Deletion
	for _, key := range keys {
		wire = append(wire, &messenger.Deletion{Kind: string(key.Kind), Name: key.Name})
	}
	return wire
}

// ChangeToWire converts a change to its wire form.
func ChangeToWire(change describer.Change) *messenger.ApplyRequest {
	return &messenger.ApplyRequest{Change: change.ID, Author: change.Author, Edits: editsToWire(change.Edits)}
}

// ChangeFromWire converts a change from its wire form.
func ChangeFromWire(wire *messenger.ApplyRequest) describer.Change {
	return describer.Change{ID: wire.GetChange(), Author: wire.GetAuthor(), Edits: editsFromWire(wire.GetEdits())}
}

func editsToWire(edits []describer.Edit) []*messenger.Edit {
	var wire []*messenger.Edit
	for _, edit := range edits {
		wire = append(wire, &messenger.Edit{
			Object: ObjectToWire(edit.Object), Delete: edit.Delete, Check: edit.Check, Version: edit.Version,
		})
	}
	return wire
}

func editsFromWire(wire []*messenger.Edit) []describer.Edit {
	var edits []describer.Edit
	for _, edit := range wire {
		edits = append(edits, describer.Edit{
			Object: ObjectFromWire(edit.GetObject()), Delete: edit.GetDelete(),
			Check: edit.GetCheck(), Version: edit.GetVersion(),
		})
	}
	return edits
}

// FindingsToWire converts findings to their wire form.
func FindingsToWire(findings []describer.Finding) []*messenger.Finding {
	var wire []*messenger.Finding
	for _, finding := range findings {
		wire = append(wire, &messenger.Finding{
			Severity: string(finding.Severity), Kind: string(finding.Kind), Name: finding.Name,
			Message: finding.Message, Remedy: finding.Remedy,
		})
	}
	return wire
}

// FindingsFromWire converts findings from their wire form.
func FindingsFromWire(wire []*messenger.Finding) []describer.Finding {
	var findings []describer.Finding
	for _, finding := range wire {
		findings = append(findings, describer.Finding{
			Severity: describer.Severity(finding.GetSeverity()), Kind: describer.Kind(finding.GetKind()),
			Name: finding.GetName(), Message: finding.GetMessage(), Remedy: finding.GetRemedy(),
		})
	}
	return findings
}

// RevisionsToWire converts revisions of the history to their wire form.
func RevisionsToWire(revisions []Revision) []*messenger.Revision {
	var wire []*messenger.Revision
	for _, revision := range revisions {
		wire = append(wire, revisionToWire(revision))
	}
	return wire
}

// ResultToWire converts the answer to a change to its wire form. The outcome Moved
// has none, because the change is not answered yet.
func ResultToWire(result Result) *messenger.ApplyResponse {
	outcomes := map[Outcome]messenger.ApplyOutcome{
		Accepted: messenger.ApplyOutcome_APPLY_ACCEPTED,
		Invalid:  messenger.ApplyOutcome_APPLY_INVALID,
		Conflict: messenger.ApplyOutcome_APPLY_CONFLICT,
	}
	return &messenger.ApplyResponse{
		Outcome: outcomes[result.Outcome], Revision: result.Revision, Findings: FindingsToWire(result.Findings),
		Winners: ObjectsToWire(result.Winners), Resent: result.Resent,
	}
}

func revisionToWire(revision Revision) *messenger.Revision {
	return &messenger.Revision{
		Revision: revision.Revision, Change: revision.Change.ID, Author: revision.Change.Author,
		UnixMs: revision.At.UnixMilli(), Edits: editsToWire(revision.Change.Edits),
		Before: ObjectsToWire(revision.Before),
	}
}

func revisionFromWire(wire *messenger.Revision) Revision {
	revision := Revision{
		Revision: wire.GetRevision(),
		Change:   describer.Change{ID: wire.GetChange(), Author: wire.GetAuthor(), Edits: editsFromWire(wire.GetEdits())},
		At:       time.UnixMilli(wire.GetUnixMs()),
	}
	for _, before := range wire.GetBefore() {
		revision.Before = append(revision.Before, ObjectFromWire(before))
	}
	return revision
}

func acceptedToWire(first accepted) *messenger.AcceptedChange {
	return &messenger.AcceptedChange{
		Change: first.change, Revision: first.revision, Findings: FindingsToWire(first.findings),
	}
}

func acceptedFromWire(wire *messenger.AcceptedChange) accepted {
	return accepted{
		change: wire.GetChange(), revision: wire.GetRevision(), findings: FindingsFromWire(wire.GetFindings()),
	}
}
