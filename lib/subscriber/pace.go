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
// keepers, so that the routers that report to it ask at most mostPolls times a second. Keepers
// exchange what was reported to them at the same pace: told more often it would not be newer.
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
	others := time.Duration(routers)*time.Second - reporting(routers, keepers)
	return min(max(others/mostBriefs, DefaultWait), mostBriefWait)
}
