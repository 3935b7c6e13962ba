package relayer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against answers, paths, queries or bodies that are changed or truncated on the way.
func TestCompleteAnswers(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	for name, test := range map[string]struct {
		method, path, body string
		status             int
		want               string
	}{
		"models": {"GET", "/v1/models", "", 200, `{"object":"list","data":[{"id":"draft-7b","object":"model"}]}`},
		"get":    {"GET", "/v1/services/app/a%2Fb/c?d=e", "", 201, "GET /a%2Fb/c?d=e "},
		"put":    {"PUT", "/v1/services/app/lots/7", "lamp", 201, "PUT /lots/7 lamp"},
		"root":   {"GET", "/v1/services/app/", "", 201, "GET / "},
		"large":  {"PUT", "/v1/services/app/", strings.Repeat("x", 200<<10), 201, "PUT / " + strings.Repeat("x", 200<<10)},
		"post":   {"POST", "/v1/services/desk/bids", "12", 201, "POST /bids 12"},
	} {
		t.Run(name, func(t *testing.T) {
			got := tb.call(test.method, test.path, test.body)
			require.Equal(t, test.status, got.status)
			require.Equal(t, test.want, got.body)
			require.Equal(t, "answered", got.headers.Get("X-Outcome"))
		})
	}
	require.Equal(t, fullAnswer, tb.chat(true).text(t))
	require.Equal(t, fullAnswer, tb.chat(false).text(t))
}

// Guards against invalid requests that are served or wait, and against refusals without the right code
// or a remedy.
func TestRefusals(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{BodyBytes: 400}, healthy)
	long := strings.Repeat("x", 500)
	for name, test := range map[string]struct {
		token, method, path, body string
		status                    int
		code                      string
	}{
		"no token":         {"", "GET", "/v1/models", "", 401, "no_token"},
		"wrong token":      {"x", "GET", "/v1/models", "", 401, "bad_token"},
		"no JSON":          {"house-token", "POST", chatPath, "{", 400, "bad_body"},
		"no messages":      {"house-token", "POST", chatPath, `{"model":"draft-7b"}`, 400, "bad_body"},
		"two answers":      {"house-token", "POST", chatPath, `{"model":"draft-7b","messages":[{}],"n":2}`, 400, "bad_body"},
		"unknown model":    {"house-token", "POST", chatPath, strings.Replace(chatBody(true), "7b", "8b", 1), 404, "unknown_model"},
		"large body":       {"house-token", "POST", chatPath, long, 413, "too_large"},
		"large call":       {"house-token", "POST", "/v1/services/app/", long, 413, "too_large"},
		"unknown service":  {"house-token", "GET", "/v1/services/none/", "", 404, "unknown_service"},
		"model as service": {"house-token", "GET", "/v1/services/modelli/", "", 404, "unknown_service"},
		"not allowed":      {"club-token", "GET", "/v1/services/desk/", "", 403, "not_allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			got := tb.callAs(t.Context(), test.token, test.method, test.path, test.body)
			require.Equal(t, test.status, got.status, got.body)
			require.Equal(t, test.code, got.failure.Code)
			require.Equal(t, "invalid", got.failure.Type)
			require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
			require.NotEmpty(t, got.failure.Remedy)
			require.Equal(t, got.headers.Get("X-Request-Id"), got.failure.RequestID)
		})
	}
	require.Empty(t, tb.enroller.waiting, "a refused request must not wait")
}
