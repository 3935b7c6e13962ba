package proxier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// wholeStamp is the signature of endpoints' answers in these tests.
const wholeStamp = "3e1b.07.5a2.600.0.c9f2a4d1"

// plainAnswers are answers without events as endpoints write them.
var plainAnswers = map[string]struct {
	method, head, body string
	status             int
	unframed           bool
	notRun             bool
}{
	"200":            {head: "HTTP/1.1 200 OK\r\nSTAMPContent-Length: 12\r\n\r\n", body: "twelve bytes", status: 200},
	"200, empty":     {head: "HTTP/1.1 200 OK\r\nSTAMPContent-Length: 0\r\n\r\n", status: 200},
	"200, chunks":    {head: "HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\n\r\n", body: "3\r\none\r\n0\r\n\r\n", status: 200},
	"200, unframed":  {head: "HTTP/1.1 200 OK\r\nSTAMP\r\n", body: "twelve bytes", status: 200, unframed: true},
	"200, after 1xx": {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nSTAMPContent-Length: 3\r\n\r\n", body: "one", status: 200},
	"200, bare LF":   {head: "HTTP/1.1 200 OK\nSTAMPContent-Length: 3\n\n", body: "one", status: 200},
	"204":            {head: "HTTP/1.1 204 No Content\r\nSTAMP\r\n", status: 204},
	"304":            {head: "HTTP/1.1 304 Not Modified\r\nSTAMP\r\n", status: 304},
	"to HEAD":        {method: http.MethodHead, head: "HTTP/1.1 200 OK\r\nSTAMPContent-Length: 12\r\n\r\n", status: 200},
	"404":            {head: "HTTP/1.1 404 Not Found\r\nSTAMPContent-Length: 4\r\n\r\n", body: "none", status: 404},
	"500":            {head: "HTTP/1.1 500 Internal Server Error\r\nSTAMPContent-Length: 3\r\n\r\n", body: "bad", status: 500},
	"500, unframed":  {head: "HTTP/1.1 500 Internal Server Error\r\nSTAMP\r\n", body: "bad", status: 500, unframed: true},
	"503, not run":   {head: "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\nContent-Length: 4\r\n\r\n", body: "full", status: 503, notRun: true},
	"200 of HTTP/2":  {head: "HTTP/2.0 200 OK\r\nSTAMP\r\n", body: "twelve bytes", status: 502},
}

// Guards against an answer whose connection ends in its head or body and that looks whole to the client, on
// new and on kept connections.
func TestCutHeadNeverLooksComplete(t *testing.T) {
	for name, answer := range plainAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, kept %t", name, reset, kept), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					var next atomic.Pointer[string]
					address := f.listen(func(conn net.Conn, request *http.Request) {
						if request.URL.Path == "/read/warm" {
							reply(conn, request, http.StatusOK, "warm")
							return
						}
						write(conn, []string{*next.Load()})
						if reset {
							resetConn(conn, request)
						}
						conn.Close()
					})
					method := http.MethodGet
					if answer.method != "" {
						method = answer.method
					}
					head := strings.Replace(answer.head, "STAMP", stampHeader+": "+wholeStamp+"\r\n", 1)
					all := head + answer.body
					for count := range len(all) + 1 {
						part := all[:count]
						next.Store(&part)
						id := f.add(address)
						if kept {
							_, err := f.fetch(http.MethodGet, "/read/warm", "")
							require.NoError(t, err)
						}
						where := fmt.Sprintf("cut after byte %d of %d", count, len(all))
						response, err := f.send(t.Context(), method, "/book/", "")
						require.NoError(t, err, where)
						text, err := readText(response)
						stamp := response.Header.Get(stampHeader)
						switch {
						case stamp == "" && answer.notRun:
							require.NoError(t, err, where)
							require.Equal(t, count >= len(head), response.StatusCode == http.StatusServiceUnavailable, where)
						case stamp == "":
							require.NoError(t, err, where)
							require.Equal(t, http.StatusBadGateway, response.StatusCode, where)
							broken := count < len(all) || answer.unframed && reset || answer.status == http.StatusBadGateway
							require.True(t, broken, "%s: a complete answer was not relayed", where)
						case answer.unframed && err == nil:
							require.Equal(t, answer.status, response.StatusCode, where)
							require.False(t, reset, where)
							require.True(t, response.ContentLength < 0 && len(response.TransferEncoding) == 0, "%s: it looks whole", where)
							require.Equal(t, all[len(head):count], text, where)
						case err == nil:
							require.Equal(t, wholeStamp, stamp, where)
							require.Equal(t, answer.status, response.StatusCode, where)
							require.Equal(t, len(all), count, "%s: it looks whole", where)
						}
						f.remove(id)
					}
				})
			}
		}
	}
}

// Guards against a client's body that breaks off and is sent to an endpoint as a whole one.
func TestCutBodyIsNotSent(t *testing.T) {
	for name, test := range map[string]struct {
		length int64
		end    error
		status int // 0 if the connection is cut
	}{
		"chunks, whole":      {length: -1, end: io.EOF, status: http.StatusOK},
		"chunks, broken off": {length: -1, end: io.ErrUnexpectedEOF},
		"chunks, reset":      {length: -1, end: syscall.ECONNRESET},
		"length, whole":      {length: int64(len("the body")), end: io.EOF, status: http.StatusOK},
		"length, broken off": {length: 100, end: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(answerWith("run"))
			// Neither the context of this request nor its connection tells that the client has left.
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/book/", io.MultiReader(strings.NewReader("the body"), iotest.ErrReader(test.end)))
			request.ContentLength = test.length
			recorder := httptest.NewRecorder()
			if test.status != 0 {
				f.proxier.ServeHTTP(recorder, request)
				require.Equal(t, test.status, recorder.Code)
				require.Equal(t, "run", recorder.Body.String())
				return
			}
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { f.proxier.ServeHTTP(recorder, request) })
			require.Zero(t, f.proxier.Started())
		})
	}
}
