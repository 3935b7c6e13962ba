package commander

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/orderer"
)

// newEngine starts an engine that answers orders with the status. It returns the
// engine's address and the requests that it receives.
func newEngine(t *testing.T, status int) (netip.AddrPort, chan string) {
	t.Helper()
	seen := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		seen <- r.Method + " " + r.URL.Path + " " + string(text)
		w.Header().Set("Location", "/elsewhere")
		if r.URL.Path == "/elsewhere" {
			return
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), seen
}

func TestSend(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		want   orderer.Result
	}{
		"accepted":          {http.StatusNoContent, orderer.Accepted},
		"outdated fence":    {http.StatusConflict, orderer.Outdated},
		"the engine failed": {http.StatusInternalServerError, orderer.Unknown},
		"redirected":        {http.StatusFound, orderer.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			at, seen := newEngine(t, test.status)
			ctx, cancel := context.WithTimeout(t.Context(), orderer.OrderTimeout)
			defer cancel()
			sender := NewHTTPSender(clockwork.NewRealClock())
			require.Equal(t, test.want, sender.Send(ctx, orderer.Order{Address: at, Kind: orderer.Load, Model: "m", Fence: 7}))
			require.Equal(t, `POST /control/orders {"fence":7,"order":"load","model":"m"}`, <-seen)
		})
	}
}

// expiredContext has a deadline that has passed and a timer that has not fired yet,
// as right after a process resumes from a stall.
type expiredContext struct {
	context.Context
	deadline time.Time
}

func (l expiredContext) Deadline() (time.Time, bool) { return l.deadline, true }

// Guards against an engine without fencing that obeys a former leaseholder. The
// leaseholder's process stalls before it sends, resumes after the lease has ended,
// and sends before its timers fire; so timers alone must not enforce the deadline.
func TestNothingIsSentAfterAStall(t *testing.T) {
	at, seen := newEngine(t, http.StatusNoContent)
	clock := clockwork.NewFakeClock()
	ctx := expiredContext{Context: t.Context(), deadline: clock.Now().Add(orderer.OrderTimeout)}
	clock.Advance(orderer.OrderTimeout)
	order := orderer.Order{Address: at, Kind: orderer.Load, Model: "m", Fence: 7}
	require.Equal(t, orderer.Unknown, NewHTTPSender(clock).Send(ctx, order))
	require.Empty(t, seen)
}

func TestOrderWithoutDeadlineIsNotSent(t *testing.T) {
	at, seen := newEngine(t, http.StatusNoContent)
	sender := NewHTTPSender(clockwork.NewRealClock())
	require.Equal(t, orderer.Unknown, sender.Send(context.Background(), orderer.Order{Address: at}))
	require.Empty(t, seen)
}

// Guards against an engine that answers an order with bytes that never end: they would be collected in
// memory, or the order would be awaited beyond its deadline.
func TestEndlessAnswerEndsTheOrder(t *testing.T) {
	const maxMemory = 4 << 20
	for name, test := range map[string]struct {
		head, piece string
		want        orderer.Result
	}{
		"status line":     {head: "HTTP/1.1 200 ", piece: "x", want: orderer.Unknown},
		"header line":     {head: "HTTP/1.1 200 OK\r\nName: ", piece: "x", want: orderer.Unknown},
		"header fields":   {head: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n", want: orderer.Unknown},
		"no protocol":     {piece: "x", want: orderer.Unknown},
		"interim answers": {piece: "HTTP/1.1 100 Continue\r\n\r\n", want: orderer.Unknown},
		"body":            {head: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", want: orderer.Accepted},
		"chunk extension": {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", piece: "x", want: orderer.Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer close(ended)
				defer conn.Close()
				_, err = io.WriteString(conn, test.head)
				pieces := []byte(strings.Repeat(test.piece, 1<<10))
				for err == nil {
					_, err = conn.Write(pieces)
				}
			}))
			t.Cleanup(server.Close)
			at := netip.MustParseAddrPort(server.Listener.Addr().String())
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			result := NewHTTPSender(clockwork.NewRealClock()).Send(ctx, orderer.Order{Address: at, Kind: orderer.Load, Model: "m"})
			runtime.ReadMemStats(&after)
			require.Equal(t, test.want, result)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxMemory))
			require.NoError(t, ctx.Err())
			<-ended
		})
	}
}
