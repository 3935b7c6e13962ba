package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hundreds of polls that run at once, and against one that keeps its turn while its
// caller does not read.
func TestFewPollsAreWorkedOnAtATime(t *testing.T) {
	shared := make(turns, 2)
	first, taken := shared.take(t.Context())
	require.True(t, taken)
	second, taken := shared.take(t.Context())
	require.True(t, taken)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, taken = shared.take(ended)
	require.False(t, taken, "there is no third one, and nobody waits for nothing")
	first.end()
	first.end()
	require.Len(t, shared, 1, "a turn ends once")
	second.end()

	handler := withTurns(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken, _ := shared.take(r.Context())
		leaveTurn(r.Context(), taken)
		require.Len(t, shared, 1)
		w.WriteHeader(http.StatusOK)
		require.Empty(t, shared, "nobody waits for a caller")
	}))
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	silent := withTurns(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		taken, _ := shared.take(r.Context())
		leaveTurn(r.Context(), taken)
	}))
	silent.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	require.Empty(t, shared)
	var all turns
	free, taken := all.take(t.Context())
	require.True(t, taken)
	free.end()
}
