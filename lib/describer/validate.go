package describer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"shallotkeel.example/lib/labeler"
)

// Severity is the severity of a finding.
type Severity string

// The severities. A change with an error is refused; warnings do not stop it.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is an error or a warning about a change: the object, if it concerns one,
// the problem, and the remedy.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind,omitempty"`
	Name     string   `json:"name,omitempty"`
	Message  string   `json:"message"`
	Remedy   string   `json:"remedy,omitempty"`
}

// Bounds on changes and objects. Together they bound the memory that the
// configuration takes at every keeper and router.
const (
	MaxEdits    = 1000
	MaxObjects  = 10000
	MaxLabels   = 64   // of one object
	MaxSelector = 4096 // bytes
	MaxID       = 128  // bytes, of a change's id and of its author
	MaxQueue    = 100000
	MaxFindings = 100
)

// tokenLength is the length in characters of the values of LabelToken and
// LabelTokenNext.
const tokenLength = 63

// Failed reports whether any finding is an error.
func Failed(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Validate checks a change against the objects of a snapshot and returns the
// findings, errors first. It ignores versions: a conflict is not an error in the
// change itself.
func Validate(snapshot Snapshot, change Change) []Finding {
	v := &validator{before: snapshot, after: snapshot.Clone()}
	v.checkChange(change)
	seen := make(map[Key]bool)
	for _, edit := range change.Edits {
		v.checkEdit(edit, seen)
	}
	if !Failed(v.findings) {
		v.checkResult(change)
	}
	return v.sorted()
}

// Apply returns a copy of the snapshot with the edits of the change applied. It
// neither checks nor sets versions.
func Apply(snapshot Snapshot, change Change) Snapshot {
	after := snapshot.Clone()
	if after.Objects == nil {
		after.Objects = make(map[Key]Object)
	}
	for _, edit := range change.Edits {
		if edit.Delete {
			delete(after.Objects, edit.Object.Key())
			continue
		}
		after.Objects[edit.Object.Key()] = edit.Object
	}
	return after
}

// validator collects the findings about one change.
type validator struct {
	before   Snapshot
	after    Snapshot
	findings []Finding
	// kinds and labels hold the objects and the label keys of after, by kind. They
	// are gathered once, because a change may have many edits.
	kinds  map[Kind][]Object
	labels map[Kind]map[string]bool
}

func (v *validator) add(severity Severity, key Key, remedy, format string, values ...any) {
	v.findings = append(v.findings, Finding{
		Severity: severity, Kind: key.Kind, Name: key.Name,
		Message: fmt.Sprintf(format, values...), Remedy: remedy,
	})
}

// sorted returns the findings with errors first, at most MaxFindings of them. The
// keepers remember the findings of accepted changes, and one change must not fill
// their memory.
func (v *validator) sorted() []Finding {
	slices.SortStableFunc(v.findings, func(a, b Finding) int {
		return cmp.Compare(a.Severity, b.Severity)
	})
	if len(v.findings) <= MaxFindings {
		return v.findings
	}
	severity := v.findings[MaxFindings-1].Severity
	more := len(v.findings) - MaxFindings + 1
	return append(v.findings[:MaxFindings-1:MaxFindings-1], Finding{
		Severity: severity, Message: fmt.Sprintf("%d more findings are not shown", more),
		Remedy: "mend these first, or split the change",
	})
}

// checkChange checks the id, the author and the number of edits.
func (v *validator) checkChange(change Change) {
	var none Key
	if change.ID == "" {
		v.add(Error, none, "give every change an id of its own, such as a UUID", "the change has no id")
	}
	if len(change.ID) > MaxID || len(change.Author) > MaxID {
		v.add(Error, none, fmt.Sprintf("use at most %d bytes", MaxID), "the change's id or author is too long")
	}
	if len(change.Edits) == 0 {
		v.add(Error, none, "name at least one object to set or delete", "the change has no edits")
	}
	if len(change.Edits) > MaxEdits {
		v.add(Error, none, "split it into several changes", "the change has %d edits; %d are the most", len(change.Edits), MaxEdits)
	}
}

// checkEdit checks one edit by itself. seen holds the keys of the earlier edits.
func (v *validator) checkEdit(edit Edit, seen map[Key]bool) {
	key := edit.Object.Key()
	if seen[key] {
		v.add(Error, key, "keep one edit for each object", "the change edits this object twice")
		return
	}
	seen[key] = true
	if !slices.Contains([]Kind{Workspace, Service, Endpoint}, key.Kind) {
		v.add(Error, key, "use workspace, service or endpoint", "there is no kind %q", key.Kind)
		return
	}
	if key.Name == "" || labeler.Check("name", key.Name) != nil {
		v.add(Error, key, "use at most 63 letters, digits, dashes, dots and underscores, the first and last a letter or digit",
			"the name %q is malformed", key.Name)
		return
	}
	if edit.Delete {
		v.checkDelete(key)
		return
	}
	v.checkObject(edit.Object)
}

// checkDelete checks the deletion of an object, and warns of its effect on requests.
func (v *validator) checkDelete(key Key) {
	if _, found := v.before.Objects[key]; !found {
		v.add(Error, key, "leave the edit out", "there is no such object to delete")
		return
	}
	switch key.Kind {
	case Workspace:
		v.add(Warning, key, "its callers are refused from now on; send none of them there", "the workspace is deleted with its tokens")
	case Service:
		v.add(Warning, key, "drain its endpoints first if requests for it are still waiting", "the service is deleted and its waiting requests are refused")
	}
}

// checkObject checks the labels and the selector of an object that is set.
func (v *validator) checkObject(object Object) {
	key := object.Key()
	if len(object.Labels) > MaxLabels {
		v.add(Error, key, "remove some", "the object has %d labels; %d are the most", len(object.Labels), MaxLabels)
	}
	for _, label := range sortedKeys(object.Labels) {
		if err := labeler.Check(label, object.Labels[label]); err != nil {
			v.add(Error, key, "use letters, digits, dashes, dots and underscores, at most 63, in key and value", "%v", err)
		}
	}
	if len(object.Selector) > MaxSelector {
		v.add(Error, key, "shorten it with labels that stand for the long list", "the selector has %d bytes; %d are the most", len(object.Selector), MaxSelector)
		return
	}
	if _, err := labeler.Parse(object.Selector); err != nil {
		v.add(Error, key, "write conditions such as \"tier=club,zone in (a, b),!drain\"", "%v", err)
	}
	switch object.Kind {
	case Workspace:
		v.checkWorkspace(object)
	case Service:
		v.checkService(object)
	case Endpoint:
		v.checkEndpoint(object)
	}
}

func (v *validator) checkWorkspace(object Object) {
	if text, found := object.Labels[LabelWeight]; found {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || !(weight > 0) || math.IsInf(weight, 0) {
			v.add(Error, object.Key(), "set a positive number such as 2 or 0.5, or remove the label", "the weight %q is no share", text)
		}
	}
	if text, found := object.Labels[LabelQueue]; found {
		queue, err := strconv.Atoi(text)
		if err != nil || queue < 1 || queue > MaxQueue {
			v.add(Error, object.Key(), fmt.Sprintf("set a whole number from 1 to %d, or remove the label", MaxQueue), "the queue %q is no bound", text)
		}
	}
	for _, label := range []string{LabelToken, LabelTokenNext} {
		if digest, found := object.Labels[label]; found && !isDigest(digest) {
			v.add(Error, object.Key(), "set the token's SHA-256 in lower-case hex, cut to 63 characters", "the label %s holds no token digest", label)
		}
	}
}

// isDigest reports whether a text has the form of a token digest.
func isDigest(text string) bool {
	return len(text) == tokenLength && strings.Trim(text, "0123456789abcdef") == ""
}

func (v *validator) checkService(object Object) {
	key := object.Key()
	models := modelsOf(object)
	switch object.Labels[LabelType] {
	case TypeModel:
		if len(models) == 0 {
			v.add(Warning, key, "add a label such as \"model.draft-7b\": \"yes\"", "the model service offers no model")
		}
		if _, found := object.Labels[LabelRepeat]; found {
			v.add(Warning, key, "remove the label, or mark the requests themselves", "the label repeat has no effect on a model service")
		}
	case TypePlain:
		if len(models) > 0 {
			v.add(Warning, key, "remove the label, or set type to model", "a plain service offers no model, yet it has the label %s", PrefixModel+models[0])
		}
	default:
		v.add(Error, key, "set the label type to model or plain", "the type %q is unknown", object.Labels[LabelType])
	}
	v.checkOrders(object)
	repeat, found := object.Labels[LabelRepeat]
	if found && !slices.Contains([]string{RepeatSafe, RepeatNever, RepeatMethod}, repeat) {
		v.add(Error, key, "set the label repeat to safe, never or method, or remove it", "the repeat %q is unknown", repeat)
	}
}

// checkOrders checks the labels of a service that govern model loads: their rate and
// the number of copies.
func (v *validator) checkOrders(object Object) {
	key := object.Key()
	if text, found := object.Labels[LabelLoads]; found {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0) || math.IsInf(rate, 0) {
			v.add(Error, key, "set a positive number such as 6 or 0.5, or remove the label", "the label %s holds no rate: %q", LabelLoads, text)
		}
	}
	for _, label := range sortedKeys(object.Labels) {
		model, found := strings.CutPrefix(label, PrefixCopies)
		if !found {
			continue
		}
		if copies, err := strconv.Atoi(object.Labels[label]); err != nil || copies < 1 || copies > MaxCopies {
			v.add(Error, key, fmt.Sprintf("set a whole number from 1 to %d, or remove the label", MaxCopies),
				"the label %s holds no number of copies: %q", label, object.Labels[label])
		}
		if _, offered := object.Labels[PrefixModel+model]; !offered {
			v.add(Warning, key, "add the label "+PrefixModel+model+", or remove this one", "the label %s is for a model that the service does not offer", label)
		}
	}
}

