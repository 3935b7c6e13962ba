package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/caller"
)

var (
	stream = caller.Request{Workspace: "w", Token: "t", Kind: caller.Stream, Model: "m", Prompt: "p", Bound: 4}
	whole  = caller.Request{Workspace: "w", Token: "t", Kind: caller.Whole, Model: "m", Prompt: "p", Bound: 4}
	plain  = caller.Request{Workspace: "w", Token: "t", Kind: caller.Plain, Service: "s", Method: http.MethodGet, Path: "/x?y=1"}
)

// events returns a streamed answer with the first tokens that the request must
// yield, followed by end.
func events(tokens int, end string) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", answerer.Token("m", "p\n", i))
	}
	return text.String() + end
}

func answered(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Outcome", "answered")
		_, _ = io.WriteString(w, body)
	}
}

func cut(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answered(body)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func refused(outcome, kind, code string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Outcome", outcome)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"error":{"type":%q,"code":%q,"retry_after_ms":1500}}`, kind, code)
	}
}

func TestEndings(t *testing.T) {
	length := answerer.Length("m", "p\n", 4)
	text := answerer.Text("m", "p\n", 4)
	completion := fmt.Sprintf(`{"choices":[{"message":{"content":%q}}],"usage":{"completion_tokens":%d}}`, text, length)
	tests := map[string]struct {
		request caller.Request
		handler http.HandlerFunc
		want    caller.Ending
		retry   time.Duration
	}{
		"complete stream":                          {request: stream, handler: answered(events(length, "data: [DONE]\n\n")), want: caller.Answered},
		"stream of another request":                {request: stream, handler: answered(events(length+1, "data: [DONE]\n\n")), want: caller.Wrong},
		"stream without its last token":            {request: stream, handler: answered(events(length-1, "data: [DONE]\n\n")), want: caller.Wrong},
		"stream ended cleanly without [DONE]":      {request: stream, handler: answered(events(length, "")), want: caller.Wrong},
		"stream cut by the connection":             {request: stream, handler: cut(events(1, "")), want: caller.Cut},
		"complete answer":                          {request: whole, handler: answered(completion), want: caller.Answered},
		"complete answer to another request":       {request: whole, handler: answered(strings.Replace(completion, text, "x", 1)), want: caller.Wrong},
		"answer cut by the connection":             {request: whole, handler: cut(completion[:9]), want: caller.Cut},
		"plain answer":                             {request: plain, handler: answered(answerer.Plain("GET", "/x?y=1", nil)), want: caller.Answered},
		"plain answer to a path without its query": {request: plain, handler: answered(answerer.Plain("GET", "/x", nil)), want: caller.Wrong},
		"refused as not run":                       {request: plain, handler: refused("not-run", "not_run", "queue_full"), want: caller.NotRun, retry: 1500 * time.Millisecond},
		"failed and may have run":                  {request: plain, handler: refused("unknown", "unknown", "endpoint_failed"), want: caller.Unknown, retry: 1500 * time.Millisecond},
		"refused without X-Outcome":                {request: plain, handler: refused("", "not_run", "queue_full"), want: caller.Unknown, retry: 1500 * time.Millisecond},
		"answer without X-Outcome": {
			request: plain, want: caller.Wrong,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, answerer.Plain("GET", "/x?y=1", nil))
			},
		},
		"no answer": {
			request: plain, want: caller.Missing,
			handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		},
		"no listener": {request: plain, want: caller.Unsent},
		"connection broken before an answer": {
			request: plain, want: caller.Lost,
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			c := caller.Caller{Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Clock: clockwork.NewRealClock(), Timeout: time.Second}
			result := c.Call(t.Context(), server.URL, test.request)
			require.Equal(t, test.want, result.Ending, result.Error)
			require.Equal(t, test.retry, result.Retry)
		})
	}
}

