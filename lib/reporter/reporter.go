// Package reporter holds the typed answers of the operators' API besides the
// objects themselves: status, findings, history and explanations. Routers write
// them and skctl reads them.
//
// Invariants: durations are whole milliseconds in fields that end in _ms; a
// field that is not known is absent and never zero with a meaning.
package reporter

import "shallotkeel.example/lib/describer"

// Finding is one remark on a change.
type Finding struct {
	Severity string         `json:"severity"` // "error" or "warning"
	Kind     describer.Kind `json:"kind,omitempty"`
	Name     string         `json:"name,omitempty"`
	Message  string         `json:"message"`
	Remedy   string         `json:"remedy,omitempty"`
}

// Outcomes of a change.
const (
	Accepted = "accepted"
	Invalid  = "invalid"
	Conflict = "conflict"
)

// Applied answers POST /admin/changes.
type Applied struct {
	Outcome  string             `json:"outcome"`
	Revision uint64             `json:"revision,omitempty"`
	Findings []Finding          `json:"findings,omitempty"`
	Winners  []describer.Object `json:"winners,omitempty"` // on conflict: the objects as they are
	Resent   bool               `json:"resent,omitempty"`  // the first answer to this change id, told again
}

// Objects answers GET /admin/objects.
type Objects struct {
	Revision uint64             `json:"revision"`
	Stale    bool               `json:"stale,omitempty"` // no quorum was reached; newer revisions may exist
	Objects  []describer.Object `json:"objects"`
}

// Revision is one accepted change.
type Revision struct {
	Revision uint64             `json:"revision"`
	Change   string             `json:"change"`
	Author   string             `json:"author,omitempty"`
	UnixMS   int64              `json:"unix_ms"`
	Edits    []describer.Edit   `json:"edits"`
	Before   []describer.Object `json:"before,omitempty"` // the edited objects as they were
}

// History answers GET /admin/history, newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// Status answers GET /admin/status: warnings first.
type Status struct {
	Warnings  []string   `json:"warnings"`
	Revision  uint64     `json:"revision"` // the highest accepted revision that this router knows
	Stale     bool       `json:"stale,omitempty"`
	Routers   []Router   `json:"routers"`
	Keepers   []Keeper   `json:"keepers"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Router is one router as the fleet sees it.
type Router struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	InForce uint64 `json:"in_force"` // the configuration revision in force there
	Leaving bool   `json:"leaving,omitempty"`
	AgeMS   int64  `json:"age_ms"` // since it was last heard
}

// Keeper is one keeper.
type Keeper struct {
	Name     string `json:"name"`
	Zone     string `json:"zone,omitempty"`
	Role     string `json:"role"` // "leader", "voter", "learner" or "unreachable"
	Term     uint64 `json:"term,omitempty"`
	Applied  uint64 `json:"applied,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Quorum   bool   `json:"quorum"`
}

// Pool is one service in an availability zone.
type Pool struct {
	Zone        string      `json:"zone"`
	Service     string      `json:"service"`
	Scheduler   string      `json:"scheduler"` // the router that schedules it
	Waiting     int         `json:"waiting"`
	Running     int         `json:"running"`
	Slots       int         `json:"slots"`
	Gap         float64     `json:"gap"`         // largest difference in weighted units between backlogged workspaces
	Utilisation float64     `json:"utilisation"` // busy part of the slots, 0 to 1
	Shares      []Workspace `json:"workspaces,omitempty"`
}

// Workspace is one workspace's part in a pool.
type Workspace struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Charged uint64  `json:"charged"` // service units
	Counter float64 `json:"counter"` // weighted units, the scheduler's order
}

// Endpoint is one endpoint as its pool's scheduler sees it.
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
	State    string            `json:"state"` // "serving", "draining", "leaving", "suspect" or "gone"
}

// Explanation answers GET /admin/explain/{id}.
type Explanation struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Model     string `json:"model,omitempty"`
	Outcome   string `json:"outcome,omitempty"` // empty while it is in progress
	Code      string `json:"code,omitempty"`
	Trace     string `json:"trace,omitempty"`
	Steps     []Step `json:"steps"`
	Why       string `json:"why,omitempty"` // why it waits, or why it went there
}

// Step is one step of a request.
type Step struct {
	AtMS   int64  `json:"at_ms"` // since the request was received
	Step   string `json:"step"`
	Detail string `json:"detail,omitempty"`
}

// Failure is the shape of every error answer.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody says what happened and what to do.
type FailureBody struct {
	Type      string `json:"type"` // "not_run", "unknown" or "invalid"
	Code      string `json:"code"`
	Message   string `json:"message"`
	Remedy    string `json:"remedy,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	RetryMS   int64  `json:"retry_after_ms,omitempty"`
}
