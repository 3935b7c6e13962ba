package relayer_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against requests to an endpoint within the backoff that it has asked for, when the pool's
// scheduler still grants its slots.
func TestEndpointInBackoffGetsNoRequests(t *testing.T) {
	const backoff, step = 3 * time.Second, 250 * time.Millisecond
	var arrivals atomic.Int64
	refusing := func(w http.ResponseWriter, r *http.Request, n int) {
		arrivals.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if n == 1 {
			w.Header().Set("X-Started", "no")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	serving := func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}
	tests := map[string]struct {
		endpoints []endpoint
		status    int // during the backoff
	}{
		"another endpoint serves": {[]endpoint{refusing, serving}, http.StatusOK},
		"no other endpoint":       {[]endpoint{refusing}, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			arrivals.Store(0)
			tb := newFakeClockTestbed(t, relayer.Limits{}, test.endpoints...)
			require.Equal(t, test.status, tb.call(http.MethodGet, "/v1/services/safe/x", "").status)
			for passed := step; passed < backoff; passed += step {
				tb.clock.Advance(step)
				require.Equal(t, test.status, tb.call(http.MethodGet, "/v1/services/safe/x", "").status)
				require.EqualValues(t, 1, arrivals.Load(), "after %s", passed)
			}
			tb.clock.Advance(2 * step)
			require.Equal(t, http.StatusOK, tb.call(http.MethodGet, "/v1/services/safe/x", "").status)
			require.EqualValues(t, 2, arrivals.Load(), "the backoff is over")
		})
	}
}

// Guards against new requests to an endpoint whose answers announce that it is leaving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	var arrivals atomic.Int64
	tb := newFakeClockTestbed(t, relayer.Limits{},
		func(w http.ResponseWriter, r *http.Request, _ int) {
			arrivals.Add(1)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Leaving", "1")
		},
		func(w http.ResponseWriter, r *http.Request, _ int) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		})
	for range 10 {
		require.Equal(t, http.StatusOK, tb.call(http.MethodGet, "/v1/services/safe/x", "").status)
		tb.clock.Advance(250 * time.Millisecond)
	}
	require.EqualValues(t, 1, arrivals.Load())
}
