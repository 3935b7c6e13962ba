// Package describer defines the objects of the configuration, which are
// workspaces, services and endpoints, and validates changes to them.
//
// An object has a kind, a name, labels and one selector; there are no other
// settings. What the selector selects depends on the kind:
//
//   - workspace: the endpoints to which its requests may be sent;
//   - service: the workspaces that may use it;
//   - endpoint: the workspaces whose requests it accepts. The labels of an endpoint
//     object override the labels that the endpoint announces.
//
// Invariants: a Snapshot is not modified once it has been returned, the version of
// an object rises by one with every accepted edit, and the revision of a snapshot
// rises by one with every accepted change.
package describer

import (
	"maps"

	"shallotkeel.example/lib/labeler"
)

// Kind is the kind of an object.
type Kind string

// The kinds of object.
const (
	Workspace Kind = "workspace"
	Service   Kind = "service"
	Endpoint  Kind = "endpoint"
)

// Labels with a meaning to the system. Operators may use any other label as they like.
const (
	// LabelWeight is a workspace's share relative to other workspaces, a positive number; 1 if absent.
	LabelWeight = "weight"
	// LabelQueue is the maximum number of a workspace's waiting requests at one router; DefaultQueue if absent.
	LabelQueue = "queue"
	// LabelToken on a workspace is the hex SHA-256 of its bearer token, cut to 63 characters. On a
	// service it is the same digest of the token with which the service's endpoints announce themselves.
	LabelToken = "token"
	// LabelOperator on a workspace, with value "yes", gives its token access to the operators' paths.
	LabelOperator = "operator"
	// LabelTokenNext is the digest of a second valid token, for the time of a token rotation.
	LabelTokenNext = "token-next"
	// LabelType is a service's type: TypeModel or TypePlain.
	LabelType = "type"
	// LabelRepeat on a plain service decides whether its requests may be retried: RepeatSafe, RepeatNever or RepeatMethod.
	LabelRepeat = "repeat"
	// LabelDrain on an endpoint object, with value "yes", stops new requests to that endpoint.
	LabelDrain = "drain"
	// LabelLoads on a service is the maximum number of model loads that it starts per minute, a
	// positive number that follows from the throughput of the weight store; DefaultLoads if absent.
	LabelLoads = "loads-per-minute"
	// LabelRoom on an endpoint is the number of models that fit into its memory. Only an endpoint
	// with this label, announced or on its object, gets orders to load and unload models.
	LabelRoom = "room"
	// PrefixCopies starts the labels that give the wanted number of copies of a model in each
	// availability zone, such as "copies.draft-7b": "2"; 1 if absent.
	PrefixCopies = "copies."
	// PrefixModel starts the labels that list a service's models, such as "model.draft-7b": "yes".
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
	// MaxCopies and MaxRoom bound the values of the copies labels and of LabelRoom.
	MaxCopies = 1000
	MaxRoom   = 256
)

// Labels that the system adds to an endpoint's announced labels, so that
// selectors can refer to them.
const (
	LabelZone     = "zone"
	LabelService  = "service"
	LabelEndpoint = "endpoint"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Object is one object of the configuration.
type Object struct {
	Kind     Kind           `json:"kind"`
	Name     string         `json:"name"`
	Labels   labeler.Labels `json:"labels,omitempty"`
	Selector string         `json:"selector,omitempty"`
	Version  uint64         `json:"version,omitempty"`
}

// Key returns the key of the object.
func (o Object) Key() Key {
	return Key{Kind: o.Kind, Name: o.Name}
}

// Edit sets or deletes one object.
type Edit struct {
	Object Object `json:"object"`
	Delete bool   `json:"delete,omitempty"`
	// Check makes the edit conflict unless the object's version equals Version.
	// Version 0 means that the object must not exist.
	Check   bool   `json:"check,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Change is a set of edits that is accepted or refused as a whole. A change that
// is sent again with the same ID gets the answer of the first time.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	Edits  []Edit `json:"edits"`
}

// Snapshot holds all objects as of a revision.
type Snapshot struct {
	Revision uint64
	Objects  map[Key]Object
}

// Clone copies the map of objects, so that the copy can be edited. The objects are
// shared: they are replaced as a whole and never modified.
func (s Snapshot) Clone() Snapshot {
	return Snapshot{Revision: s.Revision, Objects: maps.Clone(s.Objects)}
}