func (v *validator) checkEndpoint(object Object) {
	if text, found := object.Labels[LabelRoom]; found {
		if room, err := strconv.Atoi(text); err != nil || room < 0 || room > MaxRoom {
			v.add(Error, object.Key(), fmt.Sprintf("set a whole number from 0 to %d, or remove the label", MaxRoom), "the room %q is no number of models", text)
		}
	}
	for _, label := range []string{LabelZone, LabelService, LabelEndpoint} {
		if _, found := object.Labels[label]; found {
			v.add(Error, object.Key(), "remove the label; use one of your own", "the label %s is set by the system", label)
		}
	}
	if drain, found := object.Labels[LabelDrain]; found && drain != Yes {
		v.add(Error, object.Key(), "set it to yes to drain the endpoint, or remove it", "the drain %q has no meaning", drain)
	}
}

// checkResult checks the configuration that results from the change.
func (v *validator) checkResult(change Change) {
	v.after = Apply(v.before, change)
	v.gather()
	if len(v.after.Objects) > MaxObjects {
		v.add(Error, Key{}, "delete some first", "there would be %d objects; %d are the most", len(v.after.Objects), MaxObjects)
	}
	for _, edit := range change.Edits {
		if edit.Delete {
			continue
		}
		v.checkTokens(edit.Object)
		v.checkModels(edit.Object)
		v.checkSelectorLabels(edit.Object)
	}
	v.checkAdmission(change)
}

