package policy

import (
	"fmt"
	"time"
)

// Sizes of the target that one service in one zone has its share of.
const (
	scaleRouters    = 22 // a zone
	scaleEngines    = 23 // a zone
	scaleSlots      = 23
	scaleWorkspaces = 320
	scaleBacklogged = 32
	scaleDepth      = 64
	// scaleWork is the zones times the time for which a run warms up, and then
	// measures: more zones cost more to simulate.
	scaleWork = 600 * time.Second
	// scalePools is how many pools a busy node schedules at a time; 513 pools on
	// 410 nodes make 1.25 on average.
	scalePools = 2
	// scaleThink lets those that are not backlogged use about half of the slots.
	scaleThink = 600 * time.Millisecond
)

// scalePlan is one service of the target, by zones: 320 workspaces of which a
// tenth is backlogged, each at one router; the others' requests arrive anywhere.
func scalePlan(zones int) plan {
	p := plan{
		zones: zones, routers: scaleRouters * zones, engines: scaleEngines * zones, slots: scaleSlots, pools: scalePools,
		depth: scaleDepth, liar: -1, work: tokens(), light: scaleWorkspaces - scaleBacklogged,
		think: scaleThink * targetZones / time.Duration(zones),
	}
	p.perUnit = 48 * time.Millisecond
	p.weights = make([]float64, scaleWorkspaces)
	p.cost = make([]uint32, scaleWorkspaces)
	for i := range p.weights {
		p.weights[i] = 1
		p.cost[i] = 110 << (i % 3)
	}
	p.place = func(workspace, n, routers int) int {
		if workspace < p.light {
			return (workspace*7 + n*131) % routers
		}
		return workspace * workspace % routers
	}
	return p
}

const targetZones = 19

// scaleZones are the numbers of zones that show the slope.
func scaleZones() []int { return []int{3, 7, targetZones} }

// backlogged leaves out the workspaces that do not wait all the time.
func backlogged(window []sample, light int) []sample {
	kept := make([]sample, len(window))
	for i, s := range window {
		kept[i] = sample{at: s.at, served: s.served[light:]}
	}
	return kept
}

// scaleFigures are the bytes a second that a node sends and receives to compare its
// pools, how rare that makes exchanges, and what is left of the shares.
func scaleFigures(seed uint64, zones int) []Figure {
	f := newFleet(scalePlan(zones), seed)
	warm := scaleWork / time.Duration(zones)
	f.until(f.now.Add(warm))
	before := f.traffic
	f.until(f.now.Add(warm))
	passed := warm.Seconds() * float64(zones) / scalePools
	name := fmt.Sprintf("%d zones, %d routers", zones, zones*scaleRouters)
	served := backlogged(f.window(warm, 2*warm), f.light)
	window := f.window(warm, 2*warm)
	return []Figure{
		{Scenario: name, Name: "compare bytes of a node", Unit: "bytes/s", Pool: 2 * float64(f.traffic.bytes()-before.bytes()) / passed},
		{Scenario: name, Name: "of them offers", Unit: "bytes/s", Pool: 2 * float64(f.traffic.asked-before.asked) / passed},
		{Scenario: name, Name: "estimated over encoded bytes", Unit: "ratio",
			Pool: float64(f.traffic.estimated-before.estimated) / float64(f.traffic.bytes()-before.bytes())},
		{Scenario: name, Name: "compare calls of a node", Unit: "1/s", Pool: 2 * float64(f.traffic.calls-before.calls) / passed},
		{Scenario: name, Name: "mean time between exchanges", Unit: "seconds",
			Pool: warm.Seconds() * float64(zones*(zones-1)) / float64(f.traffic.calls-before.calls)},
		{Scenario: name, Name: "fairness gap of the backlogged", Unit: "units by weight", Pool: gap(served)},
		{Scenario: name, Name: "mean service of the backlogged", Unit: "units by weight", Pool: mean(served)},
		{Scenario: name, Name: "utilisation", Unit: "ratio", Pool: f.busyShare(window)},
	}
}