// Guards against runs with the same seed that send different requests: their
// figures could not be compared between two versions.
func TestPlannerDependsOnItsSeedOnly(t *testing.T) {
	mix := caller.Mix{Stream: 1, Whole: 1, Plain: 1, Once: 1, Models: []string{"a", "b"}, Service: "s", Bound: 16, Prompt: 400}
	draw := func(workspace string, seed uint64) (requests []caller.Request) {
		p := caller.NewPlanner(workspace, "t", mix, seed)
		for range 64 {
			requests = append(requests, p.Next())
		}
		return requests
	}
	require.Equal(t, draw("w", 1), draw("w", 1))
	require.NotEqual(t, draw("w", 1), draw("w", 2))
	kinds := make(map[caller.Kind]int)
	keys := make(map[string]bool)
	for _, request := range draw("w", 1) {
		kinds[request.Kind]++
		require.Equal(t, request.Once, request.Key != "")
		require.False(t, request.Once && keys[request.Key], "an idempotency key was drawn twice")
		keys[request.Key] = true
	}
	require.Len(t, kinds, 3)
}

func TestOpenLoopSendsAtItsRateRegardlessOfAnswers(t *testing.T) {
	const rate, duration, step = 200, 500 * time.Millisecond, time.Millisecond
	var arrived atomic.Int64
	gate := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		<-gate
		body, _ := io.ReadAll(r.Body)
		answered(answerer.Plain(r.Method, strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/s"), body))(w, r)
	}))
	defer server.Close()
	clock := clockwork.NewFakeClock()
	recorder := &caller.Recorder{KeepResults: true}
	d := caller.Driver{
		Caller:  &caller.Caller{Client: caller.NewClient(), Clock: clock, Timeout: 30 * time.Second},
		Targets: []string{server.URL}, Seed: 1, Recorder: recorder, MaxOutstanding: 1000,
		Loads: []caller.Load{{Workspace: "w", PerSecond: rate, Mix: caller.Mix{Plain: 1, Once: 1, Service: "s"}}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	for range duration / step {
		require.NoError(t, clock.BlockUntilContext(ctx, 1), "the open loop waits for its next arrival")
		clock.Advance(step)
	}
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	cancel()
	require.Eventually(t, func() bool { return arrived.Load() > rate*int64(duration)/int64(time.Second)-40 }, 30*time.Second, time.Millisecond,
		"an open loop does not wait for answers")
	close(gate)
	<-ended
	summary := recorder.Summary()
	require.InDelta(t, rate*duration.Seconds(), summary.Requests, 40)
	require.Equal(t, summary.Requests, summary.Endings[caller.Answered])
	results, complete := recorder.Results()
	require.True(t, complete)
	require.Len(t, results, summary.Requests)
	require.Zero(t, d.Dropped())
}

// Guards against a closed loop that retries at once and so turns a refusal into a
// flood of requests.
func TestClosedLoopWaitsForRetryAfter(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		refused("not-run", "not_run", "queue_full")(w, r)
	}))
	defer server.Close()
	recorder := &caller.Recorder{}
	d := caller.Driver{
		Caller:  &caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: time.Second},
		Targets: []string{server.URL}, Recorder: recorder,
		Loads: []caller.Load{{Workspace: "w", Backlog: 3, Mix: caller.Mix{Once: 1, Service: "s"}}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	d.Run(ctx)
	require.Equal(t, int64(3), calls.Load())
	require.Equal(t, map[caller.Ending]int{caller.NotRun: 3}, recorder.Summary().Endings)
}

// Guards against counting a request as lost when a router has stopped and accepts
// no connection: the platform's load balancer then sends to the next router. A
// request that may have been sent is not sent again.
func TestDriverTriesTheNextTargetOnlyWhenNothingWasSent(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answered(answerer.Plain(r.Method, strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/s"), nil))(w, r)
	}))
	defer good.Close()
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	tests := map[string]struct {
		targets []string
		ready   func(string) bool
		want    caller.Ending
	}{
		"unreachable, then good":          {targets: []string{gone.URL, good.URL}, want: caller.Answered},
		"all unreachable":                 {targets: []string{gone.URL}, want: caller.Unsent},
		"broken but not ready, then good": {targets: []string{broken.URL, good.URL}, ready: func(t string) bool { return t == good.URL }, want: caller.Answered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := &caller.Recorder{}
			d := caller.Driver{
				Caller:  &caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: time.Second},
				Targets: test.targets, Ready: test.ready, Recorder: recorder, MaxOutstanding: 100,
				Loads: []caller.Load{{Workspace: "w", PerSecond: 100, Mix: caller.Mix{Plain: 1, Service: "s"}}},
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			d.Run(ctx)
			summary := recorder.Summary()
			require.Positive(t, summary.Requests)
			require.Equal(t, map[caller.Ending]int{test.want: summary.Requests}, summary.Endings)
		})
	}
}
