package apportioner

import "time"

const (
	// stretchOwed is the stretch of what is served whatever engines have to do. The
	// stated capacity is owed at any time, and a tenth of what is admitted fails or comes
	// too late.
	stretchOwed = 1.1
	// stretchLeast is the stretch while engines have all that they can bear. The
	// stated capacity is owed at any time, and the shares of a moment admit less than
	// their sum: demand has moved on by then, and some of it fails.
	stretchLeast = 1.2
	// stretchMost is the stretch while engines have next to nothing to do.
	stretchMost = 2.5
	// IdleBacklog is the backlog up to which engines have next to nothing to do. Between it
	// and fullBacklog the stretch falls. What is on its way to an engine counts as well, so
	// that a calm one has some; the upper end is half of the shortest usual target.
	IdleBacklog = 40 * time.Millisecond
	fullBacklog = 160 * time.Millisecond
)

// stretch returns by how much shares go beyond the stated capacity. That capacity is a
// promise, not a limit: engines often yield more, and then nobody should be refused.
//
// It follows how long engines still read what they have been sent, which all routers
// know within a tenth of a second. Answers' waits, as a congestion window follows them, show
// a queue only when it has grown, and one slow engine looks like all.
func stretch(backlog time.Duration) float64 {
	part := float64(backlog-IdleBacklog) / float64(fullBacklog-IdleBacklog)
	part = min(max(part, 0), 1)
	return stretchMost + part*(stretchLeast-stretchMost)
}
