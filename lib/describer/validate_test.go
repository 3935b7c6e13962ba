package describer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
)

var (
	digest      = strings.Repeat("a", 63)
	otherDigest = strings.Repeat("b", 63)
)

func object(kind describer.Kind, name, selector string, labels labeler.Labels) describer.Object {
	return describer.Object{Kind: kind, Name: name, Selector: selector, Labels: labels}
}

// setting returns a change that sets objects.
func setting(objects ...describer.Object) describer.Change {
	change := describer.Change{ID: "id"}
	for _, edited := range objects {
		change.Edits = append(change.Edits, describer.Edit{Object: edited})
	}
	return change
}

// deleting returns a change that deletes one object.
func deleting(kind describer.Kind, name string) describer.Change {
	return describer.Change{ID: "id", Edits: []describer.Edit{{Object: object(kind, name, "", nil), Delete: true}}}
}

// inForce returns a small configuration that causes no findings.
func inForce() describer.Snapshot {
	return describer.Apply(describer.Snapshot{}, setting(
		object(describer.Workspace, "club", "zone=trento-a", labeler.Labels{"tier": "club", "token": digest}),
		object(describer.Workspace, "house", "", labeler.Labels{"tier": "house"}),
		object(describer.Service, "modelli", "tier in (club, house)", labeler.Labels{"type": "model", "model.draft": "yes"}),
		object(describer.Service, "bookings", "tier=club", labeler.Labels{"type": "plain", "repeat": "never"}),
		object(describer.Endpoint, "worker-1", "", labeler.Labels{"rack": "r1"}),
	))
}

