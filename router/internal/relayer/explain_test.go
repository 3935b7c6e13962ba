package relayer_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against incomplete histories of retried requests, and against histories that are kept without
// a limit.
func TestExplain(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{ExplainableRequests: 2}, crashAfter(2), healthy)
	const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	got := tb.chat(true, "Traceparent", traceparent)
	require.Contains(t, got.headers.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
	id := got.headers.Get("X-Request-Id")
	explanation, found := tb.relayer.Explain(id)
	require.True(t, found)
	require.Equal(t, "answered", explanation.Outcome)
	require.Equal(t, "house", explanation.Workspace)
	require.Equal(t, "draft-7b", explanation.Model)
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", explanation.Trace)
	var steps []string
	for _, step := range explanation.Steps {
		steps = append(steps, step.Step)
	}
	require.Equal(t, []string{"queued", "granted", "attempt failed", "given back", "retry", "suspect", "granted", "given back"}, steps)
	for range 2 {
		tb.call(http.MethodGet, "/v1/services/app/", "")
	}
	_, found = tb.relayer.Explain(id)
	require.False(t, found, "the oldest ended request is removed")
}

// Guards against waiting requests without an explanation, when the limit of ended requests is reached.
func TestExplainOfWaitingRequest(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{ExplainableRequests: 1}, healthy)
	tb.call(http.MethodGet, "/v1/services/app/", "")
	tb.enroller.paused = true
	go tb.chat(true)
	tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 2 })
	explanation, found := tb.relayer.Explain(tb.enroller.waiting[1].ID)
	require.True(t, found)
	require.Empty(t, explanation.Outcome)
	require.Contains(t, explanation.Why, "waits for a slot")
}

// Guards against the disclosure of a workspace's token to a service, and against callers that pose as
// another workspace, by headers that are forwarded although they are private or set by routers.
func TestHeadersSentToServices(t *testing.T) {
	seen := make(chan http.Header, 1)
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, _ int) {
		seen <- r.Header
		w.Header().Set("X-Outcome", "unknown")
		w.Header().Set("X-Custom", "kept")
	})
	got := tb.call(http.MethodGet, "/v1/services/app/", "", "X-Workspace", "another", "X-Request-Id", "mine", "X-Custom", "kept")
	headers := receive(t, seen)
	require.Empty(t, headers.Get("Authorization"))
	require.Equal(t, "house", headers.Get("X-Workspace"))
	require.Equal(t, got.headers.Get("X-Request-Id"), headers.Get("X-Request-Id"))
	require.Equal(t, "kept", headers.Get("X-Custom"))
	require.Equal(t, "answered", got.headers.Get("X-Outcome"))
	require.Equal(t, "kept", got.headers.Get("X-Custom"))
}

// Guards against labels with names that callers or operators choose, such as those of workspaces,
// models and endpoints: the number of series would grow with the deployment.
func TestMetricsHaveBoundedLabels(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.chat(true)
	tb.chat(false)
	tb.call(http.MethodGet, "/v1/services/none/", "")
	require.EqualValues(t, 2, tb.metric("shallotkeel_requests_total{code=,kind=chat,outcome=answered}"))
	require.EqualValues(t, 1, tb.metric("shallotkeel_requests_total{code=unknown_service,kind=plain,outcome=not-run}"))
	require.EqualValues(t, 2*answerTokens, tb.metric("shallotkeel_tokens_total{}"))
	require.EqualValues(t, 2, tb.metric("shallotkeel_first_token_seconds{}"))
	families, err := tb.registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				require.Contains(t, []string{"kind", "outcome", "code", "reason"}, pair.GetName())
				require.False(t, strings.Contains(pair.GetValue(), "house"))
			}
		}
	}
}
