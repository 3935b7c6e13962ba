package passer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// Symptom: after a loss of power every client is told to come back a second later, and
// is late. Sequence: its router has started 0.1 s ago and has no configuration yet.
// Cause: it refused at once what it could have served a moment later.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	b := newBed(t)
	b.endpoint(answering("served"))
	first := b.news.table.Swap(nil)
	status := make(chan int, 1)
	go func() {
		response, err := b.try(t.Context(), "POST", "/book/", "")
		if err != nil {
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return b.passer.Running() == 1 }, patience, tick)
	b.news.table.Store(first)
	close(b.news.begun)
	require.Equal(t, http.StatusOK, <-status)
}

// Symptom: a fifth of the tokens of a workspace that asks for little is late. Sequence:
// engines read the prompts of a flood before its own. Cause: whatever engines bore was
// admitted, whether anybody was owed it or not.
func TestSpareRequestsKeepNobodyWaiting(t *testing.T) {
	const target = 400 * time.Millisecond
	tests := map[string]struct {
		spare       bool
		sends       int
		queue, wait time.Duration
		want        bool
	}{
		"owed, at a busy engine":     {false, 0, time.Second, time.Second, false},
		"spare, at an idle engine":   {true, 0, 0, 100 * time.Millisecond, false},
		"spare, others come first":   {true, 0, 150 * time.Millisecond, 200 * time.Millisecond, true},
		"spare, would be late":       {true, 0, 0, 390 * time.Millisecond, true},
		"spare, and has been begun":  {true, 1, time.Second, time.Second, false},
		"spare, a short queue":       {true, 0, 90 * time.Millisecond, 200 * time.Millisecond, false},
		"owed, and known to be late": {false, 0, 0, time.Minute, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := &request{route: &resolver.Route{Target: target}, spare: test.spare, sends: test.sends}
			q.in.Work.Target = target
			require.Equal(t, test.want, (&Passer{}).keepsOthersWaiting(q, &balancer.Slot{Queue: test.queue, Wait: test.wait}))
		})
	}
}
