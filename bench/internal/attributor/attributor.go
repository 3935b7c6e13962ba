// Package attributor says where a played day's credit was lost, from the report of the
// day and the lines that its routers logged.
//
// A report tells for each few seconds how much of what was owed was earned. What was
// served late costs LateCost of its tokens, what failed all of them; both are taken
// from the lines, by cause. What is missing beyond that was refused though it was
// owed, and is divided by what engines had to do at that moment. So the causes of a
// window add up to what is missing in it, and those of a day to what is missing in the
// day, up to the part that is called Rest.
//
// Invariant: no cause is negative, and the sum of all is what is missing.
package attributor

import (
	"slices"
	"time"

	"shallotkeel.example/platform"
)

// Cause is why credit was lost.
type Cause string

// The causes, in the order in which they are asked for.
const (
	// Start is late or refused within startSpan of its router's first configuration.
	Start Cause = "at a start"
	// Back is late because it came back after a refusal.
	Back Cause = "late, came back after a refusal"
	// Reading is late by the reading of its own prompt alone.
	Reading Cause = "late, by reading its own prompt"
	// Queue is late behind other prompts, as was expected when it was sent.
	Queue Cause = "late, behind a queue that was known"
	// Unforeseen is late although it was expected in time.
	Unforeseen Cause = "late, unforeseen"
	// Endpoint failed at its endpoint, which crashed or said so.
	Endpoint Cause = "failed at its endpoint"
	// Unanswered had no answer in time, or no way to an endpoint.
	Unanswered Cause = "failed without an answer"
	// Idle was refused while engines had next to nothing to do.
	Idle Cause = "refused beside idle engines"
	// Busy was refused while engines were busy.
	Busy Cause = "refused beside busy engines"
	// Rest is missing without a line that would tell why: clients that reached no
	// router, and what the model does not see.
	Rest Cause = "not seen in the logs"
)

// Causes are all causes in their order.
var Causes = []Cause{Start, Back, Reading, Queue, Unforeseen, Endpoint, Unanswered, Idle, Busy, Rest}

const (
	// LateCost is the part of its credit that a late answer loses, the mean of what the
	// deployments' sheets say.
	LateCost = 0.5
	// startSpan is how long a router counts as starting: its measures take that long.
	startSpan = 2500 * time.Millisecond
	// backShare is the part of its target after which a request that was refused before
	// is late whatever engines do.
	backShare = 0.6
)

// Loss is the credit lost to one cause, as a part of what a day owed.
type Loss struct {
	Cause Cause
	Part  float64
}

// sums are the tokens of one window by cause, and what was served in time.
type sums struct {
	served  float64
	late    map[Cause]float64
	failed  map[Cause]float64
	refused map[Cause]float64
}

// Attribute divides what is missing in a day among the causes.
func Attribute(windows []platform.Window, credit float64, lines []Line) []Loss {
	parts := make([]sums, len(windows))
	for i := range parts {
		parts[i] = sums{late: make(map[Cause]float64), failed: make(map[Cause]float64), refused: make(map[Cause]float64)}
	}
	for _, line := range lines {
		if at := windowOf(windows, line.Came); at >= 0 {
			parts[at].add(line)
		}
	}
	lost := make(map[Cause]float64)
	whole := 0.0
	for i, w := range windows {
		weight := parts[i].owed()
		whole += weight
		for cause, part := range parts[i].divide(1 - w.Credit) {
			lost[cause] += part * weight
		}
	}
	return scaled(lost, whole, 1-credit)
}

// windowOf returns the window of a time, -1 for one before the first.
func windowOf(windows []platform.Window, came time.Duration) int {
	at, found := slices.BinarySearchFunc(windows, came, func(w platform.Window, came time.Duration) int {
		return int(w.Begin - came)
	})
	if found {
		return at
	}
	return at - 1
}

func (s *sums) add(line Line) {
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

// owed returns the tokens that were run or failed, as the weight of the window.
func (s *sums) owed() float64 {
	return s.served + total(s.late) + total(s.failed)
}

// divide returns the part of the window's credit that each cause cost, adding up to
// what is missing.
func (s *sums) divide(missing float64) map[Cause]float64 {
	missing = max(missing, 0)
	owed := s.owed()
	costs := make(map[Cause]float64)
	if owed > 0 {
		for cause, tokens := range s.late {
			costs[cause] += LateCost * tokens / owed
		}
		for cause, tokens := range s.failed {
			costs[cause] += tokens / owed
		}
	}
	if seen := total(costs); seen > missing {
		for cause := range costs {
			costs[cause] *= missing / seen
		}
		return costs
	}
	left := missing - total(costs)
	if refused := total(s.refused); refused > 0 {
		for cause, tokens := range s.refused {
			costs[cause] += left * tokens / refused
		}
		return costs
	}
	costs[Rest] += left
	return costs
}

// scaled returns the losses as parts of the day, with what the windows do not explain
// as Rest.
func scaled(lost map[Cause]float64, whole, missing float64) []Loss {
	parts := make(map[Cause]float64, len(lost))
	if whole > 0 {
		for cause, part := range lost {
			parts[cause] = part / whole
		}
	}
	if seen := total(parts); seen > missing && seen > 0 {
		for cause := range parts {
			parts[cause] *= missing / seen
		}
	} else {
		parts[Rest] += missing - seen
	}
	losses := make([]Loss, 0, len(Causes))
	for _, cause := range Causes {
		losses = append(losses, Loss{Cause: cause, Part: parts[cause]})
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
