package throttler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/throttler"
)

// serve finishes requests at an engine that really runs batch at once, whatever
// it announced: what is beyond waits for its turn.
func serve(t *throttler.Throttler, batch, requests int) {
	const first, service = 50 * time.Millisecond, 2 * time.Second
	for i := range requests {
		wait := time.Duration(0)
		if beyond := t.Window() - batch; beyond > 0 {
			wait = service * time.Duration(beyond) / time.Duration(batch)
		}
		if i == 0 {
			wait = 0
		}
		t.Observe(throttler.Sample{First: first + wait, Took: first + wait + service, Prompt: 100, Full: true})
	}
}

func TestWindowFollowsTheRealBatch(t *testing.T) {
	tests := map[string]struct{ announced, batch, least, most int }{
		"announced truly":        {announced: 8, batch: 8, least: 8, most: 8},
		"announced four times":   {announced: 32, batch: 8, least: 8, most: 12},
		"runs more than it says": {announced: 4, batch: 8, least: 4, most: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var window throttler.Throttler
			window.Resize(test.announced)
			serve(&window, test.batch, 2000)
			require.GreaterOrEqual(t, window.Window(), test.least)
			require.LessOrEqual(t, window.Window(), test.most)
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
