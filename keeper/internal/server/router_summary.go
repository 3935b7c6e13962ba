package server

import (
	"cmp"
	"slices"
	"time"
)

// routerSummaryTTL is how long a cached summary is reused. Routers report twice a second or
// more often; computing the summary for each answer would take time quadratic in their number.
const routerSummaryTTL = 50 * time.Millisecond

// routerSummary aggregates the reports of all followers at one moment.
type routerSummary struct {
	// routers is the number of routers that follow this keeper, whichever keeper they report to.
	routers uint32
	// direct is the number of routers that report to this keeper, and reporting the number that
	// report to this keeper or to a peer whose reports arrive here.
	direct, reporting uint32
	// directBacklog and backlog are the medians, over the direct and over all reporting routers,
	// of the estimated time that engines need to prefill the input already sent to them, in
	// milliseconds.
	directBacklog, backlog uint32
}

// total is the number of known routers. Each of them follows this keeper, or reports to a
// peer whose reports arrive here.
func (c routerSummary) total() uint32 {
	return max(c.routers, c.reporting)
}

// estimate is one router's estimate of a quantity, or the median of several routers' estimates.
type estimate struct {
	value  uint32
	weight uint32 // number of routers
}

// routerSummaryCache caches a summary for routerSummaryTTL. Its zero value is an empty cache.
type routerSummaryCache struct {
	updatedAt time.Time
	summary   routerSummary
}

// get returns the cached summary, or a new one if the cached one has expired.
func (c *routerSummaryCache) get(now time.Time, followers map[string]*follower) routerSummary {
	if !c.updatedAt.IsZero() && now.Sub(c.updatedAt) < routerSummaryTTL {
		return c.summary
	}
	c.updatedAt, c.summary = now, summarizeRouters(now, followers)
	return c.summary
}

// summarizeRouters aggregates the followers' reports. It ignores reports older than reportTTL.
func summarizeRouters(now time.Time, followers map[string]*follower) routerSummary {
	var c routerSummary
	var direct, all []estimate
	for _, f := range followers {
		fresh := now.Sub(f.at) <= reportTTL
		switch {
		case !f.keeper:
			c.routers++
			if fresh && !f.report.GetBrief() {
				c.direct++
				direct = append(direct, estimate{value: f.report.GetBacklogMs(), weight: 1})
			}
		case fresh && f.report.GetReporting() > 0:
			c.reporting += f.report.GetReporting()
			all = append(all, estimate{value: f.report.GetBacklogMs(), weight: f.report.GetReporting()})
		}
	}
	c.reporting += c.direct
	c.directBacklog = median(direct)
	c.backlog = median(append(all, direct...))
	return c
}

// median returns the weighted median of the estimates, 0 if there are none. A wrong estimate of
// a router that is lagging or partitioned does not shift it. Of an even number of estimates it
// returns the lower of the two in the middle. A keeper reports the median of its routers as the
// estimate of all of them.
func median(estimates []estimate) uint32 {
	slices.SortFunc(estimates, func(a, b estimate) int { return cmp.Compare(a.value, b.value) })
	total := uint32(0)
	for _, e := range estimates {
		total += e.weight
	}
	before := uint32(0)
	for _, e := range estimates {
		before += e.weight
		if 2*before >= total {
			return e.value
		}
	}
	return 0
}
