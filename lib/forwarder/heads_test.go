package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/framer"
)

// wholeAnswer is an answer as an endpoint writes it.
type wholeAnswer struct {
	method string // GET if empty
	head   string
	body   string // with its framing
	text   string // the body without framing
	kind   framer.Framing
}

// wholeAnswers are answers with all kinds of heads.
var wholeAnswers = map[string]wholeAnswer{
	"length":            {head: answerHead + "Stamp: 3e1b.07.5a2\r\nContent-Length: 12\r\n\r\n", body: "twelve bytes", text: "twelve bytes", kind: framer.ByLength},
	"empty":             {head: answerHead + "Content-Length: 0\r\n\r\n", kind: framer.ByLength},
	"chunks":            {head: answerHead + "Transfer-Encoding: chunked\r\n\r\n", body: "3\r\none\r\n10;a=b\r\n, two, and three\r\n0\r\n\r\n", text: "one, two, and three", kind: framer.ByChunks},
	"chunks, trailer":   {head: answerHead + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n", body: "3\r\none\r\n0\r\nSum: 1\r\nMore: 2\r\n\r\n", text: "one", kind: framer.ByChunks},
	"connection":        {head: answerHead + "Stamp: 3e1b.07.5a2\r\n\r\n", body: "up to the end", text: "up to the end", kind: framer.ByConnection},
	"HTTP/1.0":          {head: "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", body: "up to the end", text: "up to the end", kind: framer.ByConnection},
	"event stream":      {head: answerHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", body: "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", text: "id: 1\ndata: a\n\n", kind: framer.ByChunks},
	"no content":        {head: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", kind: framer.ByLength},
	"not modified":      {head: "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 12\r\n\r\n", kind: framer.ByLength},
	"to HEAD":           {method: http.MethodHead, head: answerHead + "Content-Length: 12\r\n\r\n", kind: framer.ByLength},
	"400":               {head: "HTTP/1.1 400 Bad Request\r\nId: 1\r\nContent-Length: 3\r\n\r\n", body: "bad", text: "bad", kind: framer.ByLength},
	"500":               {head: "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nContent-Length: 3\r\n\r\n", body: "bad", text: "bad", kind: framer.ByLength},
	"503, not run":      {head: "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", body: "full", text: "full", kind: framer.ByLength},
	"bare LF":           {head: "HTTP/1.1 200 OK\nId: 1\nContent-Length: 3\n\n", body: "one", text: "one", kind: framer.ByLength},
	"bare LF, unframed": {head: "HTTP/1.1 200 OK\nId: 1\n\n", body: "one\n\n", text: "one\n\n", kind: framer.ByConnection},
	"folded":            {head: answerHead + "Note: a\r\n b\r\n\tc\r\nContent-Length: 3\r\n\r\n", body: "one", text: "one", kind: framer.ByLength},
	"after 100":         {head: "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "Content-Length: 3\r\n\r\n", body: "one", text: "one", kind: framer.ByLength},
	"after several 1xx": {head: "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\n\n" + answerHead + "\r\n", body: "one", text: "one", kind: framer.ByConnection},
	"after another's":   {head: "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nother" + answerHead + "Content-Length: 3\r\n\r\n", body: "one", text: "one", kind: framer.ByLength},
	"after another's chunks": {head: "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" + answerHead + "\r\n", body: "one", text: "one",
		kind: framer.ByConnection},
}

// warmUp is the ID of a request whose answer is never cut.
const warmUp = "warm"

// listenForCuts starts an endpoint that answers a request with the bytes of next, and ends the connection.
func listenForCuts(t *testing.T, next *atomic.Pointer[string], reset bool) *endpoint {
	t.Helper()
	return listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			if request.Header.Get("Id") == warmUp {
				writeAnswer(conn, warmUp, "whole")
				continue
			}
			io.WriteString(conn, *next.Load()) //nolint:errcheck // the reader may be gone
			if reset {
				conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it is a TCP connection
			}
			return
		}
	})
}

// Guards against an answer whose connection ends in its head or body and that is taken for a whole one.
func TestCutHeadNeverLooksComplete(t *testing.T) {
	for name, whole := range wholeAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, kept %t", name, reset, kept), func(t *testing.T) {
					t.Parallel()
					all := whole.head + whole.body
					var next atomic.Pointer[string]
					e, c := listenForCuts(t, &next, reset), newClient()
					for count := range len(all) + 1 {
						part := all[:count]
						next.Store(&part)
						if kept {
							_, err := fetch(t, c, e, withID(newRequest(warmUp)))
							require.NoError(t, err)
						}
						requireCut(t, c, e, whole, count, reset, kept)
					}
				})
			}
		}
	}
}

