package proxier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against a request that was written to an endpoint behind a cut, and that reaches it when the cut heals, long
// after this router has heard that the endpoint leaves.
func TestRequestThatHasNotArrivedIsRecalledFromAnEndpointThatLeaves(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		state  lister.State
		status int
	}{
		"it may be repeated, leaving":   {path: "/read/", state: lister.Leaving, status: http.StatusOK},
		"it may be repeated, gone":      {path: "/read/", state: lister.Gone, status: http.StatusOK},
		"it must not be repeated":       {path: "/book/", state: lister.Leaving, status: http.StatusBadGateway},
		"it must not be repeated, gone": {path: "/book/", state: lister.Gone, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			clock := clockwork.NewFakeClock()
			f.proxier.options.Client.Clock = clock
			address, accepted := listenNarrow(t)
			listing := f.listing(f.add(address))
			answered := make(chan int, 1) // the status, 0 without an answer
			go func() {
				response, err := f.send(t.Context(), http.MethodPost, test.path, strings.Repeat("x", 8<<10))
				if err != nil {
					answered <- 0
					return
				}
				response.Body.Close()
				answered <- response.StatusCode
			}()
			conn := <-accepted
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 16)
			_, err := reader.Peek(1)
			require.NoError(t, err)
			f.endpoint(answerWith("elsewhere"))
			listing.State = test.state
			f.balancer.Update(listing)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(time.Second)
			require.Equal(t, test.status, <-answered)
			request, err := http.ReadRequest(reader)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			require.Error(t, err, "the whole request arrived all the same")
		})
	}
}

// listenNarrow starts an endpoint whose connections take few bytes until they are read, as if the path were cut behind
// them.
func listenNarrow(t *testing.T) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), accepted
}
