package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a starved workspace that gets 450 to 750 thousand tokens a second where another
// one with the same demand gets 1,250 to 1,450 thousand.
//
// All clients of the first one reach one router, which lacks processor time and sheds 10 million
// tokens a second; the second one reaches all routers. Engines have headroom, so that the shares
// are stretched far beyond the guaranteed share, and without a bound the spare capacity goes to the
// workspace that can be admitted.
func TestOthersAreBoundedByAStarvedWorkspace(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		capacity = 1_000_000
	)
	tests := map[string]struct {
		routerRate float64 // tokens per second that the router of the first workspace can read
		ratio      float64 // maximum service of the second workspace relative to the first
		least      float64 // minimum service of the second workspace, tokens per second
	}{
		"its router reads a half":  {routerRate: 300_000, ratio: 2, least: capacity * guaranteedStretch / 2},
		"its router reads a tenth": {routerRate: 60_000, ratio: 10, least: 0.85 * capacity * guaranteedStretch / 2},
		"only its share limits it": {routerRate: 1e9, ratio: 1.2, least: 0.85 * capacity * maxStretch / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{now: start, served: make(map[string]float64), refused: make(map[string]int)}
			for range 8 {
				a := &Apportioner{}
				a.SetCapacity(capacity)
				a.SetRouterCount(8)
				f.routers = append(f.routers, a)
			}
			budget, next := 0.0, 0
			for at := time.Duration(0); at < 9*time.Second; at += step {
				if at == 3*time.Second {
					clear(f.served)
				}
				budget = min(budget+test.routerRate*step.Seconds(), test.routerRate*0.1)
				for range 8 {
					f.request(next%8, "spread", 2500) // 2,000,000 tokens per second
					next++
					if budget < 0 {
						f.routers[3].CountShed(f.now, "gathered", 2500)
						continue
					}
					before := f.served["gathered"]
					f.request(3, "gathered", 2500)
					budget -= f.served["gathered"] - before
				}
				f.now = f.now.Add(step)
				if at%(100*time.Millisecond) == 0 {
					f.sendSums()
				}
			}
			require.LessOrEqual(t, f.served["spread"], test.ratio*f.served["gathered"])
			require.GreaterOrEqual(t, f.served["spread"], 6*test.least, "the guaranteed share is served nevertheless")
		})
	}
}

// Guards against a workspace that was starved by its router and is then bounded by what it got
// meanwhile, although its clients have moved to another router.
func TestStarvedWorkspaceIsNotBoundByItsOwnRate(t *testing.T) {
	const (
		capacity   = 1_000_000
		guaranteed = capacity * guaranteedStretch / 3
		stretched  = capacity * maxStretch / 3
	)
	starved := func(got uint64) Use { return Use{Demand: 5e6, Served: got, Shed: 4e6} }
	tests := map[string]struct {
		uses   map[string]Use
		bounds map[string]float64
	}{
		"none is starved": {
			uses:   map[string]Use{"a": {Demand: 5e6}, "b": {Demand: 5e6}, "c": {Demand: 5e6}},
			bounds: map[string]float64{"a": stretched, "b": stretched, "c": stretched},
		},
		"one is starved": {
			uses:   map[string]Use{"a": starved(300_000), "b": {Demand: 5e6}, "c": {Demand: 5e6}},
			bounds: map[string]float64{"a": stretched, "b": maxServiceRatio * 300_000, "c": maxServiceRatio * 300_000},
		},
		"others get their guaranteed share": {
			uses:   map[string]Use{"a": starved(100_000), "b": {Demand: 5e6}, "c": {Demand: 5e6}},
			bounds: map[string]float64{"a": stretched, "b": guaranteed, "c": guaranteed},
		},
		"two are starved": {
			uses:   map[string]Use{"a": starved(300_000), "b": starved(400_000), "c": {Demand: 5e6}},
			bounds: map[string]float64{"a": maxServiceRatio * 400_000, "b": maxServiceRatio * 300_000, "c": maxServiceRatio * 300_000},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a Apportioner
			a.SetCapacity(capacity)
			a.SetFleetUse(start, test.uses, 0)
			for name, bound := range test.bounds {
				require.InDelta(t, bound, a.Shares(name).Maximum, 1, name)
			}
		})
	}
}