// requireCut checks what a caller sees of an answer of which count bytes were sent.
func requireCut(t *testing.T, c *Client, e *endpoint, whole wholeAnswer, count int, reset, kept bool) {
	t.Helper()
	where := fmt.Sprintf("cut after byte %d of %d", count, len(whole.head)+len(whole.body))
	out := withID(newRequest("1"))
	if whole.method != "" {
		out.Method = whole.method
	}
	x, err := c.Do(t.Context(), e.address, out, nil)
	if count < len(whole.head) {
		require.Error(t, err, where)
		require.NotErrorIs(t, err, ErrUnsent, where)
		require.Zero(t, c.openTo(e.address), where)
		return
	}
	require.NoError(t, err, where)
	defer x.Close()
	require.Equal(t, kept, x.Reused, where)
	require.Equal(t, whole.kind, framer.Of(out.Method, x.Response), where)
	got, err := io.ReadAll(x.Body)
	complete := count == len(whole.head)+len(whole.body)
	if whole.kind == framer.ByConnection {
		require.Equal(t, whole.body[:count-len(whole.head)], string(got), where)
		require.Equal(t, reset, err != nil, where)
	} else {
		require.Equal(t, complete, err == nil, where)
	}
	require.Equal(t, err == nil, x.Complete(), where)
	if complete {
		require.Equal(t, whole.text, string(got), where)
	}
}

// Guards against a head whose parts are missing or joined with others and that is taken for sound.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"a status line of HTTP/2":         "HTTP/2.0 200 OK\r\nId: 1\r\n\r\n",
		"a status line of HTTP/3":         "HTTP/3.0 200 OK\r\nId: 1\r\n\r\n",
		"no version":                      "HTTP/ 200 OK\r\nId: 1\r\n\r\n",
		"a shortened version":             "HTTP/1. 200 OK\r\nId: 1\r\n\r\n",
		"a shortened status":              "HTTP/1.1 20\r\nId: 1\r\n\r\n",
		"no status":                       "HTTP/1.1 \r\nId: 1\r\n\r\n",
		"an empty line first":             "\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"bytes before the status line":    "okHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"a line before the status line":   "rest of a body\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"a shortened header name":         answerHead + "Stam\r\nContent-Length: 0\r\n\r\n",
		"another head in a header line":   answerHead + "StamHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no length":                       answerHead + "Content-Length:\r\n\r\n",
		"a sign before the length":        answerHead + "Content-Length: +1\r\n\r\nx",
		"different lengths":               answerHead + "Content-Length: 1\r\nContent-Length: 12\r\n\r\nx",
		"a shortened encoding":            answerHead + "Transfer-Encoding: chunke\r\n\r\nx",
		"no encoding":                     answerHead + "Transfer-Encoding:\r\n\r\nx",
		"two encodings":                   answerHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a bare CR in a value":            answerHead + "Stamp: 3e1b\rContent-Length: 0\r\n\r\n",
		"a bare CR as the end":            answerHead + "Stamp: 3e1b\r\n\r",
		"a folded line first":             "HTTP/1.1 200 OK\r\n folded\r\nId: 1\r\n\r\n",
		"a folded end":                    answerHead + "Stamp: 3e1b\r\n \r\n",
		"a NUL in a value":                answerHead + "Stamp: 3e\x00b\r\n\r\n",
		"the end of an informational one": "HTTP/1.1 100 Continue\r\n\r\n",
		"a switched protocol":             "HTTP/1.1 101 Switching Protocols\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var next atomic.Pointer[string]
			next.Store(&head)
			_, err := newClient().Do(t.Context(), listenForCuts(t, &next, false).address, withID(newRequest("1")), nil)
			require.ErrorIs(t, err, ErrBroken)
		})
	}
}

