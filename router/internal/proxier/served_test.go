package proxier

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that is credited with requests admitted for clients that disconnected:
// other workspaces would exceed it by more than is guaranteed.
func TestOnlyAnsweredRequestsCountAsServed(t *testing.T) {
	tests := map[string]struct {
		serve func(conn net.Conn, request *http.Request)
		leave bool // the client disconnects once the endpoint has the request
		got   bool
	}{
		"complete stream": {got: true, serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 3)
			endStream(conn)
		}},
		"only the head of a stream": {serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 0)
			resetConn(conn, request)
		}},
		"the client disconnects": {leave: true, serve: func(net.Conn, *http.Request) {}},
		"the endpoint declines":  {serve: decline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.fleetState.table.Store(engineTable(t))
			f.shares.SetCapacity(1e6)
			ctx, cancel := context.WithCancel(t.Context())
			f.endpoint(func(conn net.Conn, request *http.Request) {
				if test.leave {
					cancel()
				}
				test.serve(conn, request)
			})
			response, err := f.send(ctx, "POST", "/draft/x", "", "X-Shallotkeel-Token-Counts", "4000,500")
			if err == nil {
				_, _ = readText(response) // it may be truncated
				response.Body.Close()
			}
			cancel()
			require.Eventually(t, func() bool { return f.proxier.Running() == 0 }, waitTimeout, pollInterval)
			use := f.shares.Uses(time.Now())["club"]
			require.NotZero(t, use.Demand)
			require.Equal(t, test.got, use.Served > 0)
		})
	}
}
