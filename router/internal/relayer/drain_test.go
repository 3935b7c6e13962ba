package relayer_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// paced returns the script of an engine that waits for a signal after each token, and then ends the answer.
func paced(proceed <-chan struct{}) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		id := r.Header.Get("X-Request-Id")
		for i := range answerTokens {
			event(w, id, i)
			select {
			case <-proceed:
			case <-r.Context().Done():
				return
			}
		}
		finish(w, id)
	}
}

// stop starts a planned stop with a stop limit of ten seconds. The channel gets the error of Drain.
func (tb *testbed) stop() <-chan error {
	stopped := make(chan error, 1)
	ctx, cancel := clockwork.WithTimeout(context.Background(), tb.clock, 10*time.Second)
	tb.Cleanup(cancel)
	go func() { stopped <- tb.relayer.Drain(ctx) }()
	require.Eventually(tb, tb.relayer.Stopping, waitTimeout, time.Millisecond)
	return stopped
}

// Guards against a stop that does not wait for requests in progress, and so truncates answers, and
// against new requests without an answer during the stop. A stop begins in the middle of a stream,
// which continues to its end while a new request is refused.
func TestPlannedStopFinishesStreams(t *testing.T) {
	proceed := make(chan struct{})
	tb := newFakeClockTestbed(t, relayer.Limits{}, paced(proceed))
	from := tb.openStream(t.Context(), chatBody(true))
	_, err := from.ReadString('\n')
	require.NoError(t, err)
	stopped := tb.stop()
	again := tb.stop()

	got := tb.chat(true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "stopping", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.NotEmpty(t, got.headers.Get("Retry-After"))

	for range answerTokens {
		proceed <- struct{}{}
	}
	rest, err := io.ReadAll(from)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	require.NoError(t, receive(t, stopped))
	require.NoError(t, receive(t, again), "a second call must wait for the same stop")
}

// Guards against a stop without a limit, and against connections that are closed cleanly at the limit,
// so that truncated answers look complete. A stop begins while one request waits for a slot and
// another streams; neither ends by itself.
func TestPlannedStopHasLimit(t *testing.T) {
	tb := newFakeClockTestbed(t, relayer.Limits{EndpointStallTimeout: time.Hour}, hangAfter(2, nil))
	from := tb.openStream(t.Context(), chatBody(true))
	_, err := from.ReadString('\n')
	require.NoError(t, err)
	tb.enroller.pause(true)
	waiting := make(chan answer, 1)
	go func() { waiting <- tb.chat(true) }()
	tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 2 })
	stopped := tb.stop()

	require.NoError(t, tb.clock.BlockUntilContext(t.Context(), 5)) // timers: half of the stop limit, the stop limit, two request timeouts, one stall timeout
	tb.clock.Advance(5 * time.Second)
	got := receive(t, waiting)
	require.Equal(t, "stopping", got.failure.Code, "a request granted a slot now would be aborted")
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	tb.clock.Advance(5 * time.Second)
	rest, err := io.ReadAll(from)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NotContains(t, string(rest), "[DONE]")
	require.ErrorIs(t, receive(t, stopped), relayer.ErrAborted)
}

// Guards against requests that are sent to another endpoint late in a planned stop, and aborted at its limit with
// an unknown outcome although they could have been refused as not run.
func TestRequestThatHasNotRunIsRefusedLateInAStop(t *testing.T) {
	kinds := map[string]func(tb *testbed) answer{
		"chat":     func(tb *testbed) answer { return tb.chat(false) },
		"stream":   func(tb *testbed) answer { return tb.chat(true) },
		"call":     func(tb *testbed) answer { return tb.call(http.MethodGet, "/v1/services/safe/", "") },
		"with key": func(tb *testbed) answer { return tb.bid("lot-7", "12") },
	}
	for name, send := range kinds {
		t.Run(name, func(t *testing.T) {
			holding, proceed := make(chan struct{}), make(chan struct{})
			var second atomic.Int64
			tb := newFakeClockTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
				close(holding)
				<-proceed
				refuseUnstarted(w, r, n)
			}, func(w http.ResponseWriter, r *http.Request, n int) {
				second.Add(1)
				healthy(w, r, n)
			})
			got := make(chan answer, 1)
			go func() { got <- send(tb) }()
			receive(t, holding)
			tb.enroller.pause(true)
			waiting := make(chan answer, 1)
			go func() { waiting <- tb.chat(true) }()
			tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 2 })
			stopped := tb.stop()
			require.NoError(t, tb.clock.BlockUntilContext(t.Context(), 4)) // timers: half of the stop limit, the stop limit, two request timeouts
			tb.clock.Advance(5 * time.Second)
			require.Equal(t, "stopping", receive(t, waiting).failure.Code)
			tb.enroller.pause(false)
			close(proceed)
			answer := receive(t, got)
			require.Equal(t, "stopping", answer.failure.Code)
			require.Equal(t, "not-run", answer.headers.Get("X-Outcome"))
			require.NotEmpty(t, answer.headers.Get("Retry-After"))
			require.Zero(t, second.Load())
			require.NoError(t, receive(t, stopped))
		})
	}
}
