package passer

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against clients of a full service waiting for its refusal, or being told to come back at
// once when hardly anybody is let in.
func TestCallsOfAFullServiceAreRefusedHere(t *testing.T) {
	b := newBed(t)
	id, arrivals := b.shedding()
	const calls = 100
	var last *http.Response
	for range calls {
		last = b.ask(http.MethodPost, "/bid/1", "")
		_, err := text(last)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
	}
	require.Less(t, arrivals.Load(), int64(calls/4))
	pause, err := strconv.ParseFloat(last.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, pause, 3*retrySoon.Seconds())
	require.LessOrEqual(t, pause, (1+retrySpread)*longestRoomPause.Seconds())

	b.balance.Update(lister.Listing{ID: id, Service: "desk", State: lister.Gone})
	reason, err := b.fetch(http.MethodPost, "/bid/1", "")
	require.NoError(t, err)
	require.NotContains(t, reason, noRoom, "there is no endpoint any more")
}

// Guards against a service without a target, whose calls can't be late, being kept from its endpoints.
func TestCallsWithoutATargetReachTheirEndpoint(t *testing.T) {
	b := newBed(t)
	_, arrivals := b.shedding()
	const calls = 20
	for range calls {
		_, err := b.fetch(http.MethodPost, "/book/1", "")
		require.NoError(t, err)
	}
	require.EqualValues(t, calls, arrivals.Load())
}
