package lister

// Reason is why a heartbeat names no endpoint to use. It is a label of metrics.
type Reason string

// The reasons.
const (
	Unreadable     Reason = "unreadable"
	Missing        Reason = "missing"
	WrongType      Reason = "type"
	OutOfRange     Reason = "range"
	UnknownService Reason = "service"
)

// Reasons are all reasons.
var Reasons = []Reason{Unreadable, Missing, WrongType, OutOfRange, UnknownService}

// Unusable is the error of a heartbeat that names no endpoint to use. What other
// heartbeats have said holds.
type Unusable struct {
	Reason Reason
	Field  string // that is at fault, "" for all of it
}

// Error tells what to correct at the sender.
func (u Unusable) Error() string {
	if u.Field == "" {
		return "the heartbeat cannot be read; send one object"
	}
	return "the heartbeat's field " + u.Field + " is at fault (" + string(u.Reason) + "); send what the interface says"
}
