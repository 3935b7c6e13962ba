package relayer_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/retrier"
	"shallotkeel.example/router/internal/relayer"
)

// Guards against the loss of an endpoint that its callers notice: requests that are not retried, and
// resumed answers that start again or skip a token. The first endpoint is unreachable, refuses, or
// breaks at some token; the next one is healthy.
func TestEndpointFailsAndAnotherAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		first       endpoint
		unreachable bool
		endings     []string
		resumes     float64
	}{
		"unreachable":      {first: healthy, unreachable: true, endings: []string{"1 unreachable 0", "2 done 6"}},
		"not started":      {first: refuseUnstarted, endings: []string{"1 refused 0", "2 done 6"}},
		"before the first": {first: crashAfter(0), endings: []string{"1 failed 0", "2 done 6"}},
		"after the first":  {first: crashAfter(1), endings: []string{"1 failed 1", "2 done 5"}, resumes: 1},
		"after the last":   {first: crashAfter(answerTokens), endings: []string{"1 failed 6", "2 done 0"}, resumes: 1},
		"skipped token": {
			first: func(w http.ResponseWriter, r *http.Request, _ int) {
				stream(w, r, 2)
				event(w, r.Header.Get("X-Request-Id"), 3)
				finish(w, r.Header.Get("X-Request-Id"))
			},
			endings: []string{"1 failed 2", "2 done 4"}, resumes: 1,
		},
		"ended too early": {
			first: func(w http.ResponseWriter, r *http.Request, _ int) {
				stream(w, r, 4)
				finish(w, r.Header.Get("X-Request-Id"))
			},
			endings: []string{"1 failed 4", "2 done 2"}, resumes: 1,
		},
		"server error": {
			first:   func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusInternalServerError) },
			endings: []string{"1 failed 0", "2 done 6"},
		},
	} {
		for _, streamed := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", stream ", streamed), func(t *testing.T) {
				tb := newTestbed(t, relayer.Limits{}, test.first, healthy)
				if test.unreachable {
					tb.makeUnreachable(1)
				}
				require.Equal(t, fullAnswer, tb.chat(streamed).text(t))
				require.Equal(t, test.endings, tb.endings(2))
				require.Equal(t, test.resumes, tb.metric("shallotkeel_resumes_total{}"))
				require.Zero(t, tb.metric("shallotkeel_events_dropped_total{reason=repeated}"), "the answer must be resumed, not restarted")
				require.Equal(t, []string{"1"}, tb.enroller.waiting[1].Avoid)
			})
		}
	}
}

// Guards against streams that stall until the request timeout, because a frozen endpoint or a network
// partition breaks no connection. The endpoint stalls before the first token or in the stream.
func TestStalledEndpointIsReplaced(t *testing.T) {
	for name, after := range map[string]int{"before the first token": 0, "in the stream": 3} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{EndpointStallTimeout: 200 * time.Millisecond}, hangAfter(after, nil), healthy)
			require.Equal(t, fullAnswer, tb.chat(true).text(t))
			require.Equal(t, fmt.Sprintf("1 failed %d", after), tb.endings(2)[0])
			require.Zero(t, tb.metric("shallotkeel_suspects{}"), "a stall must not count as a crash")
		})
	}
}

// Guards against parts of another request's answer, and against repeated tokens, because events are
// accepted by their order alone. An answer contains events of another request, repeated events, events
// without a request ID, and malformed ones.
func TestForeignAndRepeatedEventsAreDropped(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, _ int) {
		id := r.Header.Get("X-Request-Id")
		stream(w, r, 2)
		event(w, "another", 2)
		event(w, id, 1)
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"lost\"}}]}\n\ndata: rubbish\n\n")
		for i := 2; i < answerTokens; i++ {
			event(w, id, i)
		}
		finish(w, id)
	})
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
	for _, reason := range []string{"foreign", "repeated", "nameless", "malformed"} {
		require.EqualValues(t, 1, tb.metric("shallotkeel_events_dropped_total{reason="+reason+"}"), reason)
	}
}

// Guards against the relay of an answer whose headers name another request.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("X-Request-Id", "another")
		healthy(w, r, n)
	}, healthy)
	require.Equal(t, "GET / ", tb.call(http.MethodGet, "/v1/services/app/", "").body)
	require.Equal(t, []string{"1 failed", "2 done"}, []string{tb.endings(2)[0][:8], tb.endings(2)[1][:6]})
}

// Guards against connections that are closed as if a truncated answer were complete. The answer breaks,
// and no endpoint can resume it.
func TestTruncatedAnswerIsVisiblyTruncated(t *testing.T) {
	partial := func(w http.ResponseWriter, _ *http.Request, _ int) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	t.Run("stream", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{Attempts: 2}, crashAfter(2), crashAfter(4), healthy)
		got := tb.chat(true)
		require.True(t, got.truncated)
		require.NotContains(t, got.body, "[DONE]")
		if got.headers != nil {
			require.Equal(t, "t0 t1 t2 t3 ", tokens(got.body))
		}
	})
	t.Run("without streaming", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{Attempts: 2}, crashAfter(2), crashAfter(4), healthy)
		got := tb.chat(false)
		require.False(t, got.truncated)
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
		require.Equal(t, "endpoint_failed", got.failure.Code)
	})
	t.Run("plain", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{}, partial, healthy)
		require.True(t, tb.call(http.MethodGet, "/v1/services/app/", "").truncated)
		require.Len(t, tb.endings(1), 1, "an answer of which the caller has a part must not be restarted")
	})
	t.Run("not started anywhere", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{}, refuseUnstarted, refuseUnstarted)
		got := tb.chat(true)
		require.Equal(t, "no_endpoint", got.failure.Code)
		require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
		require.NotEmpty(t, got.headers.Get("Retry-After"))
	})
}

// Guards against retries without a budget, which multiply the load in an outage. All endpoints fail, and
// many requests are retried.
func TestRetryBudgetOfWorkspace(t *testing.T) {
	const requests = 30
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.makeUnreachable(1)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			require.Equal(t, "no_endpoint", tb.call(http.MethodGet, "/v1/services/app/", "").failure.Code)
		})
	}
	group.Wait()
	// Without a budget there would be four attempts per request.
	require.LessOrEqual(t, len(tb.endings(requests)), 2*requests+retrier.DefaultBurst/2)
}

// Guards against a pool with a single endpoint that refuses requests because the failed endpoint is
// avoided although there is no other. The endpoint refuses a request and is healthy a moment later.
func TestOnlyEndpointIsRetried(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			refuseUnstarted(w, r, n)
			return
		}
		healthy(w, r, n)
	})
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
}

// Guards against an engine's error that is written behind the tokens of a chat, which then ends as answered.
func TestErrorIsNotWrittenBehindTokens(t *testing.T) {
	for name, refuse := range map[string]endpoint{
		"bad request": func(w http.ResponseWriter, _ *http.Request, _ int) { http.Error(w, "no", http.StatusBadRequest) },
		"too large": func(w http.ResponseWriter, _ *http.Request, _ int) {
			http.Error(w, "no", http.StatusRequestEntityTooLarge)
		},
		"not started": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("X-Started", "no")
			http.Error(w, "no", http.StatusRequestEntityTooLarge)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{}, crashAfter(2), refuse, healthy)
			require.Equal(t, fullAnswer, tb.chat(true).text(t))
		})
	}
}
