package relayer_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// sendEndlessly returns an endpoint that sends a head, and then pieces until the router closes the connection.
func sendEndlessly(head, piece string) endpoint {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the router may have closed the connection
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, head)
		pieces := []byte(strings.Repeat(piece, 1<<10))
		for err == nil {
			_, err = conn.Write(pieces)
		}
	}
}

// Guards against an endpoint that sends without end and thereby uses up the router's memory, or holds a
// request until its deadline.
func TestEndlessAnswerEndsTheAttempt(t *testing.T) {
	const maxMemory = 16 << 20
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ head, piece string }{
		"status line":     {head: "HTTP/1.1 200 ", piece: "x"},
		"header line":     {head: "HTTP/1.1 200 OK\r\nName: ", piece: "x"},
		"header fields":   {head: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"no protocol":     {piece: "x"},
		"interim answers": {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"error":           {head: "HTTP/1.1 500 Fault\r\n\r\n", piece: "x"},
		"refusal":         {head: "HTTP/1.1 503 Full\r\nX-Started: no\r\n\r\n", piece: "x"},
		"event":           {head: "HTTP/1.1 200 OK\r\n\r\n", piece: "data: x\n"},
		"line":            {head: "HTTP/1.1 200 OK\r\n\r\ndata: ", piece: "x"},
		"comments":        {head: "HTTP/1.1 200 OK\r\n\r\n", piece: ": x\n"},
		"chunk extension": {head: chunks + "1;", piece: "x"},
		"trailer":         {head: chunks + "0\r\n", piece: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{Attempts: 1}, sendEndlessly(test.head, test.piece))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := tb.chat(true)
			runtime.ReadMemStats(&after)
			require.NotEqual(t, http.StatusOK, got.status)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxMemory))
		})
	}
}
