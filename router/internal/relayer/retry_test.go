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

// Symptom: a caller sees the loss of an endpoint, or a join in its answer.
// Sequence: the first endpoint cannot be reached, refuses, or breaks at some
// token, and the next is well. Cause: requests that are not sent again, or
// answers that start again or leave a token out.
func TestEndpointFailsAndAnotherAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		first   endpoint
		gone    bool
		endings []string
		resumes float64
	}{
		"unreachable":      {first: well, gone: true, endings: []string{"1 unreachable 0", "2 done 6"}},
		"not started":      {first: refuses, endings: []string{"1 refused 0", "2 done 6"}},
		"before the first": {first: crashes(0), endings: []string{"1 failed 0", "2 done 6"}},
		"after the first":  {first: crashes(1), endings: []string{"1 failed 1", "2 done 5"}, resumes: 1},
		"after the last":   {first: crashes(length), endings: []string{"1 failed 6", "2 done 0"}, resumes: 1},
		"token left out": {
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
				f := newFleet(t, relayer.Limits{}, test.first, well)
				if test.gone {
					f.unreachable(1)
				}
				require.Equal(t, whole, f.chat(streamed).text(t))
				require.Equal(t, test.endings, f.endings(2))
				require.Equal(t, test.resumes, f.metric("shallotkeel_resumes_total{}"))
				require.Zero(t, f.metric("shallotkeel_events_dropped_total{reason=repeated}"), "resumed, not started again")
				require.Equal(t, []string{"1"}, f.enroller.waiting[1].Avoid)
			})
		}
	}
}

// Symptom: a stream stops for as long as the request may take. Sequence: the
// endpoint is frozen, or the network to it is cut, before the first token or in
// the stream; no connection breaks. Cause: waiting for a break.
func TestFrozenEndpointIsLeft(t *testing.T) {
	for name, after := range map[string]int{"before the first token": 0, "in the stream": 3} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, relayer.Limits{EndpointStall: 200 * time.Millisecond}, hangs(after, nil), well)
			require.Equal(t, whole, f.chat(true).text(t))
			require.Equal(t, fmt.Sprintf("1 failed %d", after), f.endings(2)[0])
			require.Zero(t, f.metric("shallotkeel_suspects{}"), "a freeze is no crash")
		})
	}
}

// Symptom: a caller gets a part of another's answer, or a token twice.
// Sequence: among an answer's events come those of another request, repeated
// ones, and ones after the end. Cause: events taken by their order alone.
func TestForeignAndRepeatedEventsAreDropped(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, _ int) {
		id := r.Header.Get("X-Request-Id")
		stream(w, r, 2)
		event(w, "another", 2)
		event(w, id, 1)
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"lost\"}}]}\n\ndata: rubbish\n\n")
		for i := 2; i < length; i++ {
			event(w, id, i)
		}
		finish(w, id)
	})
	require.Equal(t, whole, f.chat(true).text(t))
	for _, reason := range []string{"foreign", "repeated", "nameless", "malformed"} {
		require.EqualValues(t, 1, f.metric("shallotkeel_events_dropped_total{reason="+reason+"}"), reason)
	}
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("X-Request-Id", "another")
		well(w, r, n)
	}, well)
	require.Equal(t, "GET / ", f.call(http.MethodGet, "/v1/services/app/", "").body)
	require.Equal(t, []string{"1 failed", "2 done"}, []string{f.endings(2)[0][:8], f.endings(2)[1][:6]})
}

// Symptom: callers take a part of an answer for the whole. Sequence: the answer
// breaks and no endpoint can go on with it. Cause: a connection that is closed
// as if the answer had ended.
func TestCutAnswerIsVisiblyCut(t *testing.T) {
	partial := func(w http.ResponseWriter, _ *http.Request, _ int) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	t.Run("stream", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{Attempts: 2}, crashes(2), crashes(4), well)
		got := f.chat(true)
		require.True(t, got.cut)
		require.NotContains(t, got.body, "[DONE]")
		if got.headers != nil {
			require.Equal(t, "t0 t1 t2 t3 ", tokens(got.body))
		}
	})
	t.Run("whole answer", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{Attempts: 2}, crashes(2), crashes(4), well)
		got := f.chat(false)
		require.False(t, got.cut)
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
		require.Equal(t, "endpoint_failed", got.failure.Code)
	})
	t.Run("plain", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{}, partial, well)
		require.True(t, f.call(http.MethodGet, "/v1/services/app/", "").cut)
		require.Len(t, f.endings(1), 1, "an answer of which the caller has a part starts again nowhere")
	})
	t.Run("not started anywhere", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{}, refuses, refuses)
		got := f.chat(true)
		require.Equal(t, "no_endpoint", got.failure.Code)
		require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
		require.NotEmpty(t, got.headers.Get("Retry-After"))
	})
}

// Symptom: retries multiply an outage. Sequence: all endpoints fail, and many
// requests are sent again and again. Cause: retries without a budget.
func TestRetryBudgetOfWorkspace(t *testing.T) {
	const requests = 30
	f := newFleet(t, relayer.Limits{}, well)
	f.unreachable(1)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			require.Equal(t, "no_endpoint", f.call(http.MethodGet, "/v1/services/app/", "").failure.Code)
		})
	}
	group.Wait()
	// Without a budget it would be four times the requests.
	require.LessOrEqual(t, len(f.endings(requests)), 2*requests+retrier.DefaultBurst/2)
}

// Symptom: a pool of one endpoint refuses requests after that endpoint failed
// them once. Sequence: the only endpoint refuses and is well a moment later.
// Cause: avoiding an endpoint though there is no other.
func TestOnlyEndpointIsTriedAgain(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			refuses(w, r, n)
			return
		}
		well(w, r, n)
	})
	require.Equal(t, whole, f.chat(true).text(t))
}
