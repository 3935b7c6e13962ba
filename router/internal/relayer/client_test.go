package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// begin of the example in docs/CALLERS.md

// send sends a request that must not run twice, until its outcome is certain or
// the attempts are used up. The key stays the same for all attempts.
func send(client *http.Client, url, token, key, body string, attempts int, wait func(time.Duration)) (string, error) {
	outcome := "unknown"
	for range attempts {
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return "", err
		}
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Idempotency-Key", key)
		response, err := client.Do(request)
		if err != nil { // the connection broke: the outcome is unknown, and the key makes a resend safe
			wait(time.Second)
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		outcome = response.Header.Get("X-Outcome")
		switch {
		case err != nil: // the answer was cut
			outcome = "unknown"
		case outcome == "answered":
			return string(text), nil // also if its status says that the service declined
		case response.Header.Get("Retry-After") == "" && outcome == "not-run":
			return "", fmt.Errorf("refused for good: %s", text)
		}
		wait(after(response))
	}
	return "", fmt.Errorf("no certain outcome, the last one was %q; look at the service itself before using a new key", outcome)
}

// after is how long to wait before the next attempt.
func after(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}

// end of the example in docs/CALLERS.md

// Guards against an example client that runs a non-repeatable request twice, reports an outcome that is
// not certain, or retries what is refused permanently.
func TestExampleClient(t *testing.T) {
	for name, test := range map[string]struct {
		first  endpoint
		want   string
		fails  string
		starts int32
	}{
		"well":        {first: nil, want: "POST /bids 12", starts: 1},
		"not started": {first: refuseUnstarted, want: "POST /bids 12", starts: 1},
		"died":        {first: (&desk{}).crash, fails: "no certain outcome", starts: 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := &desk{}
			var calls atomic.Int32
			tb := newTestbed(t, relayer.Limits{Attempts: 1}, func(w http.ResponseWriter, r *http.Request, n int) {
				if calls.Add(1) == 1 && test.first != nil {
					test.first(w, r, n)
					return
				}
				d.serve(w, r, n)
			})
			var waited time.Duration
			got, err := send(http.DefaultClient, tb.url+bids, "house-token", "lot-7", "12", 4, func(d time.Duration) { waited += d })
			if test.fails != "" {
				require.ErrorContains(t, err, test.fails)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, test.want, got)
			require.Equal(t, test.starts, d.started.Load(), "a request that may have run must not run again")
			require.Equal(t, test.first != nil, waited > 0)
		})
	}
	tb := newTestbed(t, relayer.Limits{}, healthy)
	_, err := send(http.DefaultClient, tb.url+bids, "wrong", "lot-7", "12", 4, func(time.Duration) { t.Fail() })
	require.ErrorContains(t, err, "refused for good")
}

// Guards against a page for callers whose example differs from the code tested here.
func TestExampleIsOnCallersPage(t *testing.T) {
	source, err := os.ReadFile("client_test.go")
	require.NoError(t, err)
	page, err := os.ReadFile("../../../docs/CALLERS.md")
	require.NoError(t, err)
	_, example, _ := strings.Cut(string(source), "// begin of the example in docs/CALLERS.md\n")
	example, _, _ = strings.Cut(example, "// end of the example")
	require.NotEmpty(t, strings.TrimSpace(example))
	require.Contains(t, string(page), strings.TrimSpace(example))
}
