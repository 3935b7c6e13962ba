// Package matcher answers, for one revision of the configuration, which work
// may go where.
//
// Rules are compiled once from a snapshot and then only read, by any number of
// goroutines. An object that does not compile (which validation prevents)
// matches nothing, because sending work where an operator did not allow it is
// worse than refusing it.
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

// TokenDigestLength is how many hex characters of a token's SHA-256 are kept:
// the longest value that a label can hold.
const TokenDigestLength = 63

// Workspace is a compiled workspace.
type Workspace struct {
	Name   string
	Labels labeler.Labels
	Weight float64
	// Queue is the most requests that may wait at one router.
	Queue    int
	selector labeler.Selector
}

// Service is a compiled service.
type Service struct {
	Name     string
	Type     string
	Repeat   string
	Models   []string
	Labels   labeler.Labels
	selector labeler.Selector
}

// Rules is one revision of the configuration, compiled.
type Rules struct {
	Revision   uint64
	workspaces map[string]*Workspace
	tokens     map[string]*Workspace
	services   map[string]*Service
	models     map[string]*Service
	endpoints  map[string]endpoint
	announcers map[string]string // token digest to the service that its holder may announce for
}

type endpoint struct {
	labels   labeler.Labels
	selector labeler.Selector
}

// Digest returns the form of a bearer token that is kept in a workspace's labels.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])[:TokenDigestLength]
}

// Compile builds the rules of a snapshot.
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

// tokens lists the digests of the tokens that are valid now: two while one is
// being rotated.
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

// ByToken returns the workspace that a bearer token belongs to. The lookup is
// by digest, so its timing tells nothing about the token itself.
func (r *Rules) ByToken(token string) (*Workspace, bool) {
	workspace, found := r.tokens[Digest(token)]
	return workspace, found
}

// Operator tells whether a bearer token opens the operators' paths: it is that
// of a workspace with the operator label.
func (r *Rules) Operator(token string) bool {
	workspace, found := r.ByToken(token)
	return found && workspace.Labels[describer.LabelOperator] == describer.Yes
}

// Announcer returns the service whose endpoints may announce themselves with a
// bearer token.
func (r *Rules) Announcer(token string) (service string, found bool) {
	service, found = r.announcers[Digest(token)]
	return service, found
}

// Workspace returns the workspace of that name.
func (r *Rules) Workspace(name string) (*Workspace, bool) {
	workspace, found := r.workspaces[name]
	return workspace, found
}

// Service returns the service of that name.
func (r *Rules) Service(name string) (*Service, bool) {
	service, found := r.services[name]
	return service, found
}

// Services lists all services by name.
func (r *Rules) Services() []*Service {
	list := make([]*Service, 0, len(r.services))
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		list = append(list, r.services[name])
	}
	return list
}

// ByModel returns the service that offers a model.
func (r *Rules) ByModel(model string) (*Service, bool) {
	service, found := r.models[model]
	return service, found
}

// Weight returns a workspace's weight, 1 for one that is not known (yet).
func (r *Rules) Weight(workspace string) float64 {
	if known, found := r.workspaces[workspace]; found {
		return known.Weight
	}
	return 1
}

// Models lists every model whose service the workspace may use.
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

// Admits tells whether the service's selector lets the workspace use it.
func (s *Service) Admits(workspace *Workspace) bool {
	return s.selector.Matches(workspace.Labels)
}

// Effective lays an endpoint object's labels over the announced ones.
func (r *Rules) Effective(id string, announced labeler.Labels) labeler.Labels {
	laid, found := r.endpoints[id]
	if !found {
		return announced
	}
	effective := maps.Clone(announced)
	if effective == nil {
		effective = make(labeler.Labels)
	}
	maps.Copy(effective, laid.labels)
	return effective
}

// Draining tells whether an operator has told the endpoint to take no new work.
func (r *Rules) Draining(id string, announced labeler.Labels) bool {
	return r.Effective(id, announced)[describer.LabelDrain] == describer.Yes
}

// Allowed tells whether a workspace's work may go to an endpoint with these
// announced labels, which include zone, service and endpoint id.
func (r *Rules) Allowed(workspace, id string, announced labeler.Labels) bool {
	known, found := r.workspaces[workspace]
	if !found {
		return false
	}
	if !known.selector.Matches(r.Effective(id, announced)) {
		return false
	}
	laid, found := r.endpoints[id]
	return !found || laid.selector.Matches(known.Labels)
}
