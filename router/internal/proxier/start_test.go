package proxier

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
)

// Guards against clients that are refused with a Retry-After after a power loss, and are late when
// they retry. Their router started 0.1 s ago and has no configuration yet: it must not refuse at once
// a request that it can serve a moment later.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	f := newFixture(t)
	f.endpoint(answerWith("served"))
	first := f.fleetState.table.Swap(nil)
	status := make(chan int, 1)
	go func() {
		response, err := f.send(t.Context(), "POST", "/book/", "")
		if err != nil {
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return f.proxier.Running() == 1 }, waitTimeout, pollInterval)
	f.fleetState.table.Store(first)
	close(f.fleetState.ready)
	require.Equal(t, http.StatusOK, <-status)
}

// Guards against a fifth of the tokens of a workspace with little demand being late: engines prefill the
// prompts of a flood before its own. Requests beyond their workspace's share must be refused if they
// would delay others, even if engines could take them.
func TestRequestsBeyondShareDoNotDelayOthers(t *testing.T) {
	const target = 400 * time.Millisecond
	tests := map[string]struct {
		beyondShare bool
		unread      int // tokens queued at the only engine
		prompt      int
		want        bool
	}{
		"within the share, busy engine":      {false, 100_000, 1000, false},
		"beyond the share, idle engine":      {true, 0, 1000, false},
		"beyond the share, long queue":       {true, 10_000, 1000, true},
		"beyond the share, would be late":    {true, 0, 40_000, true},
		"beyond the share, short queue":      {true, 3000, 1000, false},
		"within the share, known to be late": {false, 0, 1_000_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			id := f.endpoint(answerWith("served"))
			now := time.Now()
			f.balancer.SetOtherLoads(now, map[uint64]balancer.Load{balancer.Key(lister.Listing{ID: id}): {Unread: test.unread}})
			q := &request{received: now, service: "desk", route: &resolver.Route{Target: target}, beyondShare: test.beyondShare}
			q.in.Work = balancer.Work{Model: "m", Prompt: test.prompt, Parts: []balancer.Part{{ID: 1, Tokens: test.prompt}}, Target: target}
			require.Equal(t, test.want, f.proxier.wouldDelayOthers(q))
			require.Empty(t, f.balancer.Loads(), "an estimate changes no state")
		})
	}
}
