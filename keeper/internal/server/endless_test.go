package server

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/dialer"
)

// endlessBody is a body without end, which counts what is read of it.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(buffer []byte) (int, error) {
	clear(buffer)
	b.read.Add(int64(len(buffer)))
	return len(buffer), nil
}

// Guards against a keeper that runs out of memory because a process of the fleet sends a call without end.
func TestEndlessCallIsCut(t *testing.T) {
	address := freeAddress()
	p := newSeededKeeper(t, "keeper-1", address, []netip.AddrPort{address})
	p.start(t)
	for _, method := range []string{"Planning/Follow", "Planning/Begin", "Keeping/Apply", "Keeping/Record"} {
		t.Run(method, func(t *testing.T) {
			var body endlessBody
			require.Eventually(t, func() bool {
				conn, err := net.Dial("tcp", address.String())
				if err == nil {
					conn.Close()
				}
				return err == nil
			}, waitTimeout, 20*time.Millisecond)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/twirp/shallotkeel.v1."+method, &body)
			require.NoError(t, err)
			request.Header.Set("Content-Type", "application/protobuf")
			response, err := dialer.Client(secret, &dialer.Counter{}).Do(request)
			if err == nil {
				defer response.Body.Close()
				require.Equal(t, http.StatusBadRequest, response.StatusCode)
			}
			require.Less(t, body.read.Load(), int64(2*maxCallBody))
		})
	}
}

// Guards against a keeper that runs out of memory because of a few connections that send long heads.
func TestLongHeadIsRefused(t *testing.T) {
	address := freeAddress()
	p := newSeededKeeper(t, "keeper-1", address, []netip.AddrPort{address})
	p.start(t)
	for name, at := range map[string]netip.AddrPort{"platform": p.settings.Platform.Listen, "metrics": p.settings.Listen} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/metrics", at), nil)
			require.NoError(t, err)
			request.Header.Set("Long", strings.Repeat("x", 2*maxHeaderBytes))
			status := 0
			require.Eventually(t, func() bool {
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					return false
				}
				status = response.StatusCode
				return response.Body.Close() == nil
			}, waitTimeout, 20*time.Millisecond)
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
		})
	}
}
