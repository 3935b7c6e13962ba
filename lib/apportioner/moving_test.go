package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that gets a part of what it is owed at each router that its clients
// turn to, because the rest is kept for them where they were before.
func TestClientsThatTurnToAnotherRouterKeepTheirShare(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		known  = 4 * time.Second
		length = 28 * time.Second
		owed   = 500_000 // tokens a second of each
	)
	tests := map[string]struct {
		stays   time.Duration // at each router
		reports time.Duration
		least   float64 // of what is owed
	}{
		"they stay":               {stays: time.Hour, reports: 500 * time.Millisecond, least: 0.95},
		"they turn now and then":  {stays: 3500 * time.Millisecond, reports: 500 * time.Millisecond, least: 0.8},
		"they turn, heard sooner": {stays: 3500 * time.Millisecond, reports: 200 * time.Millisecond, least: 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, 2*owed/stretchOwed*stretchLeast)
			for at := time.Duration(0); at < length; at += step {
				if at == known {
					clear(f.served)
				}
				for i := range 8 {
					f.ask(int(at/test.stays)%len(f.routers), "gathered", 5000)
					f.ask((int(at/step)+i)%len(f.routers), "spread", 2500)
				}
				f.now = f.now.Add(step)
				if f.now.Sub(f.told) >= test.reports {
					f.tell()
				}
			}
			require.Greater(t, f.served["gathered"], test.least*owed*(length-known).Seconds())
			require.Less(t, f.served["gathered"], 1.25*owed*(length-known).Seconds())
		})
	}
}

// Guards against clients that are sent to another router although this one brings out what is due.
func TestOnlyWhoGetsTooLittleIsUnheard(t *testing.T) {
	const capacity, owed = 1_000_000, 1_000_000 * stretchOwed / 2
	tests := map[string]struct {
		got  float64 // of what is owed
		want bool
	}{
		"nothing":           {got: 0, want: true},
		"half":              {got: 0.5, want: true},
		"most of it":        {got: 0.9, want: true},
		"what is owed":      {got: 1},
		"more than is owed": {got: 1.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a Apportioner
			a.Capacity(capacity)
			a.Ask(start, "waits", 10_000)
			now := start
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				a.Ask(now, "waits", 100_000)
				a.Demand(now, map[string]Use{"waits": {Asked: 2e6, Got: uint64(test.got * owed), Unheard: 1e6}, "other": {Asked: 2e6, Got: owed}}, 0)
			}
			here, fleet := a.Unheard(now)
			require.Equal(t, test.want, here > 0)
			require.Equal(t, test.want, fleet > 0)
		})
	}
}
