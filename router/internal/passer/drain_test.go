package passer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: a small workspace gets nothing at one router for seconds. Sequence: the
// clients of a workspace that floods are all sent to that router; it is full of
// their requests. Cause: whoever came while it was full was refused.
func TestFloodKeepsNobodyOut(t *testing.T) {
	const most = 12
	var d drain
	admit := func(workspace string) bool {
		if d.running > most && d.crowds(workspace, most) {
			return false
		}
		d.enter()
		d.enterFor(workspace)
		return true
	}
	for range 100 {
		admit("flood")
	}
	require.Equal(t, most+1, d.running)
	for range 3 {
		require.True(t, admit("small"))
	}
	require.False(t, admit("flood"))
	for range 100 {
		admit("small")
		admit("other")
	}
	require.GreaterOrEqual(t, d.workspaces["small"], 4)
	require.GreaterOrEqual(t, d.workspaces["other"], 4)
	require.LessOrEqual(t, d.running, hardBound*most+1, "and the bound holds for all together")
	d.leaveFor("other")
	d.leave()
}

func TestRouterThatIsFullRefusesAtOnce(t *testing.T) {
	b := newBed(t)
	b.passer.options.Most = 2
	b.passer.options.Lags = func() bool { return false }
	end := make(chan struct{})
	var once sync.Once
	var arrived atomic.Int64
	b.endpoint(func(conn net.Conn, request *http.Request) {
		arrived.Add(1)
		<-end
		reply(conn, request, http.StatusOK, "")
	})
	defer once.Do(func() { close(end) })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 2 {
		go func() {
			if response, err := b.try(ctx, "POST", "/book/", ""); err == nil {
				io.Copy(io.Discard, response.Body) //nolint:errcheck // nobody looks at it
				response.Body.Close()
			}
		}()
	}
	// One that is running may not yet count against its workspace; one at its endpoint does.
	require.Eventually(t, func() bool { return arrived.Load() == 2 }, patience, tick)
	require.Equal(t, 2, b.passer.Running())
	response := b.ask("POST", "/book/", "")
	_, err := text(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}
