package throttler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/throttler"
)

// serve simulates requests at an engine that actually runs batch requests at once, whatever it
// announced: requests beyond that wait in its queue.
func serve(t *throttler.Throttler, batch, requests int) {
	const first, service = 50 * time.Millisecond, 2 * time.Second
	for i := range requests {
		wait := time.Duration(0)
		if excess := t.Window() - batch; excess > 0 {
			wait = service * time.Duration(excess) / time.Duration(batch)
		}
		if i == 0 {
			wait = 0
		}
		t.Observe(throttler.Sample{First: first + wait, Took: first + wait + service, Prompt: 100, Full: true})
	}
}

func TestWindowFollowsTheRealBatch(t *testing.T) {
	tests := map[string]struct{ announced, batch, atLeast, atMost int }{
		"announced correctly":            {announced: 8, batch: 8, atLeast: 8, atMost: 8},
		"announced four times the batch": {announced: 32, batch: 8, atLeast: 8, atMost: 12},
		"runs more than announced":       {announced: 4, batch: 8, atLeast: 4, atMost: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var window throttler.Throttler
			window.Resize(test.announced)
			serve(&window, test.batch, 2000)
			require.GreaterOrEqual(t, window.Window(), test.atLeast)
			require.LessOrEqual(t, window.Window(), test.atMost)
		})
	}
}

func TestWindowStaysWithinTheSlots(t *testing.T) {
	var window throttler.Throttler
	require.Zero(t, window.Window())
	window.Resize(4)
	for range 10 {
		window.Refused()
	}
	require.Equal(t, 1, window.Window())
	window.Resize(2)
	require.Equal(t, 1, window.Window())
	serve(&window, 8, 100)
	require.Equal(t, 2, window.Window())
	window.Resize(0)
	require.Zero(t, window.Window())
}
