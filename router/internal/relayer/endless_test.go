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

// Guards against an endpoint of a plain service that sends a head without end, or an answer of which the router
// keeps more than it passes on.
func TestEndlessAnswerToACallHoldsLittleMemory(t *testing.T) {
	const maxMemory, read = 8 << 20, 32 << 20
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		head, piece string
		passed      bool // the answer is valid, however long
	}{
		"status line":      {head: "HTTP/1.1 200 ", piece: "x"},
		"header line":      {head: "HTTP/1.1 200 OK\r\nName: ", piece: "x"},
		"header fields":    {head: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"no protocol":      {piece: "x"},
		"interim answers":  {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk extension":  {head: chunks + "1;", piece: "x"},
		"trailer":          {head: chunks + "0\r\n", piece: "A: b\r\n"},
		"refusal":          {head: "HTTP/1.1 503 Full\r\nX-Started: no\r\n\r\n", piece: "x"},
		"body":             {head: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", passed: true},
		"body in chunks":   {head: chunks, piece: "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", passed: true},
		"body of an error": {head: "HTTP/1.1 500 Fault\r\n\r\n", piece: "x", passed: true},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, relayer.Limits{Attempts: 1}, sendEndlessly(test.head, test.piece))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, tb.url+"/v1/services/safe/", nil)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer house-token")
			response, err := http.DefaultTransport.RoundTrip(request)
			passed := int64(0)
			if err == nil {
				defer response.Body.Close()
				passed, _ = io.CopyN(io.Discard, response.Body, read)
			}
			require.Equal(t, test.passed, passed == read, "%d bytes", passed)
			runtime.GC()
			runtime.ReadMemStats(&after)
			require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxMemory))
		})
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