// Guards against invalid changes that are accepted, and against findings without a
// remedy.
func TestValidate(t *testing.T) {
	t.Parallel()
	workspace := func(labels labeler.Labels) describer.Change {
		labels["tier"] = "club"
		return setting(object(describer.Workspace, "club", "", labels))
	}
	service := func(labels labeler.Labels) describer.Change {
		return setting(object(describer.Service, "extra", "tier=club", labels))
	}
	const (
		err  = describer.Error
		warn = describer.Warning
	)
	tests := map[string]struct {
		change   describer.Change
		severity describer.Severity // of the first finding; empty if no finding is expected
		message  string
	}{
		"a good change":                      {change: workspace(labeler.Labels{"weight": "2.5", "queue": "10", "token": digest})},
		"no id":                              {describer.Change{Edits: workspace(labeler.Labels{}).Edits}, err, "no id"},
		"a long id":                          {describer.Change{ID: strings.Repeat("x", 129), Edits: workspace(labeler.Labels{}).Edits}, err, "too long"},
		"no edits":                           {describer.Change{ID: "id"}, err, "no edits"},
		"an object twice":                    {setting(object(describer.Endpoint, "e", "", nil), object(describer.Endpoint, "e", "", nil)), err, "twice"},
		"an unknown kind":                    {setting(object("router", "r", "", nil)), err, "no kind"},
		"a malformed name":                   {setting(object(describer.Workspace, "a b", "", nil)), err, "malformed"},
		"no name":                            {setting(object(describer.Workspace, "", "", nil)), err, "malformed"},
		"a malformed label":                  {workspace(labeler.Labels{"a b": "c"}), err, "malformed"},
		"a malformed label value":            {workspace(labeler.Labels{"a": "c d"}), err, "malformed"},
		"a malformed selector":               {setting(object(describer.Workspace, "club", "a in", nil)), err, "malformed"},
		"a long selector":                    {setting(object(describer.Workspace, "club", strings.Repeat("a", 4097), nil)), err, "bytes"},
		"a weight that is no number":         {workspace(labeler.Labels{"weight": "much"}), err, "weight"},
		"a weight of zero":                   {workspace(labeler.Labels{"weight": "0"}), err, "weight"},
		"an infinite weight":                 {workspace(labeler.Labels{"weight": "Inf"}), err, "weight"},
		"a weight that is NaN":               {workspace(labeler.Labels{"weight": "NaN"}), err, "weight"},
		"a queue of zero":                    {workspace(labeler.Labels{"queue": "0"}), err, "queue"},
		"a queue without bound":              {workspace(labeler.Labels{"queue": "1000000000"}), err, "queue"},
		"a token in the clear":               {workspace(labeler.Labels{"token": "secret"}), err, "digest"},
		"another's token":                    {setting(object(describer.Workspace, "house", "", labeler.Labels{"tier": "house", "token": digest})), err, "workspace club has the same token"},
		"another's token as the next":        {setting(object(describer.Workspace, "house", "", labeler.Labels{"tier": "house", "token-next": digest})), err, "same token"},
		"a token of its own":                 {change: setting(object(describer.Workspace, "house", "", labeler.Labels{"tier": "house", "token": otherDigest}))},
		"a service without type":             {service(labeler.Labels{}), err, "type"},
		"a service of unknown type":          {service(labeler.Labels{"type": "magic"}), err, "type"},
		"an unknown repeat":                  {service(labeler.Labels{"type": "plain", "repeat": "often"}), err, "repeat"},
		"repeat on a model service":          {service(labeler.Labels{"type": "model", "model.x": "yes", "repeat": "safe"}), warn, "no effect"},
		"a model service without model":      {service(labeler.Labels{"type": "model"}), warn, "no model"},
		"a model on a plain service":         {service(labeler.Labels{"type": "plain", "model.x": "yes"}), warn, "plain service"},
		"a model of two services":            {service(labeler.Labels{"type": "model", "model.draft": "yes"}), err, "service modelli offers the model draft too"},
		"a service that admits no one":       {setting(object(describer.Service, "extra", "tier=nobody", labeler.Labels{"type": "plain"})), warn, "admits no workspace"},
		"a service that asks for a typo":     {setting(object(describer.Service, "extra", "teir=club", labeler.Labels{"type": "plain"})), warn, "teir"},
		"a workspace that asks for a typo":   {setting(object(describer.Workspace, "club", "zoone=a", labeler.Labels{"tier": "club"})), warn, "zoone"},
		"a workspace that no service admits": {setting(object(describer.Workspace, "new", "", labeler.Labels{"tier": "none"})), warn, "no service admits"},
		"a service that strands a workspace": {setting(object(describer.Service, "modelli", "tier=club", labeler.Labels{"type": "model", "model.draft": "yes"})), warn, "no service admits"},
		"the deletion of a service":          {deleting(describer.Service, "bookings"), warn, "deleted"},
		"the deletion of a workspace":        {deleting(describer.Workspace, "club"), warn, "deleted"},
		"the deletion of an endpoint":        {change: deleting(describer.Endpoint, "worker-1")},
		"the deletion of nothing":            {deleting(describer.Endpoint, "worker-9"), err, "no such object"},
		"an endpoint that claims a zone":     {setting(object(describer.Endpoint, "e", "", labeler.Labels{"zone": "b"})), err, "set by the system"},
		"a rate of loads of zero":            {service(labeler.Labels{"type": "model", "model.x": "yes", "loads-per-minute": "0"}), err, "no rate"},
		"an infinite rate of loads":          {service(labeler.Labels{"type": "model", "model.x": "yes", "loads-per-minute": "Inf"}), err, "no rate"},
		"a rate of loads":                    {change: service(labeler.Labels{"type": "model", "model.x": "yes", "loads-per-minute": "0.5", "copies.x": "2"})},
		"no copies":                          {service(labeler.Labels{"type": "model", "model.x": "yes", "copies.x": "0"}), err, "copies"},
		"copies of what is not offered":      {service(labeler.Labels{"type": "model", "model.x": "yes", "copies.y": "2"}), warn, "does not offer"},
		"a room that is no number":           {setting(object(describer.Endpoint, "e", "", labeler.Labels{"room": "big"})), err, "no number of models"},
		"a drain of no":                      {setting(object(describer.Endpoint, "e", "", labeler.Labels{"drain": "no"})), err, "no meaning"},
		"a drain":                            {change: setting(object(describer.Endpoint, "e", "tier=club", labeler.Labels{"drain": "yes"}))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			findings := describer.Validate(inForce(), test.change)
			if test.severity == "" {
				require.Empty(t, findings)
				return
			}
			require.NotEmpty(t, findings)
			require.Equal(t, test.severity, findings[0].Severity, findings)
			require.Contains(t, findings[0].Message, test.message)
			require.NotEmpty(t, findings[0].Remedy)
			require.Equal(t, test.severity == err, describer.Failed(findings))
		})
	}
}

// Guards against a change whose findings fill the keepers' memory.
func TestFindingsAreBounded(t *testing.T) {
	t.Parallel()
	var objects []describer.Object
	for i := range describer.MaxEdits {
		objects = append(objects, object(describer.Workspace, fmt.Sprint("w", i), "a in", nil))
	}
	findings := describer.Validate(inForce(), setting(objects...))
	require.Len(t, findings, describer.MaxFindings)
	require.Contains(t, findings[describer.MaxFindings-1].Message, "901 more")
	require.True(t, describer.Failed(describer.Validate(inForce(), setting(append(objects, objects...)...))))
}

// Guards against a validation that modifies the snapshot in force.
func TestValidateChangesNothing(t *testing.T) {
	t.Parallel()
	before, after := inForce(), inForce()
	describer.Validate(before, deleting(describer.Service, "bookings"))
	require.Equal(t, after, before)
}