// Guards against bytes behind a complete answer that become a part of the next one, whole or cut anywhere.
func TestBytesBehindAnAnswerAreNoneOfTheNext(t *testing.T) {
	const behind = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong"
	for _, name := range []string{"length", "chunks", "no content", "to HEAD"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := wholeAnswers[name]
			var next atomic.Pointer[string]
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				for request := readRequest(reader); request != nil; request = readRequest(reader) {
					if id := request.Header.Get("Id"); id == "1" {
						io.WriteString(conn, *next.Load()) //nolint:errcheck // the reader may be gone
					} else {
						writeAnswer(conn, id, "whole")
					}
				}
			})
			for count := range len(behind) + 1 {
				sent := whole.head + whole.body + behind[:count]
				next.Store(&sent)
				c, first := newClient(), withID(newRequest("1"))
				if whole.method != "" {
					first.Method = whole.method
				}
				_, err := fetch(t, c, e, first)
				require.NoError(t, err)
				got, err := fetch(t, c, e, withID(newRequest("2")))
				require.NoError(t, err)
				require.Equal(t, "whole", got, "%d bytes behind", count)
			}
		})
	}
}

// Guards against an unframed answer that was reset and ends as if it were whole: the concurrent write of
// the request's body gets the only report of the reset.
func TestResetDuringTheBodyNeverLooksComplete(t *testing.T) {
	const rounds, size = 16, 4 << 20 // more than the buffers of both ends
	for name, test := range map[string]struct{ reset bool }{"closed": {}, "reset": {reset: true}} {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				io.WriteString(conn, answerHead+"\r\nthe whole answer") //nolint:errcheck // the reader may be gone
				if test.reset {
					io.CopyN(io.Discard, conn, size/4) //nolint:errcheck // the writer may be gone
					conn.(*net.TCPConn).SetLinger(0)   //nolint:errcheck // it is a TCP connection
					return
				}
				conn.(*net.TCPConn).CloseWrite()   //nolint:errcheck // it is a TCP connection
				io.CopyN(io.Discard, conn, size/4) //nolint:errcheck // the writer may be gone
				<-t.Context().Done()
			})
			c := newClient()
			for range rounds {
				out := newRequest("1")
				out.Method, out.Body = http.MethodPost, []byte(strings.Repeat("x", size))
				got, err := fetch(t, c, e, out)
				require.Equal(t, test.reset, err != nil, "%v", err)
				if !test.reset {
					require.Equal(t, "the whole answer", got)
				}
				require.Zero(t, c.openTo(e.address))
			}
		})
	}
}

// Guards against an answer whose status does not exist that is skipped as an interim one, so that the answer of
// a later request takes its place, or that is passed on.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 None", "099": "HTTP/1.1 099 None", "101": "HTTP/1.1 101 Switching Protocols",
		"600": "HTTP/1.1 600 Beyond", "999": "HTTP/1.1 999 Beyond", "of HTTP/2": "HTTP/2.0 200 OK",
	} {
		t.Run(name, func(t *testing.T) {
			answers := line + "\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody" + answerHead + "Content-Length: 5\r\n\r\nlater"
			var next atomic.Pointer[string]
			next.Store(&answers)
			e, c := listenForCuts(t, &next, false), newClient()
			_, err := c.Do(t.Context(), e.address, withID(newRequest("1")), nil)
			require.ErrorIs(t, err, framer.ErrInvalid)
			require.ErrorIs(t, err, ErrBroken)
			require.Zero(t, c.openTo(e.address), "what follows belongs to nobody")
		})
	}
}