// checkTokens checks that no two workspaces share a token.
func (v *validator) checkTokens(object Object) {
	if object.Kind != Workspace {
		return
	}
	for _, label := range []string{LabelToken, LabelTokenNext} {
		digest := object.Labels[label]
		if digest == "" {
			continue
		}
		for _, other := range v.kind(Workspace) {
			if other.Name != object.Name && (other.Labels[LabelToken] == digest || other.Labels[LabelTokenNext] == digest) {
				v.add(Error, object.Key(), "give each workspace a token of its own", "workspace %s has the same token", other.Name)
			}
		}
	}
}

// checkModels checks that no two services offer the same model.
func (v *validator) checkModels(object Object) {
	if object.Kind != Service {
		return
	}
	for _, model := range modelsOf(object) {
		for _, other := range v.kind(Service) {
			if _, found := other.Labels[PrefixModel+model]; found && other.Name != object.Name {
				v.add(Error, object.Key(), "offer each model by one service", "service %s offers the model %s too", other.Name, model)
			}
		}
	}
}

// checkSelectorLabels warns of a selector that refers to a label which no object has.
// Usually the label is misspelt, and the selector then selects nothing.
func (v *validator) checkSelectorLabels(object Object) {
	selector, err := labeler.Parse(object.Selector)
	if err != nil {
		return
	}
	selected, remedy := Workspace, "correct the key, or add the label to a workspace"
	if object.Kind == Workspace {
		selected, remedy = Endpoint, "correct the key, unless endpoints announce that label themselves"
	}
	for _, label := range selector.Keys() {
		if !v.labels[selected][label] {
			v.add(Warning, object.Key(), remedy, "the selector mentions the label %s, which no %s has", label, selected)
		}
	}
}

