package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a full router that cannot tell a flood from a workspace that is owed what it asks for:
// both would be refused, and told to come back as late.
func TestStandingFollowsTheGuaranteedShare(t *testing.T) {
	const capacity = 1_000_000
	tests := map[string]struct {
		capacity float64
		use      map[string]Use
		spent    float64 // tokens of the workspace that this router has admitted
		want     Standing
	}{
		"no shares apply":                     {want: Standing{Owed: true}},
		"no sums yet":                         {capacity: capacity, want: Standing{Owed: true, Underserved: true}},
		"less than the share":                 {capacity: capacity, use: map[string]Use{"w": {Demand: 1000, Served: 1000}}, spent: 1e6, want: Standing{Owed: true, Underserved: true}},
		"a flood that gets its share":         {capacity: capacity, use: map[string]Use{"w": {Demand: 9e6, Served: 2e6}}, spent: 3e6, want: Standing{}},
		"a flood that gets little":            {capacity: capacity, use: map[string]Use{"w": {Demand: 9e6, Served: 1000}}, want: Standing{Owed: true, Underserved: true}},
		"a flood that gets little, but here":  {capacity: capacity, use: map[string]Use{"w": {Demand: 9e6, Served: 1000}}, spent: 3e6, want: Standing{Underserved: true}},
		"a flood with its part left unspent":  {capacity: capacity, use: map[string]Use{"w": {Demand: 9e6, Served: 2e6}}, want: Standing{Owed: true}},
		"another workspace floods the router": {capacity: capacity, use: map[string]Use{"x": {Demand: 9e6, Served: 2e6}, "w": {Demand: 10}}, want: Standing{Owed: true, Underserved: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a Apportioner
			now := time.Unix(1000, 0)
			a.SetCapacity(test.capacity)
			a.SetRouterCount(1)
			// The demand arrives here, so that the whole share is this router's.
			if demand := float64(test.use["w"].Demand); demand > 0 {
				a.Admit(now, "w", demand/asRate(1, halfLife), false)
				now = now.Add(sumsAge)
			}
			if test.use != nil {
				a.SetFleetUse(now, test.use, time.Second)
			}
			a.Standing(now, "w") // what was spent before the bound becomes a debt here
			now = now.Add(time.Minute)
			if test.use != nil {
				a.SetFleetUse(now, test.use, time.Second)
			}
			for spent := 0.0; spent < test.spent; spent += 1000 {
				a.Admit(now, "w", 1000, false)
			}
			require.Equal(t, test.want, a.Standing(now, "w"))
			require.Equal(t, test.want, a.Standing(now, "w"), "nothing is spent")
		})
	}
}

// Guards against a flood whose refused clients are told by turns to retry at once and to wait, because
// the service that the fleet gives it varies from one report to the next.
func TestStandingDoesNotFollowShortDips(t *testing.T) {
	const reports, guaranteed = 100 * time.Millisecond, 1_000_000 * guaranteedStretch / 2
	tests := map[string]struct {
		before, now float64 // parts of the guaranteed share that the fleet serves
		length      time.Duration
		want        bool
	}{
		"a dip":               {before: 1.5, length: 2 * reports},
		"a rise":              {before: 0.1, now: 1.1, length: reports},
		"a lasting fall":      {before: 1.5, length: time.Minute, want: true},
		"little all the time": {before: 0.5, now: 0.5, length: time.Minute, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a Apportioner
			a.SetCapacity(1_000_000)
			now := time.Unix(1000, 0)
			serve := func(length time.Duration, part float64) {
				for range length / reports {
					now = now.Add(reports)
					a.SetFleetUse(now, map[string]Use{"w": {Demand: 9e6, Served: uint64(part * guaranteed)}, "other": {Demand: 9e6, Served: guaranteed}}, 0)
				}
			}
			serve(time.Minute, test.before)
			serve(test.length, test.now)
			require.Equal(t, test.want, a.Standing(now, "w").Underserved)
		})
	}
}
