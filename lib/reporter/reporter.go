// Package reporter defines the response bodies of the operators' API, apart from
// the configuration objects themselves: status, findings, history and
// explanations. Routers encode them, and skctl decodes them.
//
// Invariants: durations are whole milliseconds in fields whose JSON names end in
// _ms; an unknown value is omitted, not encoded as a zero that has a meaning.
package reporter

import "shallotkeel.example/lib/describer"

// Finding is an error or a warning about a submitted change.
type Finding struct {
	Severity string         `json:"severity"` // "error" or "warning"
	Kind     describer.Kind `json:"kind,omitempty"`
	Name     string         `json:"name,omitempty"`
	Message  string         `json:"message"`
	Remedy   string         `json:"remedy,omitempty"`
}

// Outcomes of a submitted change.
const (
	Accepted = "accepted"
	Invalid  = "invalid"
	Conflict = "conflict"
)

// Applied is the response to POST /admin/changes.
type Applied struct {
	Outcome  string             `json:"outcome"`
	Revision uint64             `json:"revision,omitempty"`
	Findings []Finding          `json:"findings,omitempty"`
	Winners  []describer.Object `json:"winners,omitempty"` // on conflict: the current objects
	Resent   bool               `json:"resent,omitempty"`  // the change id was submitted before; this repeats the first response
}

// Objects is the response to GET /admin/objects.
type Objects struct {
	Revision uint64             `json:"revision"`
	Stale    bool               `json:"stale,omitempty"` // no quorum of keepers was reached, so newer revisions may exist
	Objects  []describer.Object `json:"objects"`
}

// Revision is one accepted change of the configuration.
type Revision struct {
	Revision uint64             `json:"revision"`
	Change   string             `json:"change"`
	Author   string             `json:"author,omitempty"`
	UnixMS   int64              `json:"unix_ms"`
	Edits    []describer.Edit   `json:"edits"`
	Before   []describer.Object `json:"before,omitempty"` // the edited objects before the change
}

// History is the response to GET /admin/history, newest revision first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// Status is the response to GET /admin/status.
type Status struct {
	Warnings  []string   `json:"warnings"`
	Revision  uint64     `json:"revision"` // the highest accepted revision that this router knows
	Stale     bool       `json:"stale,omitempty"`
	Routers   []Router   `json:"routers"`
	Keepers   []Keeper   `json:"keepers"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Router is the state of one router as known to the fleet.
type Router struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	InForce uint64 `json:"in_force"` // configuration revision in force at this router
	Leaving bool   `json:"leaving,omitempty"`
	AgeMS   int64  `json:"age_ms"` // time since its last report
}

// Keeper is the state of one keeper.
type Keeper struct {
	Name     string `json:"name"`
	Zone     string `json:"zone,omitempty"`
	Role     string `json:"role"` // "leader", "voter", "learner" or "unreachable"
	Term     uint64 `json:"term,omitempty"`
	Applied  uint64 `json:"applied,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Quorum   bool   `json:"quorum"`
}

// Pool is the state of one service in one availability zone.
type Pool struct {
	Zone        string      `json:"zone"`
	Service     string      `json:"service"`
	Scheduler   string      `json:"scheduler"` // the router that schedules it
	Waiting     int         `json:"waiting"`
	Running     int         `json:"running"`
	Slots       int         `json:"slots"`
	Gap         float64     `json:"gap"`         // largest difference between the counters of backlogged workspaces, in weighted units
	Utilisation float64     `json:"utilisation"` // busy fraction of the slots, 0 to 1
	Shares      []Workspace `json:"workspaces,omitempty"`
}

// Workspace is the state of one workspace in a pool.
type Workspace struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Charged uint64  `json:"charged"` // service units
	Counter float64 `json:"counter"` // weighted units, by which the scheduler orders workspaces
}

// Endpoint is the state of one endpoint as known to its pool's scheduler.
type Endpoint struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Zone     string            `json:"zone"`
	Address  string            `json:"address"`
	Labels   map[string]string `json:"labels,omitempty"`
	Slots    int               `json:"slots"`
	Window   int               `json:"window"`
	Busy     int               `json:"busy"`
	Draining bool              `json:"draining,omitempty"`
	State    string            `json:"state"` // "serving", "draining", "leaving" or "suspect"
}

// Quarantines is the response to GET /admin/quarantines.
type Quarantines struct {
	Stale       bool         `json:"stale,omitempty"` // no quorum of keepers was reached
	Quarantines []Quarantine `json:"quarantines"`
}

// Quarantine is a part of prompts, or a request, that is refused because endpoints crash under it.
type Quarantine struct {
	Feature string `json:"feature"` // its digest, in hexadecimal, as log lines name it
	LeftMS  int64  `json:"left_ms"`
}

// Explanation is the response to GET /admin/explain/{id}.
type Explanation struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Model     string `json:"model,omitempty"`
	Outcome   string `json:"outcome,omitempty"` // empty while the request is in progress
	Code      string `json:"code,omitempty"`
	Trace     string `json:"trace,omitempty"`
	Steps     []Step `json:"steps"`
	Why       string `json:"why,omitempty"` // why the request waits, or why its endpoint was selected
}

// Step is one step in the processing of a request.
type Step struct {
	AtMS   int64  `json:"at_ms"` // time since the request was received
	Step   string `json:"step"`
	Detail string `json:"detail,omitempty"`
}

// Failure is the body of every error response.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody states what happened and how to remedy it.
type FailureBody struct {
	Type      string `json:"type"` // "not_run", "unknown" or "invalid"
	Code      string `json:"code"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	RetryMS   int64  `json:"retry_after_ms,omitempty"`
}
