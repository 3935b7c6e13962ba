// Package describer holds the objects that operators describe, workspaces,
// services and endpoints, and the changes to them.
//
// An object is a kind, a name, labels and one selector; there is nothing else
// to configure. What the selector selects depends on the kind:
//
//   - workspace: the endpoints that its work may go to;
//   - service: the workspaces that may use it;
//   - endpoint: the workspaces whose work it takes. An endpoint object's labels
//     are laid over the labels that the endpoint announces.
//
// Invariants: a Snapshot is never changed in place once it has been handed
// out, an object's version rises by one with every accepted edit, and a
// snapshot's revision rises by one with every accepted change.
package describer

import (
	"maps"

	"shallotkeel.example/lib/labeler"
)

// Kind says what an object describes.
type Kind string

// The kinds of object.
const (
	Workspace Kind = "workspace"
	Service   Kind = "service"
	Endpoint  Kind = "endpoint"
)

// Labels with a meaning to the system. Every other label is the operators' own.
const (
	// LabelWeight is a workspace's share relative to others, a positive number; 1 if absent.
	LabelWeight = "weight"
	// LabelQueue bounds a workspace's waiting requests at one router; DefaultQueue if absent.
	LabelQueue = "queue"
	// LabelToken is the hex SHA-256 of a workspace's bearer token, cut to 63 characters.
	// On a service it is that of the token with which the service's endpoints may announce themselves.
	LabelToken = "token"
	// LabelOperator on a workspace, with value "yes", lets its token open the operators' paths too.
	LabelOperator = "operator"
	// LabelTokenNext is a second valid token while the first is being rotated.
	LabelTokenNext = "token-next"
	// LabelType is a service's type: TypeModel or TypePlain.
	LabelType = "type"
	// LabelRepeat on a plain service says whether its calls may be repeated: RepeatSafe, RepeatNever or RepeatMethod.
	LabelRepeat = "repeat"
	// LabelDrain on an endpoint object, with value "yes", stops new work to that endpoint.
	LabelDrain = "drain"
	// LabelLoads on a service bounds how many loads of models it begins per minute, which
	// the weight store's rate gives; a positive number, DefaultLoads if absent.
	LabelLoads = "loads-per-minute"
	// LabelRoom of an endpoint is how many models fit into it. Only an endpoint that
	// announces it, or has it from its object, gets orders.
	LabelRoom = "room"
	// PrefixCopies starts the labels that say in how many copies a model is wanted in
	// each availability zone: "copies.draft-7b": "2"; 1 if absent.
	PrefixCopies = "copies."
	// PrefixModel starts the labels that name a service's models: "model.draft-7b": "yes".
	PrefixModel = "model."
)

// Values of the labels above.
const (
	TypeModel    = "model"
	TypePlain    = "plain"
	RepeatSafe   = "safe"
	RepeatNever  = "never"
	RepeatMethod = "method" // safe for GET, HEAD, OPTIONS, PUT and DELETE; the default
	Yes          = "yes"
	DefaultQueue = 256
	DefaultLoads = 6
	// MaxCopies and MaxRoom bound what labels may ask for.
	MaxCopies = 1000
	MaxRoom   = 256
)

// Labels that the system itself adds to an endpoint's announced labels, so
// that selectors can mention them.
const (
	LabelZone     = "zone"
	LabelService  = "service"
	LabelEndpoint = "endpoint"
)

// Key names an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Object is one thing that operators describe.
type Object struct {
	Kind     Kind           `json:"kind"`
	Name     string         `json:"name"`
	Labels   labeler.Labels `json:"labels,omitempty"`
	Selector string         `json:"selector,omitempty"`
	Version  uint64         `json:"version,omitempty"`
}

// Key returns the object's name with its kind.
func (o Object) Key() Key {
	return Key{Kind: o.Kind, Name: o.Name}
}

// Edit sets or deletes one object.
type Edit struct {
	Object Object `json:"object"`
	Delete bool   `json:"delete,omitempty"`
	// Check refuses the edit unless the object's version is Version, where 0
	// means that the object must not exist.
	Check   bool   `json:"check,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Change is a set of edits that is accepted or refused as a whole. A change
// that is sent again with the same ID gets the first answer.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	Edits  []Edit `json:"edits"`
}

// Snapshot is all objects as of a revision.
type Snapshot struct {
	Revision uint64
	Objects  map[Key]Object
}

// Clone copies the map of objects, so that the copy can be edited. Objects
// themselves are replaced whole, never edited, and so are shared.
func (s Snapshot) Clone() Snapshot {
	return Snapshot{Revision: s.Revision, Objects: maps.Clone(s.Objects)}
}
