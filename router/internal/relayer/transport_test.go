package relayer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/narrower"
)

// Guards against a request that was given up behind a cut, and that the system delivers when the cut heals.
func TestRequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	for name, singleUse := range map[string]bool{"may be repeated": false, "must not be repeated": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := narrower.Listen(t.Context())
			require.NoError(t, err)
			defer listener.Close()
			written := make(chan struct{})
			ctx, cancel := context.WithCancel(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { close(written) },
			}))
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), opaque{strings.NewReader(strings.Repeat("x", 16<<10))})
			require.NoError(t, err)
			request.ContentLength = 16 << 10
			ended := make(chan error, 1)
			go func() {
				response, err := newTransport(time.Minute, singleUse).RoundTrip(request)
				if err == nil {
					response.Body.Close()
				}
				ended <- err
			}()
			conn, err := listener.Accept()
			require.NoError(t, err)
			defer conn.Close()
			<-written
			cancel()
			require.ErrorIs(t, <-ended, context.Canceled)
			arrived, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, arrived.Body)
			}
			require.Error(t, err, "the whole request arrived after it was given up")
		})
	}
}
