package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace whose clients move between routers and that gets only a part of its
// guaranteed share at each of them, because the rest is reserved at the earlier routers.
func TestClientsThatMoveToAnotherRouterKeepTheirShare(t *testing.T) {
	const (
		step       = 10 * time.Millisecond
		known      = 4 * time.Second
		length     = 28 * time.Second
		guaranteed = 500_000 // tokens per second of each workspace
	)
	tests := map[string]struct {
		stays   time.Duration // time that clients stay at each router
		reports time.Duration
		least   float64 // part of the guaranteed share
	}{
		"clients stay":                  {stays: time.Hour, reports: 500 * time.Millisecond, least: 0.95},
		"clients move":                  {stays: 3500 * time.Millisecond, reports: 500 * time.Millisecond, least: 0.8},
		"clients move, shorter reports": {stays: 3500 * time.Millisecond, reports: 200 * time.Millisecond, least: 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, 2*guaranteed/guaranteedStretch*minStretch)
			for at := time.Duration(0); at < length; at += step {
				if at == known {
					clear(f.served)
				}
				for i := range 8 {
					f.request(int(at/test.stays)%len(f.routers), "gathered", 5000)
					f.request((int(at/step)+i)%len(f.routers), "spread", 2500)
				}
				f.now = f.now.Add(step)
				if f.now.Sub(f.sumsAt) >= test.reports {
					f.sendSums()
				}
			}
			require.Greater(t, f.served["gathered"], test.least*guaranteed*(length-known).Seconds())
			require.Less(t, f.served["gathered"], 1.25*guaranteed*(length-known).Seconds())
		})
	}
}

// Guards against clients that are sent to another router although their workspace gets its
// guaranteed share at this one.
func TestOnlyUnderservedWorkspacesCountAsShed(t *testing.T) {
	const capacity, guaranteed = 1_000_000, 1_000_000 * guaranteedStretch / 2
	tests := map[string]struct {
		got  float64 // part of the guaranteed share
		want bool
	}{
		"nothing":              {got: 0, want: true},
		"half":                 {got: 0.5, want: true},
		"most of the share":    {got: 0.9, want: true},
		"the guaranteed share": {got: 1},
		"more than the share":  {got: 1.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a Apportioner
			a.SetCapacity(capacity)
			a.CountShed(start, "waits", 10_000)
			now := start
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				a.CountShed(now, "waits", 100_000)
				a.SetFleetUse(now, map[string]Use{"waits": {Demand: 2e6, Served: uint64(test.got * guaranteed), Shed: 1e6}, "other": {Demand: 2e6, Served: guaranteed}}, 0)
			}
			here, fleet := a.ShedRates(now)
			require.Equal(t, test.want, here > 0)
			require.Equal(t, test.want, fleet > 0)
		})
	}
}
