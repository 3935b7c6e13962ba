package pacer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Symptom: a router that is given more work than it has processor time for
// answers everything too late, for as long as the work comes. Cause: it went on
// taking requests, because nothing told it that it was late.
func TestLagIsNoticed(t *testing.T) {
	tests := map[string]struct {
		late []time.Duration
		lags bool
	}{
		"keeps up":             {late: []time.Duration{time.Millisecond, 0, 2 * time.Millisecond, time.Millisecond}},
		"early":                {late: []time.Duration{-time.Second, -time.Second}},
		"one look, very late":  {late: []time.Duration{0, 150 * time.Millisecond}, lags: true}, // what has gathered is refused
		"one late look":        {late: []time.Duration{0, 80 * time.Millisecond, 0}},
		"late again and again": {late: []time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond}, lags: true},
		"it has recovered":     {late: []time.Duration{time.Second, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p Pacer
			for _, late := range test.late {
				p.Look(late)
			}
			require.Equal(t, test.lags, p.Lags(), p.Late())
		})
	}
}

// Guards against lateness that is not seen: timers fire on time while hundreds of goroutines
// wait for their turn.
func TestTimeUntilItsTurnCounts(t *testing.T) {
	const wait = 60 * time.Millisecond
	clock := clockwork.NewFakeClock()
	p := Pacer{yield: func() { clock.Advance(wait) }}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { p.Run(ctx, clock) })
	for range mostLooks + 1 {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(step)
	}
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	cancel()
	group.Wait()
	require.Equal(t, wait, p.standing())
	require.True(t, p.Lags())
}
