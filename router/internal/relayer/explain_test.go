package relayer_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

func TestExplain(t *testing.T) {
	f := newFleet(t, relayer.Limits{Explained: 2}, crashes(2), well)
	const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	got := f.chat(true, "Traceparent", traceparent)
	require.Contains(t, got.headers.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
	id := got.headers.Get("X-Request-Id")
	explanation, found := f.relayer.Explain(id)
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
		f.call(http.MethodGet, "/v1/services/app/", "")
	}
	_, found = f.relayer.Explain(id)
	require.False(t, found, "the oldest is forgotten")
}

func TestExplainOfWaitingRequest(t *testing.T) {
	f := newFleet(t, relayer.Limits{Explained: 1}, well)
	f.call(http.MethodGet, "/v1/services/app/", "")
	f.enroller.closed = true
	go f.chat(true)
	f.enroller.await(t, "waiting", func() bool { return len(f.enroller.waiting) == 2 })
	explanation, found := f.relayer.Explain(f.enroller.waiting[1].ID)
	require.True(t, found)
	require.Empty(t, explanation.Outcome)
	require.Contains(t, explanation.Why, "waits for a slot")
}

// Symptom: a service is told a workspace's token, or believes a caller that it
// is another. Sequence: a caller sends its token and headers that routers set.
// Cause: headers that are passed on as they came.
func TestHeadersTowardsServices(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, _ int) {
		seen <- r.Header
		w.Header().Set("X-Outcome", "unknown")
		w.Header().Set("X-Custom", "kept")
	})
	got := f.call(http.MethodGet, "/v1/services/app/", "", "X-Workspace", "another", "X-Request-Id", "mine", "X-Custom", "kept")
	headers := receive(t, seen)
	require.Empty(t, headers.Get("Authorization"))
	require.Equal(t, "house", headers.Get("X-Workspace"))
	require.Equal(t, got.headers.Get("X-Request-Id"), headers.Get("X-Request-Id"))
	require.Equal(t, "kept", headers.Get("X-Custom"))
	require.Equal(t, "answered", got.headers.Get("X-Outcome"))
	require.Equal(t, "kept", got.headers.Get("X-Custom"))
}

// Symptom: the metrics grow with the deployment until nobody can keep them.
// Sequence: requests of many workspaces, models and endpoints. Cause: labels
// with names that callers or operators choose.
func TestMetricsHaveBoundedLabels(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, well)
	f.chat(true)
	f.chat(false)
	f.call(http.MethodGet, "/v1/services/none/", "")
	require.EqualValues(t, 2, f.metric("shallotkeel_requests_total{code=,kind=chat,outcome=answered}"))
	require.EqualValues(t, 1, f.metric("shallotkeel_requests_total{code=unknown_service,kind=plain,outcome=not-run}"))
	require.EqualValues(t, 2*length, f.metric("shallotkeel_tokens_total{}"))
	require.EqualValues(t, 2, f.metric("shallotkeel_first_token_seconds{}"))
	families, err := f.registry.Gather()
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
