package proxier

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/narrower"
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
			held, err := narrower.Listen(t.Context())
			require.NoError(t, err)
			defer held.Close()
			listing := f.listing(f.add(netip.MustParseAddrPort(held.Addr().String())))
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
			conn, err := held.Accept()
			require.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 16)
			_, err = reader.Peek(1)
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
