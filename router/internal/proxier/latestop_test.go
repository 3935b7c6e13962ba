package proxier

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/resolver"
)

// Guards against requests that are sent to another endpoint late in a planned stop, and ended with its grace
// time although they could have been refused as not run.
func TestRequestThatHasNotRunIsRefusedLateInAStop(t *testing.T) {
	const soon, late = 2 * time.Second, time.Minute // the routes' timeout is 10 s
	tests := map[string]struct {
		left   time.Duration // of the grace time, when the first endpoint gets the request
		first  func(net.Conn, *http.Request)
		status map[resolver.Kind]int
		sends  map[resolver.Kind]int64
	}{
		"declined, it might outlast the stop": {
			soon, decline,
			map[resolver.Kind]int{resolver.AtMostOnce: 503, resolver.Repeatable: 503, resolver.Stream: 503},
			map[resolver.Kind]int64{resolver.AtMostOnce: 1, resolver.Repeatable: 1, resolver.Stream: 1},
		},
		"declined, its deadline is earlier": {
			late, decline,
			map[resolver.Kind]int{resolver.AtMostOnce: 200, resolver.Repeatable: 200, resolver.Stream: 200},
			map[resolver.Kind]int64{resolver.AtMostOnce: 2, resolver.Repeatable: 2, resolver.Stream: 2},
		},
		"it may have run": {
			soon, resetConn,
			map[resolver.Kind]int{resolver.AtMostOnce: 502, resolver.Repeatable: 200, resolver.Stream: 502},
			map[resolver.Kind]int64{resolver.AtMostOnce: 1, resolver.Repeatable: 2, resolver.Stream: 1},
		},
	}
	kinds := map[string]resolver.Kind{"/book/": resolver.AtMostOnce, "/read/": resolver.Repeatable, "/draft/": resolver.Stream}
	for name, test := range tests {
		for path, kind := range kinds {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t)
				f.fleetState.table.Store(tableWithAttempts(t, 2))
				var sends atomic.Int64
				serve := func(conn net.Conn, r *http.Request) {
					if sends.Add(1) == 1 {
						f.proxier.Refuse(f.proxier.options.Clock.Now().Add(test.left))
						test.first(conn, r)
						return
					}
					if kind != resolver.Stream {
						reply(conn, r, http.StatusOK, "served")
						return
					}
					beginStream(conn, r, 1, 1)
					endStream(conn)
				}
				f.endpoint(serve)
				f.endpoint(serve)
				response := f.do(http.MethodPost, path, "")
				_, err := readText(response)
				require.NoError(t, err)
				require.Equal(t, test.status[kind], response.StatusCode)
				require.Equal(t, test.sends[kind], sends.Load())
				if response.StatusCode == http.StatusServiceUnavailable {
					require.NotEmpty(t, response.Header.Get("Retry-After"))
					require.True(t, response.Close, "another router serves it")
				}
			})
		}
	}
}

// tableWithAttempts returns the usual table, with the attempts of each route.
func tableWithAttempts(t *testing.T, attempts int) *resolver.Table {
	t.Helper()
	before := slices.Clone(routes)
	for i := range before {
		before[i].Attempts = attempts
	}
	return tableOf(t, 1, before)
}
