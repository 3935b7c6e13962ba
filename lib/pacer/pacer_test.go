package pacer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against a router that answers everything too late for as long as it gets more work than it
// has processor time for, because it does not detect its lateness and keeps taking requests.
func TestLagIsDetected(t *testing.T) {
	tests := map[string]struct {
		late []time.Duration
		lags bool
	}{
		"keeps up":              {late: []time.Duration{time.Millisecond, 0, 2 * time.Millisecond, time.Millisecond}},
		"early":                 {late: []time.Duration{-time.Second, -time.Second}},
		"one sample, very late": {late: []time.Duration{0, 150 * time.Millisecond}, lags: true}, // the requests that have queued up are refused
		"one late sample":       {late: []time.Duration{0, 80 * time.Millisecond, 0}},
		"late repeatedly":       {late: []time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond}, lags: true},
		"lag has ended":         {late: []time.Duration{time.Second, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p Pacer
			for _, late := range test.late {
				p.Observe(late)
			}
			require.Equal(t, test.lags, p.Lags(), p.Lateness())
		})
	}
}

// Guards against lateness that goes undetected: timers fire on time while hundreds of runnable
// goroutines wait for the processor.
func TestRunQueueDelayCounts(t *testing.T) {
	const wait = 60 * time.Millisecond
	clock := clockwork.NewFakeClock()
	p := Pacer{yield: func() { clock.Advance(wait) }}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { p.Run(ctx, clock) })
	for range maxSamples + 1 {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(sampleInterval)
	}
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	cancel()
	group.Wait()
	require.Equal(t, wait, p.minLateness())
	require.True(t, p.Lags())
}
