package relayer_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// paced sends a token for each signal, and the end after the last.
func paced(proceed <-chan struct{}) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		id := r.Header.Get("X-Request-Id")
		for i := range length {
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

// stop begins a planned stop with a limit of ten seconds.
func (f *fleet) stop() <-chan error {
	stopped := make(chan error, 1)
	ctx, cancel := clockwork.WithTimeout(context.Background(), f.clock, 10*time.Second)
	f.Cleanup(cancel)
	go func() { stopped <- f.relayer.Drain(ctx) }()
	require.Eventually(f, f.relayer.Stopping, patience, time.Millisecond)
	return stopped
}

// Symptom: a restart of a router cuts answers, or loses requests that come
// while it stops. Sequence: a stop is planned in the middle of a stream; new
// requests come; the stream goes on to its end. Cause: a stop that does not wait.
func TestPlannedStopFinishesStreams(t *testing.T) {
	proceed := make(chan struct{})
	f := frozenFleet(t, relayer.Limits{}, paced(proceed))
	from := f.open(t.Context(), chatBody(true))
	_, err := from.ReadString('\n')
	require.NoError(t, err)
	stopped := f.stop()
	again := f.stop()

	got := f.chat(true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "stopping", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.NotEmpty(t, got.headers.Get("Retry-After"))

	for range length {
		proceed <- struct{}{}
	}
	rest, err := io.ReadAll(from)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	require.NoError(t, receive(t, stopped))
	require.NoError(t, receive(t, again), "asked for twice, it is the same stop")
}

// Symptom: a stop takes for ever, or what it cuts looks whole. Sequence: a stop
// is planned while one request waits and another streams; neither ends. Cause: a
// stop without a limit, or one that closes connections cleanly.
func TestPlannedStopHasLimit(t *testing.T) {
	f := frozenFleet(t, relayer.Limits{EndpointStall: time.Hour}, hangs(2, nil))
	from := f.open(t.Context(), chatBody(true))
	_, err := from.ReadString('\n')
	require.NoError(t, err)
	f.enroller.lock.Lock()
	f.enroller.closed = true
	f.enroller.lock.Unlock()
	waiting := make(chan answer, 1)
	go func() { waiting <- f.chat(true) }()
	f.enroller.await(t, "waiting", func() bool { return len(f.enroller.waiting) == 2 })
	stopped := f.stop()

	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 5)) // half of the limit, the limit, two request times, a stall
	f.clock.Advance(5 * time.Second)
	got := receive(t, waiting)
	require.Equal(t, "stopping", got.failure.Code, "it would have been cut if it were granted now")
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	f.clock.Advance(5 * time.Second)
	rest, err := io.ReadAll(from)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NotContains(t, string(rest), "[DONE]")
	require.ErrorIs(t, receive(t, stopped), relayer.ErrCut)
}
