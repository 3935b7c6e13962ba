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

// Guards against a queue without a limit, in which a flooding workspace delays the others, and against
// refusals without a Retry-After. The workspace has as many requests waiting as it may, and sends one
// more.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.enroller.paused = true
	ctx, cancel := context.WithCancel(t.Context())
	for range 2 {
		go tb.callAs(ctx, "club-token", http.MethodGet, "/v1/services/app/", "")
	}
	tb.enroller.await(t, "two waiting", func() bool { return len(tb.enroller.waiting) == 2 })
	got := tb.callAs(t.Context(), "club-token", http.MethodGet, "/v1/services/app/", "")
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.Equal(t, "queue_full", got.failure.Code)
	require.NotEmpty(t, got.headers.Get("Retry-After"))
	require.EqualValues(t, 2, tb.metric("shallotkeel_waiting_requests{}"))
	cancel()
}

// Guards against endpoints that work for disconnected callers, because the cancellation does not reach
// the scheduler or the endpoint. The caller closes its connection while the request waits, runs, or
// streams.
func TestCallerDisconnectEndsTheRequest(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		tb := newTestbed(t, relayer.Limits{}, healthy)
		tb.enroller.paused = true
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan answer, 1)
		go func() { done <- tb.callAs(ctx, "house-token", http.MethodPost, chatPath, chatBody(true)) }()
		tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 1 })
		cancel()
		receive(t, done)
		require.Eventually(t, func() bool { return tb.metric("shallotkeel_waiting_requests{}") == 0 }, waitTimeout, time.Millisecond)
		require.Empty(t, tb.endings(0))
	})
	for name, after := range map[string]int{"before the first token": 0, "in the stream": 3} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 1)
			started := make(chan struct{})
			hang := hangAfter(after, cancelled)
			tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
				close(started)
				hang(w, r, n)
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan answer, 1)
			go func() { done <- tb.callAs(ctx, "house-token", http.MethodPost, chatPath, chatBody(true)) }()
			receive(t, started)
			cancel()
			receive(t, done)
			receive(t, cancelled)
			require.Contains(t, tb.endings(1)[0], "1 cancelled")
		})
	}
}

// Guards against a timeout without an answer, and against the outcome "not run" for a request that has
// run. The request timeout passes while the request waits, runs, or streams.
func TestRequestTimeoutIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		closed  bool
		tokens  int
		stream  bool
		outcome string
	}{
		"in the queue":                   {closed: true, outcome: "not-run"},
		"before the first token":         {stream: true, outcome: "unknown"},
		"in an answer without streaming": {tokens: 3, outcome: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{}, 1)
			tb := newFakeClockTestbed(t, relayer.Limits{EndpointStallTimeout: time.Hour}, func(w http.ResponseWriter, r *http.Request, _ int) {
				stream(w, r, test.tokens)
				started <- struct{}{}
				<-r.Context().Done()
			})
			tb.enroller.paused = test.closed
			done := make(chan answer, 1)
			go func() { done <- tb.chat(test.stream) }()
			if test.closed {
				tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 1 })
			} else {
				receive(t, started)
			}
			tb.clock.Advance(2 * time.Minute)
			got := receive(t, done)
			require.Equal(t, test.outcome, got.headers.Get("X-Outcome"))
			require.Equal(t, "timed_out", got.failure.Code)
			require.Equal(t, http.StatusGatewayTimeout, got.status)
		})
	}
	t.Run("in the stream", func(t *testing.T) {
		tb := newFakeClockTestbed(t, relayer.Limits{EndpointStallTimeout: time.Hour}, hangAfter(3, nil))
		from := tb.openStream(t.Context(), chatBody(true))
		_, err := from.ReadString('\n')
		require.NoError(t, err)
		tb.clock.Advance(2 * time.Minute)
		rest, err := io.ReadAll(from)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the stream must not end cleanly")
		require.NotContains(t, string(rest), "[DONE]")
	})
}

// Guards against callers that do not read their answers and thereby hold slots, by a write without a
// deadline, or memory, by an answer buffered without a limit. A caller asks for a long stream and does
// not read, so that the connection's buffers fill.
func TestStalledCallerLosesItsSlot(t *testing.T) {
	sent := make(chan int, 1)
	tb := newTestbed(t, relayer.Limits{StallTimeout: 300 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		filler := strings.Repeat("x", 64<<10)
		i := 0
		for ; i < 4000 && r.Context().Err() == nil; i++ { // 250 MB, more than all buffers on the path
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"index_of_token\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n",
				r.Header.Get("X-Request-Id"), i, filler); err != nil {
				break
			}
		}
		sent <- i
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(tb.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	body := chatBody(true)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer house-token\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, len(body), body)
	require.NoError(t, err)
	require.Contains(t, tb.endings(1)[0], "1 cancelled")
	require.Less(t, receive(t, sent), 1000, "the endpoint must be slowed down")
}

// Guards against callers that stall while they send a body and thereby hold memory, by a read without a
// deadline, or a slot, granted before the body has arrived.
func TestStalledBodyIsRefused(t *testing.T) {
	for name, path := range map[string]string{"chat": chatPath, "plain": "/v1/services/desk/bids"} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{StallTimeout: 200 * time.Millisecond}, healthy)
			conn, err := net.Dial("tcp", strings.TrimPrefix(tb.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer house-token\r\nContent-Length: 100\r\n\r\n{", path)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.Equal(t, "not-run", response.Header.Get("X-Outcome"))
			require.Empty(t, tb.enroller.waiting)
			require.Eventually(t, func() bool { return tb.metric("shallotkeel_held_bytes{}") == 0 }, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against bodies that are limited individually but not in total: thousands of waiting requests
// with large bodies would exhaust the memory. Waiting bodies fill the limit, and one more arrives.
func TestBodiesAreBoundedTogether(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{TotalBodyBytes: 100 << 10}, healthy)
	tb.enroller.paused = true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	large := strings.Repeat("x", 60<<10)
	go tb.callAs(ctx, "house-token", http.MethodPut, "/v1/services/app/", large)
	tb.enroller.await(t, "waiting", func() bool { return len(tb.enroller.waiting) == 1 })
	got := tb.call(http.MethodPut, "/v1/services/app/", large)
	require.Equal(t, "queue_full", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
}
