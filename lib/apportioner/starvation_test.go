package apportioner

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that is starved all the time and gets, over six seconds, a little less
// than half of what the best served workspace gets.
//
// All of its clients reach one router, which can read a part of its guaranteed share. The others
// reach all routers. They have spent the spare capacity of engines before the first one began, or
// have their peaks one after another, so that a different one of them is served best in each
// second. Some of the requests that the first one's router admits never start. A bound on each of
// the others by a multiple of the first one's admission rate in the last second would ignore all of
// this.
func TestStarvedWorkspaceGetsHalfOfTheBestOverSeconds(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		capacity = 1_000_000
		window   = 6
	)
	tests := map[string]struct {
		routerRate float64       // tokens per second that the router of the first workspace can read
		fails      float64       // part of its admitted requests that does not start
		others     int           // number of workspaces that reach all routers
		wave       time.Duration // length of the others' demand peaks, one after another
		idle       int           // requests of each other workspace per 10 ms outside of its peak
		begins     int           // second in which the first workspace begins
	}{
		"one other":                        {routerRate: 350_000, others: 1, wave: time.Second, idle: 3},
		"one other that began earlier":     {routerRate: 350_000, others: 1, begins: 5},
		"three others that began earlier":  {routerRate: 300_000, others: 3, wave: 2 * time.Second, idle: 3, begins: 5},
		"three others, in waves":           {routerRate: 250_000, others: 3, wave: time.Second, idle: 3},
		"three others, in turn":            {routerRate: 400_000, others: 3, wave: time.Second},
		"three others, in longer turns":    {routerRate: 400_000, others: 3, wave: 2 * time.Second},
		"three others, in longer waves":    {routerRate: 250_000, others: 3, wave: 3 * time.Second, idle: 3},
		"a tenth does not start":           {routerRate: 350_000, others: 2, wave: 2 * time.Second, idle: 3, fails: 0.1, begins: 5},
		"a third does not start, no waves": {routerRate: 450_000, others: 1, fails: 0.33},
		"half does not start":              {routerRate: 700_000, others: 2, fails: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, capacity*minStretch)
			f.backlog = 0
			served := make([]map[string]float64, 16) // by second
			for i := range served {
				served[i] = make(map[string]float64)
			}
			budget, next, lost := 0.0, 0, 0.0
			for at := time.Duration(0); at < time.Duration(len(served))*time.Second; at += step {
				second := served[int(at/time.Second)]
				budget = min(budget+test.routerRate*step.Seconds(), test.routerRate*0.1)
				for other := range test.others {
					requests := 8
					if test.wave > 0 && int(at/test.wave)%(test.others+1) != other {
						requests = test.idle
					}
					workspace := fmt.Sprint("spread-", other)
					for range requests {
						before := f.served[workspace]
						f.request(next%8, workspace, 2500)
						next++
						second[workspace] += f.served[workspace] - before
					}
				}
				for range 8 {
					if at < time.Duration(test.begins)*time.Second {
						break
					}
					if budget < 0 {
						f.routers[3].CountShed(f.now, "gathered", 2500)
						continue
					}
					if !f.admit(3, "gathered", 2500) {
						continue
					}
					budget -= 2500
					lost += test.fails * 2500
					if lost < 2500 {
						f.routers[3].CountServed(f.now, "gathered", 2500)
						second["gathered"] += 2500
						continue
					}
					lost -= 2500
					f.routers[3].Refund("gathered", 2500, false)
				}
				f.now = f.now.Add(step)
				if at%(100*time.Millisecond) == 0 {
					f.sendSums()
				}
			}
			for from := max(4, test.begins); from+window <= len(served); from++ {
				got, best := 0.0, 0.0
				for _, second := range served[from : from+window] {
					got += second["gathered"]
					most := 0.0
					for _, tokens := range second {
						most = max(most, tokens)
					}
					best += most
				}
				require.Greater(t, got, 0.5*best, "it should get half of the best from second %d on", from)
			}
		})
	}
}

// Guards against a starved workspace that gets 0.47 of what the best served one gets, over six
// seconds. All of its clients reach one router, which is more and more overloaded and reads less in
// each second; others have as much demand at all routers. The bound on the others must not follow
// an average over more than a second of the starved workspace's service rate without a correction
// for the delay.
func TestBoundFollowsARouterThatSlowsDown(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		capacity = 3_000_000
		from     = 3 // second from which on the workspaces are compared
	)
	routerRates := []float64{1.3e6, 1.3e6, 1.3e6, 0.7e6, 0.7e6, 0.4e6, 0.6e6, 0.3e6, 0.3e6} // tokens per second, by second
	tests := map[string]struct{ others int }{"four others": {4}, "eight others": {8}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, capacity*minStretch)
			f.backlog = 0
			got, best, budget, next := 0.0, 0.0, 0.0, 0
			for second, routerRate := range routerRates {
				before := maps.Clone(f.served)
				for range int(time.Second / step) {
					for other := range test.others {
						for range 8 {
							f.request(next%8, fmt.Sprint("spread-", other), 2500)
							next++
						}
					}
					budget = min(budget+routerRate*step.Seconds(), routerRate*0.1)
					for range 12 {
						if budget < 0 {
							f.routers[3].CountShed(f.now, "gathered", 2500)
							continue
						}
						served := f.served["gathered"]
						f.request(3, "gathered", 2500)
						budget -= f.served["gathered"] - served
					}
					f.now = f.now.Add(step)
					if f.now.Sub(f.sumsAt) >= 200*time.Millisecond {
						f.sendSums()
					}
				}
				if second < from {
					continue
				}
				most := 0.0
				for name, tokens := range f.served {
					most = max(most, tokens-before[name])
				}
				got += f.served["gathered"] - before["gathered"]
				best += most
			}
			require.Greater(t, got, 0.5*best, "it should get half of the best")
		})
	}
}
