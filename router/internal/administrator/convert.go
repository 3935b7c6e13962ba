package administrator

import (
	"net/http"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
)

// applyRequest encodes a change for the keepers.
func applyRequest(change describer.Change, dryRun bool) *messenger.ApplyRequest {
	request := &messenger.ApplyRequest{Change: change.ID, Author: change.Author, DryRun: dryRun}
	for _, edit := range change.Edits {
		request.Edits = append(request.Edits, &messenger.Edit{
			Object: &messenger.Object{
				Kind: string(edit.Object.Kind), Name: edit.Object.Name, Labels: edit.Object.Labels,
				Selector: edit.Object.Selector, Version: edit.Object.Version,
			},
			Delete: edit.Delete, Check: edit.Check, Version: edit.Version,
		})
	}
	return request
}

// appliedAnswer decodes the keepers' answer to a change into an HTTP status and the
// body for the operator.
func appliedAnswer(answer *messenger.ApplyResponse) (int, reporter.Applied) {
	applied := reporter.Applied{Revision: answer.Revision, Resent: answer.Resent}
	for _, finding := range answer.Findings {
		applied.Findings = append(applied.Findings, reporter.Finding{
			Severity: finding.Severity, Kind: describer.Kind(finding.Kind), Name: finding.Name,
			Message: finding.Message, Remedy: finding.Remedy,
		})
	}
	switch answer.Outcome {
	case messenger.ApplyOutcome_APPLY_ACCEPTED:
		applied.Outcome = reporter.Accepted
		return http.StatusOK, applied
	case messenger.ApplyOutcome_APPLY_CONFLICT:
		applied.Outcome = reporter.Conflict
		applied.Winners = objects(answer.Winners)
		return http.StatusConflict, applied
	default:
		applied.Outcome = reporter.Invalid
		return http.StatusUnprocessableEntity, applied
	}
}

// object decodes an object; nil gives the zero object.
func object(message *messenger.Object) describer.Object {
	if message == nil {
		return describer.Object{}
	}
	return describer.Object{
		Kind: describer.Kind(message.Kind), Name: message.Name, Labels: labeler.Labels(message.Labels),
		Selector: message.Selector, Version: message.Version,
	}
}

// objects decodes a list of objects; the result is never nil.
func objects(messages []*messenger.Object) []describer.Object {
	decoded := make([]describer.Object, 0, len(messages))
	for _, message := range messages {
		decoded = append(decoded, object(message))
	}
	return decoded
}

// history decodes a list of revisions.
func history(answer *messenger.HistoryResponse) reporter.History {
	list := reporter.History{Revisions: make([]reporter.Revision, 0, len(answer.Revisions))}
	for _, revision := range answer.Revisions {
		entry := reporter.Revision{
			Revision: revision.Revision, Change: revision.Change, Author: revision.Author,
			UnixMS: revision.UnixMs, Edits: []describer.Edit{}, Before: objects(revision.Before),
		}
		for _, edit := range revision.Edits {
			entry.Edits = append(entry.Edits, describer.Edit{
				Object: object(edit.Object), Delete: edit.Delete, Check: edit.Check, Version: edit.Version,
			})
		}
		list.Revisions = append(list.Revisions, entry)
	}
	return list
}
