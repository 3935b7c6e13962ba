package commander

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
