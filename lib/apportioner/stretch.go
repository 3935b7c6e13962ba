package apportioner

import "time"

const (
	// guaranteedStretch is the stretch of the guaranteed share, which holds whatever the load of
	// engines. The stated capacity must be served at any time, and a tenth of what is admitted
	// fails or is late.
	guaranteedStretch = 1.1
	// minStretch is the stretch of the maximum share while engines are fully loaded. The stated
	// capacity must be served at any time, and the shares of a moment admit less than their sum,
	// because demand has shifted by then and some requests fail.
	minStretch = 1.2
	// maxStretch is the stretch of the maximum share while engines are almost idle.
	maxStretch = 2.5
	// IdleBacklog is the backlog up to which engines count as almost idle. Between it and
	// fullBacklog the stretch falls. Requests in transit to an engine are included, so that even
	// engines with little load have some backlog; fullBacklog is half of the shortest usual target.
	IdleBacklog = 40 * time.Millisecond
	fullBacklog = 160 * time.Millisecond
)

// stretch returns the factor between the shares and those of the stated capacity. That capacity is
// a promise, not a limit: engines often yield more, and then no request should be refused.
//
// It follows the time that engines need to prefill the prompts that they have been sent, which all
// routers learn within a tenth of a second. The latency of answers, which a congestion window follows, shows a
// queue only after it has grown, and does not distinguish one slow engine from a slow fleet.
func stretch(backlog time.Duration) float64 {
	part := float64(backlog-IdleBacklog) / float64(fullBacklog-IdleBacklog)
	part = min(max(part, 0), 1)
	return maxStretch + part*(minStretch-maxStretch)
}
