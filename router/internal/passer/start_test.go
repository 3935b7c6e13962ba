package passer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
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
		spare  bool
		unread int // at the only engine
		prompt int
		want   bool
	}{
		"owed, at a busy engine":     {false, 100_000, 1000, false},
		"spare, at an idle engine":   {true, 0, 1000, false},
		"spare, others come first":   {true, 10_000, 1000, true},
		"spare, would be late":       {true, 0, 40_000, true},
		"spare, a short queue":       {true, 3000, 1000, false},
		"owed, and known to be late": {false, 0, 1_000_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			id := b.endpoint(answering("served"))
			now := time.Now()
			b.balance.SetOtherLoads(now, map[uint64]int{balancer.Key(lister.Listing{ID: id}): test.unread})
			q := &request{received: now, service: "desk", route: &resolver.Route{Target: target}, spare: test.spare}
			q.in.Work = balancer.Work{Model: "m", Prompt: test.prompt, Parts: []balancer.Part{{ID: 1, Tokens: test.prompt}}, Target: target}
			require.Equal(t, test.want, b.passer.keepsOthersWaiting(q))
			require.Empty(t, b.balance.UnreadTokens(), "nothing is noted of what is only asked")
		})
	}
}
