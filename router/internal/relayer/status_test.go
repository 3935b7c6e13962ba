package relayer_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against an answer whose status does not exist: a caller that gets no answer at all, since the router
// panics, or one that gets the status. Nobody knows whether its request has run.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	for name, line := range map[string]string{
		"000":          "HTTP/1.1 000 None",
		"001":          "HTTP/1.1 001 None",
		"099":          "HTTP/1.1 099 None",
		"101":          "HTTP/1.1 101 Switching Protocols",
		"600":          "HTTP/1.1 600 Beyond",
		"999":          "HTTP/1.1 999 Beyond",
		"of HTTP/2":    "HTTP/2.0 200 OK",
		"of HTTP/9":    "HTTP/9.0 200 OK",
		"000, not run": "HTTP/1.1 000 None\r\nX-Started: no",
	} {
		t.Run(name, func(t *testing.T) {
			for kind, send := range map[string]func(tb *testbed) answer{
				"chat":     func(tb *testbed) answer { return tb.chat(false) },
				"stream":   func(tb *testbed) answer { return tb.chat(true) },
				"call":     func(tb *testbed) answer { return tb.call(http.MethodGet, "/v1/services/safe/", "") },
				"with key": func(tb *testbed) answer { return tb.bid("lot-7", "12") },
			} {
				t.Run(kind, func(t *testing.T) {
					tb := newTestbed(t, relayer.Limits{Attempts: 1}, healthy)
					tb.replaceEndpoint(1, func() string { return line + rest })
					got := send(tb)
					require.False(t, got.truncated, "the caller gets an answer")
					require.Equal(t, http.StatusBadGateway, got.status)
					require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
					require.NotContains(t, got.body, "body")
				})
			}
			t.Run("another endpoint answers", func(t *testing.T) {
				tb := newTestbed(t, relayer.Limits{}, healthy, healthy)
				tb.replaceEndpoint(1, func() string { return line + rest })
				require.Equal(t, http.StatusCreated, tb.call(http.MethodGet, "/v1/services/safe/", "").status)
				require.Equal(t, fullAnswer, tb.chat(true).text(t))
			})
		})
	}
}