// checkAdmission warns of workspaces that no service admits after the change, if the
// change edits them or they were admitted before, and of edited services that admit
// no workspace.
func (v *validator) checkAdmission(change Change) {
	edited := make(map[Key]bool)
	for _, edit := range change.Edits {
		edited[edit.Object.Key()] = true
	}
	services := selectorsOf(v.kind(Service))
	servicesBefore := selectorsOf(kindOf(v.before, Service))
	admits := make(map[Key]bool)
	for _, workspace := range v.kind(Workspace) {
		admitted := false
		for key, selector := range services {
			if selector.Matches(workspace.Labels) {
				admitted = true
				admits[key] = true
			}
		}
		affected := edited[workspace.Key()] || v.wasAdmitted(workspace.Key(), servicesBefore)
		if admitted || !affected {
			continue
		}
		v.add(Warning, workspace.Key(), "add a label that a service's selector asks for, or widen a service's selector",
			"no service admits this workspace, so all of its requests are refused")
	}
	for key := range services {
		if edited[key] && !admits[key] {
			v.add(Warning, key, "correct the selector, or label the workspaces that may use it", "the selector admits no workspace")
		}
	}
}

// wasAdmitted reports whether one of the services admitted a workspace before the
// change.
func (v *validator) wasAdmitted(key Key, services map[Key]labeler.Selector) bool {
	before, found := v.before.Objects[key]
	if !found {
		return false
	}
	for _, selector := range services {
		if selector.Matches(before.Labels) {
			return true
		}
	}
	return false
}

// gather collects the objects and their label keys after the change. For endpoints
// it includes the labels that the system adds and LabelDrain.
func (v *validator) gather() {
	v.kinds = make(map[Kind][]Object)
	v.labels = make(map[Kind]map[string]bool)
	for _, kind := range []Kind{Workspace, Service, Endpoint} {
		v.kinds[kind] = kindOf(v.after, kind)
		v.labels[kind] = make(map[string]bool)
		for _, object := range v.kinds[kind] {
			for label := range object.Labels {
				v.labels[kind][label] = true
			}
		}
	}
	for _, label := range []string{LabelZone, LabelService, LabelEndpoint, LabelDrain} {
		v.labels[Endpoint][label] = true
	}
}

// kind lists the objects of a kind after the change, sorted by name.
func (v *validator) kind(kind Kind) []Object {
	return v.kinds[kind]
}

// kindOf lists the objects of a kind in a snapshot, sorted by name.
func kindOf(snapshot Snapshot, kind Kind) []Object {
	var objects []Object
	for key, object := range snapshot.Objects {
		if key.Kind == kind {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// selectorsOf parses the selectors of objects and leaves out malformed ones.
func selectorsOf(objects []Object) map[Key]labeler.Selector {
	selectors := make(map[Key]labeler.Selector, len(objects))
	for _, object := range objects {
		if selector, err := labeler.Parse(object.Selector); err == nil {
			selectors[object.Key()] = selector
		}
	}
	return selectors
}

// modelsOf lists the models of a service, sorted.
func modelsOf(object Object) []string {
	var models []string
	for _, label := range sortedKeys(object.Labels) {
		if model, found := strings.CutPrefix(label, PrefixModel); found {
			models = append(models, model)
		}
	}
	return models
}

func sortedKeys(labels labeler.Labels) []string {
	keys := make([]string, 0, len(labels))
	for key := range labels {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
