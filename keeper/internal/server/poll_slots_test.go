package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hundreds of polls that run concurrently, and against a poll that holds its slot
// while its caller does not read the answer.
func TestConcurrentPollsAreBounded(t *testing.T) {
	shared := make(pollSlots, 2)
	first, acquired := shared.acquire(t.Context())
	require.True(t, acquired)
	second, acquired := shared.acquire(t.Context())
	require.True(t, acquired)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, acquired = shared.acquire(ended)
	require.False(t, acquired, "both slots are held, and an ended context stops the wait")
	first.release()
	first.release()
	require.Len(t, shared, 1, "a slot is released once")
	second.release()

	handler := withPollSlots(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slot, _ := shared.acquire(r.Context())
		releaseOnWrite(r.Context(), slot)
		require.Len(t, shared, 1)
		w.WriteHeader(http.StatusOK)
		require.Empty(t, shared, "the slot is released before the answer is written")
	}))
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	empty := withPollSlots(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		slot, _ := shared.acquire(r.Context())
		releaseOnWrite(r.Context(), slot)
	}))
	empty.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	require.Empty(t, shared)
	var unbounded pollSlots
	free, acquired := unbounded.acquire(t.Context())
	require.True(t, acquired)
	free.release()
}
