package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/caller"
)

// Guards against an answer whose head never ends and is collected in memory.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	const maxMemory = 4 << 20
	for name, test := range map[string]struct{ head, piece string }{
		"status line":     {head: "HTTP/1.1 200 ", piece: "x"},
		"header fields":   {head: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"interim answers": {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, err = io.WriteString(conn, test.head)
				pieces := []byte(strings.Repeat(test.piece, 1<<10))
				for err == nil {
					_, err = conn.Write(pieces)
				}
			}))
			t.Cleanup(server.Close)
			c := caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: time.Minute}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			result := c.Call(t.Context(), server.URL, plain)
			runtime.ReadMemStats(&after)
			require.Equal(t, caller.Lost, result.Ending)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxMemory))
		})
	}
}
