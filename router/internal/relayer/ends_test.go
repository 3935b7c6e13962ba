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

// replaceEndpoint replaces the n-th endpoint by one that writes bytes of its own as its answer
// and closes the connection.
func (f *fleet) replaceEndpoint(n int, answer func() string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	f.Cleanup(func() { listener.Close() })
	f.enroller.addresses[n-1] = netip.MustParseAddrPort(listener.Addr().String())
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

// A call's answer that was broken off reached its caller as if it were complete.
func TestCallThatBreaksOffNeverLooksComplete(t *testing.T) {
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
			for place := range len(all) + 1 {
				f := newFleet(t, relayer.Limits{Attempts: 1}, well)
				f.replaceEndpoint(1, func() string { return all[:place] })
				got := f.call(http.MethodGet, "/v1/services/app/", "")
				where := fmt.Sprintf("cut behind byte %d of %d", place, len(all))
				switch {
				case got.status != http.StatusOK || got.cut:
					require.False(t, place == len(all), "%s: a whole answer was not passed on", where)
				case got.framed:
					require.True(t, test.framed && place == len(all), "%s: it looks complete", where)
					require.Equal(t, text, got.body, where)
				default:
					require.False(t, test.framed, where)
					require.Equal(t, all[len(test.head):place], got.body, where)
				}
			}
		})
	}
}

// A part of a bid's answer was recorded and given again as the whole one.
func TestAnswerWithoutAKnownEndIsNotReplayed(t *testing.T) {
	f := newFleet(t, relayer.Limits{}, well)
	f.replaceEndpoint(1, func() string { return "HTTP/1.1 201 Created\r\n\r\nlot 7 to" })
	first := f.bid("lot-7", "12")
	require.False(t, first.framed, "its end tells nothing")
	second := f.bid("lot-7", "12")
	require.Equal(t, "unknown key_spent", second.headers.Get("X-Outcome")+" "+second.failure.Code)
	require.False(t, strings.Contains(second.body, "lot 7 to"))
}
