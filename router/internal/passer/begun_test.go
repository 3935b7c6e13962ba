package passer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that is taken to get what was let in for clients that left: others
// would go further beyond it than is promised.
func TestOnlyWhatBeginsIsGot(t *testing.T) {
	tests := map[string]struct {
		serve func(conn net.Conn, request *http.Request)
		leave bool // the client leaves once the endpoint has the request
		got   bool
	}{
		"whole stream": {got: true, serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 3)
			endStream(conn)
		}},
		"nothing but its head": {serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 0)
			cut(conn, request)
		}},
		"its client leaves":        {leave: true, serve: func(net.Conn, *http.Request) {}},
		"the endpoint has no room": {serve: shed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.news.table.Store(engineTable(t))
			b.shares.SetCapacity(1e6)
			ctx, cancel := context.WithCancel(t.Context())
			b.endpoint(func(conn net.Conn, request *http.Request) {
				if test.leave {
					cancel()
				}
				test.serve(conn, request)
			})
			response, err := b.try(ctx, "POST", "/draft/x", "", "X-Shallotkeel-Token-Counts", "4000,500")
			if err == nil {
				_, _ = text(response) // it may be cut
				response.Body.Close()
			}
			cancel()
			require.Eventually(t, func() bool { return b.passer.Running() == 0 }, patience, tick)
			use := b.shares.Uses(time.Now())["club"]
			require.NotZero(t, use.Demand)
			require.Equal(t, test.got, use.Served > 0)
		})
	}
}
