package runner_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/load/internal/runner"
)

// fakeRouter answers calls of the plain service s, with a wrong text if wrong is set.
func fakeRouter(wrong bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Outcome", "answered")
		text := answerer.Plain(r.Method, strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/s"), body)
		if wrong {
			text += "!"
		}
		_, _ = io.WriteString(w, text)
	}
}

func TestProgram(t *testing.T) {
	tests := map[string]struct {
		wrong     bool
		arguments []string
		want      int
		problem   string
	}{
		"every answer correct":  {arguments: []string{"run", "-w", "w=t", "--service", "s"}, want: starter.StatusOK},
		"a wrong answer":        {wrong: true, arguments: []string{"-w", "w=t", "--service", "s"}, want: starter.StatusFailed, problem: "wrong"},
		"nothing to send":       {arguments: []string{}, want: starter.StatusUsage, problem: "describe one load a workspace"},
		"workspace without =":   {arguments: []string{"-w", "w"}, want: starter.StatusUsage, problem: "NAME=TOKEN"},
		"settings do not exist": {arguments: []string{"-s", "/nowhere"}, want: starter.StatusUsage, problem: "/nowhere"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(fakeRouter(test.wrong))
			defer server.Close()
			var out, problems bytes.Buffer
			arguments := append(slices.Clone(test.arguments), "-r", server.URL, "-t", "200ms", "--rate", "50", "-o", "json")
			require.Equal(t, test.want, runner.Main(arguments, &out, &problems), problems.String())
			require.Contains(t, problems.String(), test.problem)
			if test.want == starter.StatusOK {
				var summary caller.Summary
				require.NoError(t, json.Unmarshal(out.Bytes(), &summary))
				require.Positive(t, summary.Requests)
				require.True(t, runner.Clean(summary))
			}
		})
	}
}
