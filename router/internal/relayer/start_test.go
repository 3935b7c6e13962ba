package relayer_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against a valid caller who is told by a router that has just started that its token is wrong.
func TestTokenIsNotJudgedBeforeTheFirstConfiguration(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.rules.starting.Store(true)
	got := tb.chat(true)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "stopping", got.failure.Code)
	require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
	require.NotEmpty(t, got.headers.Get("Retry-After"))
	tb.rules.starting.Store(false)
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
	bad := tb.callAs(t.Context(), "nobodys-token", http.MethodPost, chatPath, chatBody(true))
	require.Equal(t, http.StatusUnauthorized, bad.status)
	require.Equal(t, "bad_token", bad.failure.Code)
}

// TestConfigurationThatArrivesMeanwhileRefusesNobody guards against a valid caller whose token is looked for
// in the empty configuration, while the refusal goes by the one that has come in between.
func TestConfigurationThatArrivesMeanwhileRefusesNobody(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.rules.arriving.Store(true)
	tb.rules.starting.Store(true)
	require.Equal(t, "stopping", tb.chat(true).failure.Code)
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
}
