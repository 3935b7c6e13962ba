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

// TestOutdatedConfigurationRefusesNothingForGood guards against a caller who is told for good what a newer
// configuration, which this router does not know, allows.
func TestOutdatedConfigurationRefusesNothingForGood(t *testing.T) {
	for name, test := range map[string]struct {
		token, path, body, code string
		status                  int
	}{
		"token":   {"newcomers-token", chatPath, chatBody(true), "bad_token", http.StatusUnauthorized},
		"model":   {"club-token", chatPath, `{"model":"newer","messages":[{"role":"user","content":"x"}]}`, "unknown_model", http.StatusNotFound},
		"service": {"club-token", "/v1/services/newer/x", "", "unknown_service", http.StatusNotFound},
		"allowed": {"club-token", "/v1/services/desk/x", "", "not_allowed", http.StatusForbidden},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{}, healthy)
			tb.rules.outdated.Store(true)
			got := tb.callAs(t.Context(), test.token, http.MethodPost, test.path, test.body)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, "stopping", got.failure.Code)
			require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
			require.NotEmpty(t, got.headers.Get("Retry-After"))
			require.Equal(t, fullAnswer, tb.chat(true).text(t), "who is in the configuration is served")
			tb.rules.outdated.Store(false)
			got = tb.callAs(t.Context(), test.token, http.MethodPost, test.path, test.body)
			require.Equal(t, test.status, got.status)
			require.Equal(t, test.code, got.failure.Code)
		})
	}
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.rules.outdated.Store(true)
	require.Equal(t, "no_token", tb.callAs(t.Context(), "", http.MethodPost, chatPath, chatBody(true)).failure.Code)
}
