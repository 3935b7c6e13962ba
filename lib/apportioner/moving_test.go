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
