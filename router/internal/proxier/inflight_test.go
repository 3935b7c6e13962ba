package proxier

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a small workspace that gets nothing at one router for seconds: all clients of a
// workspace that floods reach that router, and a full router must not refuse every workspace alike.
func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	const limit = 12
	var f inFlight
	now := time.Unix(1000, 0)
	admit := func(workspace string) bool {
		now = now.Add(time.Millisecond)
		if f.running > limit && f.overFairShare(now, workspace, limit) {
			return false
		}
		f.enter()
		f.enterWorkspace(workspace)
		return true
	}
	for range 100 {
		admit("flood")
	}
	require.Equal(t, limit+1, f.running)
	for range 3 {
		require.True(t, admit("small"))
	}
	require.False(t, admit("flood"))
	for range 100 {
		admit("small")
		admit("other")
	}
	require.GreaterOrEqual(t, f.workspaces["small"], 4)
	require.GreaterOrEqual(t, f.workspaces["other"], 4)
	require.LessOrEqual(t, f.running, hardLimitFactor*limit+1, "the hard limit holds for all workspaces together")
	f.leaveWorkspace("other")
	f.leave()
}

// Guards against requests that wait at a router whose limit of requests in flight is reached.
func TestFullRouterRefusesAtOnce(t *testing.T) {
	f := newFixture(t)
	f.proxier.options.MaxRequests = 2
	f.proxier.options.CPUStarved = func() bool { return false }
	end := make(chan struct{})
	var once sync.Once
	var arrived atomic.Int64
	f.endpoint(func(conn net.Conn, request *http.Request) {
		arrived.Add(1)
		<-end
		reply(conn, request, http.StatusOK, "")
	})
	defer once.Do(func() { close(end) })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 2 {
		go func() {
			if response, err := f.send(ctx, "POST", "/book/", ""); err == nil {
				io.Copy(io.Discard, response.Body) //nolint:errcheck // the body is not checked
				response.Body.Close()
			}
		}()
	}
	// A running request may not yet count against its workspace; one that has reached its endpoint does.
	require.Eventually(t, func() bool { return arrived.Load() == 2 }, waitTimeout, pollInterval)
	require.Equal(t, 2, f.proxier.Running())
	response := f.do("POST", "/book/", "")
	_, err := readText(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}
