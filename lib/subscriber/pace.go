package subscriber

import "time"

const (
	// LeastWait is how long a keeper holds the poll of a router that reports to it, at least.
	// With each answer come the loads of the other routers. An engine reads a long prompt in
	// some 0.2 s: what is known of it later is of no use.
	LeastWait = 50 * time.Millisecond
	// LateWait is how long the poll of a router that is late is held, at least. Each takes from
	// the time that it has to serve, and it is late with what it learns.
	LateWait = 100 * time.Millisecond
	// mostPolls bounds the polls a second of the routers that report to one keeper.
	mostPolls = 200
)

// WaitFor returns how long a keeper holds polls without news in a fleet of so many routers and
// keepers, so that the routers that report to it ask at most mostPolls times a second.
func WaitFor(routers, keepers int) time.Duration {
	return min(max(reporting(routers, keepers)/mostPolls, LeastWait), DefaultWait)
}

// reporting is a second for each router that reports to one keeper.
func reporting(routers, keepers int) time.Duration {
	return time.Duration(routers) * time.Second / time.Duration(max(keepers, 1))
}

const (
	// mostBriefs bounds the polls a second of those that report to another keeper, and
	// mostBriefWait is the longest that they are held: a lost path to such a keeper delays no
	// report, and an endpoint's leaving that only this keeper heard of still comes within the
	// time for which endpoints go on serving.
	mostBriefs    = 200
	mostBriefWait = 1500 * time.Millisecond
)

// BriefWaitFor returns how long a keeper holds the polls of routers that report to another.
func BriefWaitFor(routers, keepers int) time.Duration {
	if keepers > fewKeepers {
		return mostBriefWait // of so many only some are followed, and what they hear others hear as well
	}
	others := time.Duration(routers)*time.Second - reporting(routers, keepers)
	return min(max(others/mostBriefs, DefaultWait), mostBriefWait)
}

// ReportWaitFor returns how long a keeper holds the polls of a router that reports to it and has
// so many requests a second, in a fleet of so many routers and keepers: it asks about as often as
// it has something to tell. In a large fleet most routers have little, and all of them together
// would cost keepers most of their time.
func ReportWaitFor(requests float64, routers, keepers int) time.Duration {
	wait := DefaultWait
	if requests > 0 {
		wait = time.Duration(min(float64(time.Second)/requests, float64(DefaultWait)))
	}
	return max(wait, WaitFor(routers, keepers))
}

// mostExchanges bounds the polls a second of a keeper by all others of its group.
const mostExchanges = 60

// ExchangeWaitFor returns how long keepers hold one another's polls. What was reported to them
// is not newer if it is told more often than routers report.
func ExchangeWaitFor(routers, keepers int) time.Duration {
	others := time.Duration(max(keepers-1, 0)) * time.Second / mostExchanges
	return min(max(others, WaitFor(routers, keepers)), DefaultWait)
}
