package subscriber

import "time"

const (
	// MinWait is the minimum time for which a keeper holds the poll of a router that reports
	// to it. Each answer carries the loads from the other routers. An engine prefills a long
	// prompt in some 0.2 s: load information that arrives later is useless.
	MinWait = 50 * time.Millisecond
	// MinLateWait is the minimum time for which the poll of a router with high scheduling delay
	// is held. Each poll takes processor time from serving requests, and such a router applies
	// the answers late anyway.
	MinLateWait = 100 * time.Millisecond
	// maxPollsPerSecond bounds the total poll rate of the routers that report to one keeper.
	maxPollsPerSecond = 200
)

// WaitFor returns how long a keeper holds polls without updates in a fleet of the given size, so
// that the routers that report to one keeper send at most maxPollsPerSecond polls in total, as
// far as DefaultWait allows.
func WaitFor(routers, keepers int) time.Duration {
	return min(max(reporting(routers, keepers)/maxPollsPerSecond, MinWait), DefaultWait)
}

// reporting returns one second for each router that reports to one keeper.
func reporting(routers, keepers int) time.Duration {
	return time.Duration(routers) * time.Second / time.Duration(max(keepers, 1))
}

const (
	// maxBriefPollsPerSecond bounds the total poll rate of the routers that report to another
	// keeper, and maxBriefWait is the maximum time for which their polls are held: a lost path to
	// such a keeper delays no report, and the departure of an endpoint that only this keeper
	// received still arrives within the time for which leaving endpoints continue to serve.
	maxBriefPollsPerSecond = 200
	maxBriefWait           = 1500 * time.Millisecond
)

// BriefWaitFor returns how long a keeper holds the polls of routers that report to another keeper,
// in a fleet of the given size.
func BriefWaitFor(routers, keepers int) time.Duration {
	if keepers > maxFullGroup {
		return maxBriefWait // routers follow only some of the keepers, and an update reaches several of them
	}
	others := time.Duration(routers)*time.Second - reporting(routers, keepers)
	return min(max(others/maxBriefPollsPerSecond, DefaultWait), maxBriefWait)
}

// ReportWaitFor returns how long a keeper holds the polls of a router that reports to it and gets
// the given number of requests per second, in a fleet of the given size. The poll rate follows the
// request rate, because a router's report changes with its requests. In a large fleet most routers
// have few requests, and at a higher rate their polls would take most of the keepers' time.
func ReportWaitFor(requests float64, routers, keepers int) time.Duration {
	wait := DefaultWait
	if requests > 0 {
		wait = time.Duration(min(float64(time.Second)/requests, float64(DefaultWait)))
	}
	return max(wait, WaitFor(routers, keepers))
}

// maxExchangesPerSecond bounds the rate at which the peers of a keeper poll it, in total.
const maxExchangesPerSecond = 60

// ExchangeWaitFor returns how long keepers hold the polls of their peers, in a fleet of the given
// size. Exchanging reports more often than routers send them would not make them more recent.
func ExchangeWaitFor(routers, keepers int) time.Duration {
	others := time.Duration(max(keepers-1, 0)) * time.Second / maxExchangesPerSecond
	return min(max(others, WaitFor(routers, keepers)), DefaultWait)
}
