package policy

import (
	"fmt"
	"time"
)

// Sizes of one service in one zone, as its share of the target deployment.
const (
	scaleRouters    = 22 // per zone
	scaleEngines    = 23 // per zone
	scaleSlots      = 23
	scaleWorkspaces = 320
	scaleBacklogged = 32
	scaleDepth      = 64
	// scaleZoneTime, divided by the number of zones, is the time for which a run warms
	// up, and then measures. More zones cost more to simulate.
	scaleZoneTime = 600 * time.Second
	// scalePools is the number of pools that a busy node schedules at a time; 513 pools
	// on 410 nodes are 1.25 on average.
	scalePools = 2
	// scaleThinkTime is the mean think time in the largest run, with which the workspaces
	// that are not backlogged use about half of the slots.
	scaleThinkTime = 600 * time.Millisecond
)

// scalePlan returns the plan of one service of the target with a number of zones: 320
// workspaces, of which a tenth is backlogged, each at one router. The requests of the
// others arrive at all routers.
func scalePlan(zones int) plan {
	p := plan{
		zones: zones, routers: scaleRouters * zones, engines: scaleEngines * zones, slots: scaleSlots, pools: scalePools,
		depth: scaleDepth, lowHintWorkspace: -1, work: tokenWorkload(), lightWorkspaces: scaleWorkspaces - scaleBacklogged,
		thinkTime: scaleThinkTime * targetZones / time.Duration(zones),
	}
	p.perUnit = 48 * time.Millisecond
	p.weights = make([]float64, scaleWorkspaces)
	p.cost = make([]uint32, scaleWorkspaces)
	for i := range p.weights {
		p.weights[i] = 1
		p.cost[i] = 110 << (i % 3)
	}
	p.place = func(workspace, n, routers int) int {
		if workspace < p.lightWorkspaces {
			return (workspace*7 + n*131) % routers
		}
		return workspace * workspace % routers
	}
	return p
}

// targetZones is the number of zones of the target deployment.
const targetZones = 19

// scaleZones returns the numbers of zones to run with, which show how the cost of
// exchanges grows.
func scaleZones() []int { return []int{3, 7, targetZones} }

// backlogged returns the window without the first workspaces, which are not backlogged.
func backlogged(window []sample, light int) []sample {
	kept := make([]sample, len(window))
	for i, s := range window {
		kept[i] = sample{at: s.at, served: s.served[light:]}
	}
	return kept
}

// scaleFigures measures the bytes per second that a node sends and receives to compare
// its pools, the interval between exchanges that results, and the fairness and
// utilisation that remain.
func scaleFigures(seed uint64, zones int) []Figure {
	f := newFleet(scalePlan(zones), seed)
	warm := scaleZoneTime / time.Duration(zones)
	f.runUntil(f.now.Add(warm))
	before := f.traffic
	f.runUntil(f.now.Add(warm))
	passed := warm.Seconds() * float64(zones) / scalePools
	name := fmt.Sprintf("%d zones, %d routers", zones, zones*scaleRouters)
	served := backlogged(f.window(warm, 2*warm), f.lightWorkspaces)
	window := f.window(warm, 2*warm)
	return []Figure{
		{Scenario: name, Name: "compare bytes of a node", Unit: "bytes/s", Pool: 2 * float64(f.traffic.bytes()-before.bytes()) / passed},
		{Scenario: name, Name: "of them offers", Unit: "bytes/s", Pool: 2 * float64(f.traffic.offerBytes-before.offerBytes) / passed},
		{Scenario: name, Name: "estimated over encoded bytes", Unit: "ratio",
			Pool: float64(f.traffic.estimatedBytes-before.estimatedBytes) / float64(f.traffic.bytes()-before.bytes())},
		{Scenario: name, Name: "compare calls of a node", Unit: "1/s", Pool: 2 * float64(f.traffic.calls-before.calls) / passed},
		{Scenario: name, Name: "mean time between exchanges", Unit: "seconds",
			Pool: warm.Seconds() * float64(zones*(zones-1)) / float64(f.traffic.calls-before.calls)},
		{Scenario: name, Name: "fairness gap of the backlogged", Unit: "units by weight", Pool: gap(served)},
		{Scenario: name, Name: "mean service of the backlogged", Unit: "units by weight", Pool: mean(served)},
		{Scenario: name, Name: "utilisation", Unit: "ratio", Pool: f.slotUtilisation(window)},
	}
}
