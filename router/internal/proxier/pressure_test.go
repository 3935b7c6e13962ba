package proxier

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against clients of a full service that wait for an endpoint's refusal, or that get the
// shortest Retry-After although hardly any request is admitted.
func TestCallsOfAFullServiceAreRefusedAtTheRouter(t *testing.T) {
	f := newFixture(t)
	id, arrivals := f.decliningEndpoint()
	const calls = 100
	var last *http.Response
	for range calls {
		last = f.do(http.MethodPost, "/bid/1", "")
		_, err := readText(last)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
	}
	require.Less(t, arrivals.Load(), int64(calls/4))
	pause, err := strconv.ParseFloat(last.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, pause, 3*minRetryAfter.Seconds())
	require.LessOrEqual(t, pause, (1+retryJitter)*maxRetryAfter.Seconds())

	f.balancer.Update(lister.Listing{ID: id, Service: "desk", State: lister.Gone})
	reason, err := f.fetch(http.MethodPost, "/bid/1", "")
	require.NoError(t, err)
	require.NotContains(t, reason, reasonServiceFull, "the service has no endpoint left")
}

// Guards against a service without a target being refused at the router: its calls cannot be late.
func TestCallsWithoutATargetReachTheirEndpoint(t *testing.T) {
	f := newFixture(t)
	_, arrivals := f.decliningEndpoint()
	const calls = 20
	for range calls {
		_, err := f.fetch(http.MethodPost, "/book/1", "")
		require.NoError(t, err)
	}
	require.EqualValues(t, calls, arrivals.Load())
}
