package lister

// Reason is the reason why a heartbeat is rejected as unusable. It is a metric label value.
type Reason string

// The reasons for rejecting a heartbeat.
const (
	Unreadable     Reason = "unreadable"
	Missing        Reason = "missing"
	WrongType      Reason = "type"
	OutOfRange     Reason = "range"
	UnknownService Reason = "service"
)

// Reasons lists all values of Reason.
var Reasons = []Reason{Unreadable, Missing, WrongType, OutOfRange, UnknownService}

// Unusable is the error for a heartbeat that does not describe a usable endpoint. The
// contents of other heartbeats stay in effect.
type Unusable struct {
	Reason Reason
	Field  string // the invalid field, "" if the whole heartbeat is unreadable
}

// Error describes what to correct at the sender.
func (u Unusable) Error() string {
	if u.Field == "" {
		return "the heartbeat cannot be read; send one object"
	}
	return "the heartbeat's field " + u.Field + " is at fault (" + string(u.Reason) + "); send what the interface says"
}
