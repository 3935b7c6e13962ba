package passer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

func TestRefusedRequestsAreRemembered(t *testing.T) {
	start := time.Unix(1000, 0)
	var r returns
	require.Equal(t, start, r.first(start, 7), "it is new")
	r.refused(start, 7, start)
	later := start.Add(400 * time.Millisecond)
	require.Equal(t, start, r.first(later, 7))
	require.Equal(t, later, r.first(later, 8), "another one is new")
	require.Equal(t, start, r.first(start.Add(returnsSpan), 7), "a span later it is still known")
	end := start.Add(3 * returnsSpan)
	require.Equal(t, end, r.first(end, 7), "and then forgotten")
}

func TestRefusedRequestsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var r returns
	for name := range uint64(3 * maxReturns) {
		r.refused(start, name+1, start)
	}
	require.LessOrEqual(t, len(r.young), maxReturns)
}

func TestNamesTellPromptsApart(t *testing.T) {
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
	require.Equal(t, nameOf(one), nameOf(again))
	require.NotEqual(t, nameOf(one), nameOf(other))
	require.Zero(t, nameOf(plain), "calls of plain services look alike")
}

// Symptom: seven in ten answers of a workspace that floods a router are late, though
// engines answer at once. Sequence: its requests are refused, come back half a
// second later and are served, while new ones are refused in their place.
// Cause: those that are late already went before those that could be in time.
func TestNewRequestsGoBeforeThoseThatComeBack(t *testing.T) {
	p := &Passer{}
	p.options.Most = 10
	p.options.Lags = func() bool { return true }
	route := &resolver.Route{Target: 250 * time.Millisecond}
	now := time.Unix(1000, 0)
	fresh := &request{route: route, workspace: "club", received: now, came: now}
	require.False(t, p.busy(fresh))
	back := &request{route: route, workspace: "club", received: now, came: now.Add(-400 * time.Millisecond)}
	require.True(t, p.busy(back))
	soon := &request{route: route, workspace: "club", received: now, came: now.Add(-70 * time.Millisecond)}
	require.False(t, p.busy(soon), "it can still be in time")
}
