package framer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// wrapped is a connection that exposes its socket but not its type.
type wrapped struct {
	net.Conn
	socket syscall.Conn
}

func (w wrapped) SyscallConn() (syscall.RawConn, error) { return w.socket.SyscallConn() }

// socketless is a connection that does not expose a socket.
type socketless struct{ net.Conn }

// Guards against a normal close after a truncated answer without framing, which would make it
// appear complete, also on connections wrapped by another package.
func TestUnframedAnswerEndsWithAResetUnlessComplete(t *testing.T) {
	for name, test := range map[string]struct {
		wrap     func(net.Conn) net.Conn
		complete bool
		fails    bool
	}{
		"whole":              {complete: true},
		"broken":             {},
		"complete, wrapped":  {wrap: func(conn net.Conn) net.Conn { return wrapped{conn, conn.(syscall.Conn)} }, complete: true},
		"truncated, wrapped": {wrap: func(conn net.Conn) net.Conn { return wrapped{conn, conn.(syscall.Conn)} }},
		"no socket":          {wrap: func(conn net.Conn) net.Conn { return socketless{conn} }, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
				end, err := Unframe(w, h)
				if err != nil {
					http.Error(w, err.Error(), http.StatusBadGateway)
					return
				}
				io.WriteString(w, "a part") //nolint:errcheck // the reader may be gone
				if !test.complete {
					http.NewResponseController(w).Flush() //nolint:errcheck // likewise
					panic(http.ErrAbortHandler)
				}
				if err := end.Complete(http.NewResponseController(w)); err != nil {
					t.Error(err)
				}
			}))
			server.Listener.Close()
			server.Listener = wrapping{inner, test.wrap}
			server.Config.ConnContext = WithConn
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			require.NoError(t, err)
			got, err := io.ReadAll(conn)
			if test.fails {
				require.Contains(t, string(got), "502 Bad Gateway")
				return
			}
			require.Contains(t, string(got), "\r\n\r\na part")
			require.NotContains(t, string(got), "chunked")
			require.Equal(t, test.complete, err == nil, "%v", err)
		})
	}
}

// wrapping is a listener that wraps the connections it accepts.
type wrapping struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrapping) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.wrap == nil {
		return conn, err
	}
	return l.wrap(conn), nil
}

func TestFramings(t *testing.T) {
	for name, test := range map[string]struct {
		method string
		answer http.Response
		want   Framing
	}{
		"length":            {answer: http.Response{ProtoMajor: 1, ContentLength: 3}, want: ByLength},
		"chunks":            {answer: http.Response{ProtoMajor: 1, ContentLength: -1, TransferEncoding: []string{"chunked"}}, want: ByChunks},
		"neither":           {answer: http.Response{ProtoMajor: 1, ContentLength: -1}, want: ByConnection},
		"to HEAD":           {method: http.MethodHead, answer: http.Response{ProtoMajor: 1, ContentLength: -1}, want: ByLength},
		"204":               {answer: http.Response{ProtoMajor: 1, ContentLength: -1, StatusCode: http.StatusNoContent}, want: ByLength},
		"304":               {answer: http.Response{ProtoMajor: 1, ContentLength: -1, StatusCode: http.StatusNotModified}, want: ByLength},
		"a frame of HTTP/2": {answer: http.Response{ProtoMajor: 2, ContentLength: -1}, want: ByLength},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, Of(test.method, &test.answer))
		})
	}
}

// Guards against answers with a status that does not exist, or of another protocol, that are forwarded.
func TestOnlyFinalAnswersAreValid(t *testing.T) {
	for name, test := range map[string]struct {
		status, major  int
		valid, interim bool
	}{
		"none":               {status: 0, major: 1},
		"below all classes":  {status: 99, major: 1},
		"100":                {status: 100, major: 1, interim: true},
		"101 unasked":        {status: 101, major: 1},
		"103":                {status: 103, major: 1, interim: true},
		"200":                {status: 200, major: 1, valid: true},
		"an unknown one":     {status: 299, major: 1, valid: true},
		"599":                {status: 599, major: 1, valid: true},
		"beyond all classes": {status: 600, major: 1},
		"999":                {status: 999, major: 1},
		"HTTP/2":             {status: 200, major: 2},
		"interim of HTTP/2":  {status: 100, major: 2},
	} {
		t.Run(name, func(t *testing.T) {
			answer := &http.Response{StatusCode: test.status, ProtoMajor: test.major}
			require.Equal(t, test.interim, Interim(answer))
			if test.valid {
				require.NoError(t, Check(answer))
				return
			}
			require.ErrorIs(t, Check(answer), ErrInvalid)
		})
	}
}
