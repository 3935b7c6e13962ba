package proxier

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// Guards against a retry that is taken for a new request, and a refusal that is remembered forever.
func TestRefusedRequestsAreRemembered(t *testing.T) {
	start := time.Unix(1000, 0)
	var r retryTracker
	require.Equal(t, start, r.firstReceived(start, 7), "the request is new")
	r.remember(start, 7, start)
	later := start.Add(400 * time.Millisecond)
	require.Equal(t, start, r.firstReceived(later, 7))
	require.Equal(t, later, r.firstReceived(later, 8), "another request is new")
	require.Equal(t, start, r.firstReceived(start.Add(retrySpan), 7), "it is still known one span later")
	end := start.Add(3 * retrySpan)
	require.Equal(t, end, r.firstReceived(end, 7), "it is forgotten after three spans")
}

// Guards against a flood of refusals that uses up memory.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var r retryTracker
	for name := range uint64(3 * maxRememberedRefusals) {
		r.remember(start, name+1, start)
	}
	require.LessOrEqual(t, len(r.current), maxRememberedRefusals)
}

// Guards against different prompts that share a retry key, and a retry under another id that gets a different one.
func TestRetryKeysDistinguishPrompts(t *testing.T) {
	work := func(last uint64) balancer.Work {
		return balancer.Work{Model: "m", Prompt: 100, Output: 10, Parts: []balancer.Part{{ID: 1, Tokens: 50}, {ID: last, Tokens: 50}}}
	}
	one := &request{http: &http.Request{Host: "h"}, target: "/a/"}
	one.in.Work = work(2)
	again := &request{http: &http.Request{Host: "h"}, target: "/a/"}
	again.in.Work, again.in.ID = work(2), "another id"
	other := &request{http: &http.Request{Host: "h"}, target: "/a/"}
	other.in.Work = work(3)
	plain := &request{http: &http.Request{Host: "h"}, target: "/a/"}
	require.Equal(t, retryKeyOf(one), retryKeyOf(again))
	require.NotEqual(t, retryKeyOf(one), retryKeyOf(other))
	require.Zero(t, retryKeyOf(plain), "calls of plain services cannot be identified")
}

// Guards against seven in ten answers of a workspace that floods a router being late although the
// engines answer at once: its requests are refused, retried half a second later and served, while new
// requests are refused in their place. Retries that are already late must not go before requests
// that can still be in time.
func TestNewRequestsGoBeforeLateRetries(t *testing.T) {
	p := &Proxier{}
	p.options.MaxRequests = 10
	p.options.CPUStarved = func() bool { return true }
	route := &resolver.Route{Target: 250 * time.Millisecond}
	now := time.Unix(1000, 0)
	fresh := &request{route: route, workspace: "club", received: now, firstReceived: now}
	require.False(t, p.busy(fresh))
	back := &request{route: route, workspace: "club", received: now, firstReceived: now.Add(-400 * time.Millisecond)}
	require.True(t, p.busy(back))
	soon := &request{route: route, workspace: "club", received: now, firstReceived: now.Add(-70 * time.Millisecond)}
	require.False(t, p.busy(soon), "the retry can still be in time")
}
