package proxier

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that runs twice: its endpoint ran it and answered with a status that promises its client the
// opposite, so that the client sends it again.
func TestPromiseOfAnEndpointThatMayHaveRunTheRequestIsNotRelayed(t *testing.T) {
	for path, repeatable := range map[string]bool{"/book/": false, "/draft/": false, "/read/": true, "/list/": true} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(path+strconv.Itoa(status), func(t *testing.T) {
				f := newFixture(t)
				var ran atomic.Int64
				for range 2 {
					f.endpoint(func(conn net.Conn, request *http.Request) {
						ran.Add(1)
						reply(conn, request, status, "own words")
					})
				}
				response := f.do("POST", path, "once")
				body, err := readText(response)
				require.NoError(t, err)
				if repeatable {
					require.Equal(t, status, response.StatusCode)
					require.Equal(t, "own words", body)
					return
				}
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
				require.Empty(t, response.Header.Get(stampHeader))
				require.Empty(t, response.Header.Get("Retry-After"))
				require.EqualValues(t, 1, ran.Load())
			})
		}
	}
}
