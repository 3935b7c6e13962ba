// Package attributor attributes the credit that a played day lost to causes. It reads the
// report of the day and the log lines of its routers.
//
// The report states, for each window of a few seconds, the credit earned as a part of the
// credit owed. A late answer costs LateCost of its tokens, a failed request all of them;
// both are counted from the log lines, by cause. The credit missing beyond that belongs to
// requests that were owed but refused. It is divided among their causes, which differ by
// the backlog of the engines at that moment. The losses of a window therefore add up to
// the credit missing in it, and those of a day to the credit missing in the day, including
// the part that is Unattributed.
//
// Invariant: no loss is negative, and the sum of all losses is the missing credit.
package attributor

import (
	"slices"
	"time"

	"shallotkeel.example/platform"
)

// Cause is a reason for which credit was lost.
type Cause string

// The causes, in the order in which they are printed.
const (
	// RouterStart: late or refused within startPeriod of its router's first configuration.
	RouterStart Cause = "at a start"
	// RetriedTooLate: late because the client retried after a refusal.
	RetriedTooLate Cause = "late, came back after a refusal"
	// OwnPrefill: late because the prefill of its own prompt alone exceeds the target.
	OwnPrefill Cause = "late, by reading its own prompt"
	// KnownQueue: late behind other prompts, as the router expected when it sent the request.
	KnownQueue Cause = "late, behind a queue that was known"
	// Unforeseen: late although the router expected it in time.
	Unforeseen Cause = "late, unforeseen"
	// EndpointFailed: failed at its endpoint, which crashed or answered with an error.
	EndpointFailed Cause = "failed at its endpoint"
	// Unanswered: failed because no endpoint answered in time or could be reached.
	Unanswered Cause = "failed without an answer"
	// RefusedIdle: refused while engines were almost idle.
	RefusedIdle Cause = "refused beside idle engines"
	// RefusedBusy: refused while engines were busy.
	RefusedBusy Cause = "refused beside busy engines"
	// Unattributed: missing credit that no log line explains, such as that of clients that
	// reached no router, and of effects that the model of this package leaves out.
	Unattributed Cause = "not seen in the logs"
)

// Causes lists all causes in order.
var Causes = []Cause{RouterStart, RetriedTooLate, OwnPrefill, KnownQueue, Unforeseen, EndpointFailed, Unanswered, RefusedIdle, RefusedBusy, Unattributed}

const (
	// LateCost is the part of its credit that a late answer loses. It is the mean of the
	// values in the deployments' sheets.
	LateCost = 0.5
	// startPeriod is the time for which a router counts as starting. Its measurements take
	// that long to become usable.
	startPeriod = 2500 * time.Millisecond
	// retriedTooLateShare is the part of the target after which a retry of a refused request
	// is late whatever the engines do.
	retriedTooLateShare = 0.6
)

// Loss is the credit lost to one cause, as a fraction of the credit owed on the day.
type Loss struct {
	Cause    Cause
	Fraction float64
}

// windowTokens counts the tokens of the requests of one window: those served in time, and
// the others by cause.
type windowTokens struct {
	served  float64
	late    map[Cause]float64
	failed  map[Cause]float64
	refused map[Cause]float64
}

// Attribute divides the missing credit of a day among the causes. The credit is the earned
// fraction of the credit owed on the day.
func Attribute(windows []platform.Window, credit float64, lines []Line) []Loss {
	tokens := make([]windowTokens, len(windows))
	for i := range tokens {
		tokens[i] = windowTokens{late: make(map[Cause]float64), failed: make(map[Cause]float64), refused: make(map[Cause]float64)}
	}
	for _, line := range lines {
		if at := windowOf(windows, line.Arrival); at >= 0 {
			tokens[at].add(line)
		}
	}
	lost := make(map[Cause]float64)
	totalWeight := 0.0
	for i, w := range windows {
		weight := tokens[i].weight()
		totalWeight += weight
		for cause, fraction := range tokens[i].lossByCause(1 - w.Credit) {
			lost[cause] += fraction * weight
		}
	}
	return dayLosses(lost, totalWeight, 1-credit)
}

// windowOf returns the index of the window that contains a time, -1 for a time before the
// first window.
func windowOf(windows []platform.Window, arrival time.Duration) int {
	at, found := slices.BinarySearchFunc(windows, arrival, func(w platform.Window, arrival time.Duration) int {
		return int(w.Begin - arrival)
	})
	if found {
		return at
	}
	return at - 1
}

// add counts the tokens of a line under its cause.
func (s *windowTokens) add(line Line) {
	tokens := float64(line.Tokens)
	switch cause := line.cause(); {
	case line.Refused:
		s.refused[cause] += tokens
	case line.Failed:
		s.failed[cause] += tokens
	case cause != "":
		s.late[cause] += tokens
	default:
		s.served += tokens
	}
}

// weight returns the weight of the window in the day: the tokens of its served and failed
// requests.
func (s *windowTokens) weight() float64 {
	return s.served + total(s.late) + total(s.failed)
}

// lossByCause returns the part of the window's credit that each cause cost. The parts add
// up to the missing credit. If the lines explain more than that, their parts are scaled
// down.
func (s *windowTokens) lossByCause(missing float64) map[Cause]float64 {
	missing = max(missing, 0)
	weight := s.weight()
	costs := make(map[Cause]float64)
	if weight > 0 {
		for cause, tokens := range s.late {
			costs[cause] += LateCost * tokens / weight
		}
		for cause, tokens := range s.failed {
			costs[cause] += tokens / weight
		}
	}
	if explained := total(costs); explained > missing {
		for cause := range costs {
			costs[cause] *= missing / explained
		}
		return costs
	}
	remaining := missing - total(costs)
	if refused := total(s.refused); refused > 0 {
		for cause, tokens := range s.refused {
			costs[cause] += remaining * tokens / refused
		}
		return costs
	}
	costs[Unattributed] += remaining
	return costs
}

// dayLosses returns the losses as fractions of the day. Missing credit that the windows do
// not explain is Unattributed.
func dayLosses(lost map[Cause]float64, totalWeight, missing float64) []Loss {
	parts := make(map[Cause]float64, len(lost))
	if totalWeight > 0 {
		for cause, part := range lost {
			parts[cause] = part / totalWeight
		}
	}
	if explained := total(parts); explained > missing && explained > 0 {
		for cause := range parts {
			parts[cause] *= missing / explained
		}
	} else {
		parts[Unattributed] += missing - explained
	}
	losses := make([]Loss, 0, len(Causes))
	for _, cause := range Causes {
		losses = append(losses, Loss{Cause: cause, Fraction: parts[cause]})
	}
	return losses
}

func total(parts map[Cause]float64) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	return sum
}
