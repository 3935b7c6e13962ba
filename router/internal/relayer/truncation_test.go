package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// replaceEndpoint replaces the n-th endpoint with one that writes the given raw bytes as its answer and
// closes the connection.
func (tb *testbed) replaceEndpoint(n int, answer func() string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { listener.Close() })
	tb.enroller.addresses[n-1] = netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				io.WriteString(conn, answer()) //nolint:errcheck // the reader may be gone
			}()
		}
	}()
}

// Guards against a truncated answer of a plain service that its caller takes for a complete one. The
// endpoint's answer is truncated after each of its bytes, with every kind of framing.
func TestTruncatedCallNeverLooksComplete(t *testing.T) {
	const text = "the whole answer"
	for name, test := range map[string]struct {
		head, body string
		framed     bool
	}{
		"length":     {head: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)), body: text, framed: true},
		"chunks":     {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "3\r\nthe\r\nd\r\n whole answer\r\n0\r\n\r\n", framed: true},
		"connection": {head: "HTTP/1.1 200 OK\r\n\r\n", body: text},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := test.head + test.body
			for offset := range len(all) + 1 {
				tb := newTestbed(t, relayer.Limits{Attempts: 1}, healthy)
				tb.replaceEndpoint(1, func() string { return all[:offset] })
				got := tb.call(http.MethodGet, "/v1/services/app/", "")
				where := fmt.Sprintf("truncated after byte %d of %d", offset, len(all))
				switch {
				case got.status != http.StatusOK || got.truncated:
					require.False(t, offset == len(all), "%s: the complete answer was not relayed", where)
				case got.framed:
					require.True(t, test.framed && offset == len(all), "%s: a truncated answer looks complete", where)
					require.Equal(t, text, got.body, where)
				default:
					require.False(t, test.framed, where)
					require.Equal(t, all[len(test.head):offset], got.body, where)
				}
			}
		})
	}
}

// Guards against the replay of a truncated answer as a complete one. The answer of a non-repeatable
// request ends with its connection, so that its completeness is unknown.
func TestUnframedAnswerIsNotReplayed(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.replaceEndpoint(1, func() string { return "HTTP/1.1 201 Created\r\n\r\nlot 7 to" })
	first := tb.bid("lot-7", "12")
	require.False(t, first.framed, "the end of the answer must not look certain")
	second := tb.bid("lot-7", "12")
	require.Equal(t, "unknown key_spent", second.headers.Get("X-Outcome")+" "+second.failure.Code)
	require.False(t, strings.Contains(second.body, "lot 7 to"))
}

// Guards against an answer whose type no message can carry, so that the outcome of its request is never recorded.
func TestAnswerWithATypeThatCannotBeEncodedIsRecorded(t *testing.T) {
	tb := newTestbed(t, relayer.Limits{}, healthy)
	tb.replaceEndpoint(1, func() string {
		return "HTTP/1.1 201 Created\r\nContent-Type: text/b\xff\r\nContent-Length: 5\r\n\r\nlot 7"
	})
	first := tb.bid("lot-7", "12")
	require.Equal(t, "lot 7", first.body)
	require.Equal(t, "text/b\xff", first.headers.Get("Content-Type"))
	second := tb.bid("lot-7", "12")
	require.Equal(t, "unknown key_spent", second.headers.Get("X-Outcome")+" "+second.failure.Code, "it cannot be replayed as it was")
	tb.claimer.lock.Lock()
	defer tb.claimer.lock.Unlock()
	require.NotNil(t, tb.claimer.claims["lot-7"].answer)
}
