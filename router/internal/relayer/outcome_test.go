package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Symptom: a flooding workspace makes everybody wait, or is told nothing of when
// to return. Sequence: as many requests wait as the workspace may have waiting;
// one more comes. Cause: a queue without a bound.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, well)
	f.enroller.closed = true
	ctx, cancel := context.WithCancel(t.Context())
	for range 2 {
		go f.callAs(ctx, "club-token", http.MethodGet, "/v1/services/app/", "")
	}
	f.enroller.await(t, "two waiting", func() bool { return len(f.enroller.waiting) == 2 })
	got := f.callAs(t.Context(), "club-token", http.MethodGet, "/v1/services/app/", "")
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.Equal(t, "queue_full", got.failure.Code)
	require.NotEmpty(t, got.headers.Get("Retry-After"))
	require.EqualValues(t, 2, f.metric("shallotkeel_waiting_requests{}"))
	cancel()
}

// Symptom: an endpoint works for callers that have gone. Sequence: the caller
// closes its connection while the request waits, runs, or streams. Cause: a
// cancellation that does not reach the scheduler or the endpoint.
func TestCallerGoesAway(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		f := newFleet(t, relayer.Limits{}, well)
		f.enroller.closed = true
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan answer, 1)
		go func() { done <- f.callAs(ctx, "house-token", http.MethodPost, chatPath, chatBody(true)) }()
		f.enroller.await(t, "waiting", func() bool { return len(f.enroller.waiting) == 1 })
		cancel()
		receive(t, done)
		require.Eventually(t, func() bool { return f.metric("shallotkeel_waiting_requests{}") == 0 }, patience, time.Millisecond)
		require.Empty(t, f.endings(0))
	})
	for name, after := range map[string]int{"before the first token": 0, "in the stream": 3} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 1)
			started := make(chan struct{})
			hang := hangs(after, cancelled)
			f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
				close(started)
				hang(w, r, n)
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan answer, 1)
			go func() { done <- f.callAs(ctx, "house-token", http.MethodPost, chatPath, chatBody(true)) }()
			receive(t, started)
			cancel()
			receive(t, done)
			receive(t, cancelled)
			require.Contains(t, f.endings(1)[0], "1 cancelled")
		})
	}
}

// Symptom: a caller waits without an answer, or is told "not run" of work that
// was done. Sequence: the request's time is over while it waits, runs, or
// streams. Cause: a time limit that does not know how far the request has come.
func TestTimeIsOver(t *testing.T) {
	for name, test := range map[string]struct {
		closed  bool
		tokens  int
		stream  bool
		outcome string
	}{
		"in the queue":           {closed: true, outcome: "not-run"},
		"before the first token": {stream: true, outcome: "unknown"},
		"in a whole answer":      {tokens: 3, outcome: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{}, 1)
			f := frozenFleet(t, relayer.Limits{EndpointStall: time.Hour}, func(w http.ResponseWriter, r *http.Request, _ int) {
				stream(w, r, test.tokens)
				started <- struct{}{}
				<-r.Context().Done()
			})
			f.enroller.closed = test.closed
			done := make(chan answer, 1)
			go func() { done <- f.chat(test.stream) }()
			if test.closed {
				f.enroller.await(t, "waiting", func() bool { return len(f.enroller.waiting) == 1 })
			} else {
				receive(t, started)
			}
			f.clock.Advance(2 * time.Minute)
			got := receive(t, done)
			require.Equal(t, test.outcome, got.headers.Get("X-Outcome"))
			require.Equal(t, "timed_out", got.failure.Code)
			require.Equal(t, http.StatusGatewayTimeout, got.status)
		})
	}
	t.Run("in the stream", func(t *testing.T) {
		f := frozenFleet(t, relayer.Limits{EndpointStall: time.Hour}, hangs(3, nil))
		from := f.open(t.Context(), chatBody(true))
		_, err := from.ReadString('\n')
		require.NoError(t, err)
		f.clock.Advance(2 * time.Minute)
		rest, err := io.ReadAll(from)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "it must not end cleanly")
		require.NotContains(t, string(rest), "[DONE]")
	})
}

// Symptom: slots are held, or memory grows, by callers that do not read.
// Sequence: a caller asks for a long stream and stops reading; the connection's
// buffers fill. Cause: answers buffered without a bound, or a write that waits
// for ever.
func TestStalledCallerLosesItsSlot(t *testing.T) {
	sent := make(chan int, 1)
	f := newFleet(t, relayer.Limits{StallTimeout: 300 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		filler := strings.Repeat("x", 64<<10)
		i := 0
		for ; i < 4000 && r.Context().Err() == nil; i++ { // 250 MB, more than any buffer between
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"index_of_token\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n",
				r.Header.Get("X-Request-Id"), i, filler); err != nil {
				break
			}
		}
		sent <- i
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	body := chatBody(true)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer house-token\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, len(body), body)
	require.NoError(t, err)
	require.Contains(t, f.endings(1)[0], "1 cancelled")
	require.Less(t, receive(t, sent), 1000, "the endpoint was held back")
}

// Symptom: callers that send their bodies slowly fill the memory or hold slots.
// Sequence: a caller sends a part of its body and then nothing. Cause: a body
// that is awaited without a limit, or with a slot in hand.
func TestStalledBodyIsRefused(t *testing.T) {
	for name, path := range map[string]string{"chat": chatPath, "plain": "/v1/services/desk/bids"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, relayer.Limits{StallTimeout: 200 * time.Millisecond}, well)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer house-token\r\nContent-Length: 100\r\n\r\n{", path)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.Equal(t, "not-run", response.Header.Get("X-Outcome"))
			require.Empty(t, f.enroller.waiting)
			require.Eventually(t, func() bool { return f.metric("shallotkeel_held_bytes{}") == 0 }, patience, time.Millisecond)
		})
	}
}

// Symptom: thousands of waiting requests with large bodies exhaust the memory.
// Sequence: the bodies that wait take all that they may; one more comes. Cause:
// a bound for each body and none for all.
func TestBodiesAreBoundedTogether(t *testing.T) {
	f := newFleet(t, relayer.Limits{HeldBytes: 100 << 10}, well)
	f.enroller.closed = true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	large := strings.Repeat("x", 60<<10)
	go f.callAs(ctx, "house-token", http.MethodPut, "/v1/services/app/", large)
	f.enroller.await(t, "waiting", func() bool { return len(f.enroller.waiting) == 1 })
	got := f.call(http.MethodPut, "/v1/services/app/", large)
	require.Equal(t, "queue_full", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
}
