// Package matcher decides, for one revision of the configuration, which
// workspaces may use which services and endpoints.
//
// Rules are compiled once from a configuration snapshot and are read-only
// afterwards, so any number of goroutines may share them. An object whose
// selector does not parse (validation prevents this) matches nothing, because
// sending work to an endpoint that the operator did not allow is worse than
// refusing the work.
package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
)

// TokenDigestLength is the number of hex characters to which a token's SHA-256
// digest is truncated: the maximum length of a label value.
const TokenDigestLength = 63

// Workspace is a compiled workspace object.
type Workspace struct {
	Name   string
	Labels labeler.Labels
	Weight float64
	// Queue is the maximum number of requests that may wait at one router.
	Queue    int
	selector labeler.Selector
}

// Service is a compiled service object.
type Service struct {
	Name     string
	Type     string
	Repeat   string
	Models   []string
	Labels   labeler.Labels
	selector labeler.Selector
}

// Rules is one compiled revision of the configuration. Maps are keyed by object
// name unless noted otherwise.
type Rules struct {
	Revision   uint64
	workspaces map[string]*Workspace
	tokens     map[string]*Workspace // by token digest
	services   map[string]*Service
	models     map[string]*Service // by model name
	endpoints  map[string]endpoint // endpoint objects, by endpoint id
	announcers map[string]string   // service whose endpoints announce themselves with the token, by token digest
}

type endpoint struct {
	labels   labeler.Labels
	selector labeler.Selector
}

// Digest returns the truncated SHA-256 digest of a bearer token, in hex, as
// stored in the labels of workspaces and services.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])[:TokenDigestLength]
}

// Compile builds the rules from a configuration snapshot.
func Compile(snapshot describer.Snapshot) *Rules {
	rules := &Rules{
		Revision:   snapshot.Revision,
		workspaces: make(map[string]*Workspace),
		tokens:     make(map[string]*Workspace),
		services:   make(map[string]*Service),
		models:     make(map[string]*Service),
		endpoints:  make(map[string]endpoint),
		announcers: make(map[string]string),
	}
	for _, object := range snapshot.Objects {
		rules.add(object)
	}
	return rules
}

func (r *Rules) add(object describer.Object) {
	selector, err := labeler.Parse(object.Selector)
	if err != nil {
		return
	}
	switch object.Kind {
	case describer.Workspace:
		r.addWorkspace(object, selector)
	case describer.Service:
		r.addService(object, selector)
	case describer.Endpoint:
		r.endpoints[object.Name] = endpoint{labels: object.Labels, selector: selector}
	}
}

func (r *Rules) addWorkspace(object describer.Object, selector labeler.Selector) {
	workspace := &Workspace{
		Name: object.Name, Labels: object.Labels, selector: selector,
		Weight: 1, Queue: describer.DefaultQueue,
	}
	if weight, err := strconv.ParseFloat(object.Labels[describer.LabelWeight], 64); err == nil && weight > 0 {
		workspace.Weight = weight
	}
	if queue, err := strconv.Atoi(object.Labels[describer.LabelQueue]); err == nil && queue > 0 {
		workspace.Queue = queue
	}
	r.workspaces[object.Name] = workspace
	for _, digest := range tokens(object) {
		r.tokens[digest] = workspace
	}
}

// tokens returns the digests of an object's valid tokens. There are two during
// a token rotation.
func tokens(object describer.Object) []string {
	var digests []string
	for _, label := range []string{describer.LabelToken, describer.LabelTokenNext} {
		if digest := object.Labels[label]; digest != "" {
			digests = append(digests, digest)
		}
	}
	return digests
}

func (r *Rules) addService(object describer.Object, selector labeler.Selector) {
	service := &Service{
		Name: object.Name, Labels: object.Labels, selector: selector,
		Type: object.Labels[describer.LabelType], Repeat: object.Labels[describer.LabelRepeat],
	}
	for _, key := range slices.Sorted(maps.Keys(object.Labels)) {
		if model, found := strings.CutPrefix(key, describer.PrefixModel); found {
			service.Models = append(service.Models, model)
			r.models[model] = service
		}
	}
	for _, digest := range tokens(object) {
		r.announcers[digest] = object.Name
	}
	r.services[object.Name] = service
}

// ByToken returns the workspace that a bearer token belongs to. The lookup uses
// the token's digest, so its timing reveals nothing about the token itself.
func (r *Rules) ByToken(token string) (*Workspace, bool) {
	workspace, found := r.tokens[Digest(token)]
	return workspace, found
}

// Operator reports whether a bearer token grants access to the operators' API,
// i.e. whether it belongs to a workspace with the operator label.
func (r *Rules) Operator(token string) bool {
	workspace, found := r.ByToken(token)
	return found && workspace.Labels[describer.LabelOperator] == describer.Yes
}

// Announcer returns the service whose endpoints may announce themselves with
// the bearer token.
func (r *Rules) Announcer(token string) (service string, found bool) {
	service, found = r.announcers[Digest(token)]
	return service, found
}

// Workspace returns the workspace with the given name.
func (r *Rules) Workspace(name string) (*Workspace, bool) {
	workspace, found := r.workspaces[name]
	return workspace, found
}

// Service returns the service with the given name.
func (r *Rules) Service(name string) (*Service, bool) {
	service, found := r.services[name]
	return service, found
}

// Services returns all services, sorted by name.
func (r *Rules) Services() []*Service {
	list := make([]*Service, 0, len(r.services))
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		list = append(list, r.services[name])
	}
	return list
}

// ByModel returns the service that offers the model.
func (r *Rules) ByModel(model string) (*Service, bool) {
	service, found := r.models[model]
	return service, found
}

// Weight returns a workspace's weight, or 1 if this revision has no such
// workspace (yet).
func (r *Rules) Weight(workspace string) float64 {
	if known, found := r.workspaces[workspace]; found {
		return known.Weight
	}
	return 1
}

// Models returns the models of all services that the workspace may use, sorted.
func (r *Rules) Models(workspace *Workspace) []string {
	var models []string
	for model, service := range r.models {
		if service.Admits(workspace) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// Admits reports whether the service's selector allows the workspace to use it.
func (s *Service) Admits(workspace *Workspace) bool {
	return s.selector.Matches(workspace.Labels)
}

// Effective returns the announced labels of an endpoint, overridden by the
// labels of its endpoint object, if there is one.
func (r *Rules) Effective(id string, announced labeler.Labels) labeler.Labels {
	override, found := r.endpoints[id]
	if !found {
		return announced
	}
	effective := maps.Clone(announced)
	if effective == nil {
		effective = make(labeler.Labels)
	}
	maps.Copy(effective, override.labels)
	return effective
}

// Draining reports whether an operator has set the drain label, which stops new
// work to the endpoint.
func (r *Rules) Draining(id string, announced labeler.Labels) bool {
	return r.Effective(id, announced)[describer.LabelDrain] == describer.Yes
}

// Allowed reports whether requests of a workspace may be sent to an endpoint
// with these announced labels, which include its zone, service and id. The
// selectors of the workspace and of the endpoint object must both match.
func (r *Rules) Allowed(workspace, id string, announced labeler.Labels) bool {
	known, found := r.workspaces[workspace]
	if !found {
		return false
	}
	if !known.selector.Matches(r.Effective(id, announced)) {
		return false
	}
	override, found := r.endpoints[id]
	return !found || override.selector.Matches(known.Labels)
}
