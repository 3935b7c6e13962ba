package screener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// waitTimeout is how long a condition may take to become true before a test fails, and pollInterval
// how often it is checked; no test passes by waiting.
const (
	waitTimeout  = 10 * time.Second
	pollInterval = time.Millisecond
)

// screenedServer is a server behind a screening listener.
type screenedServer struct {
	listener  *Listener
	address   string
	accepted  atomic.Int64 // connections that the server has accepted
	served    atomic.Int64
	screening atomic.Bool
	room      atomic.Bool
}

// refuseFlood refuses requests to paths that begin with /flood.
func refuseFlood(h *http.Request) *Refusal {
	if !strings.HasPrefix(h.URL.Path, "/flood") {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, Retry: 1500 * time.Millisecond}
}

const reason = "too much to do"

// startServer starts a server behind a screening listener, which ends with the test.
func startServer(t testing.TB, maxWaiting int, judge Judge) *screenedServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &screenedServer{address: inner.Addr().String()}
	d.screening.Store(true)
	d.room.Store(true)
	d.listener = New(inner, Options{
		Admit: d.room.Load, ScreeningActive: d.screening.Load, Judge: judge, MaxWaiting: maxWaiting,
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	})
	countNew := func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			d.accepted.Add(1)
		}
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: countNew, Handler: http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		d.served.Add(1)
		body, err := io.ReadAll(h.Body)
		if err == nil {
			fmt.Fprintf(w, "%s %s %d", h.Method, h.URL.Path, len(body))
		}
	})}
	go server.Serve(d.listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			require.ErrorIs(t, err, net.ErrClosed)
		}
	})
	return d
}

func (d *screenedServer) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func head(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// Guards against a flooded router that spends its processor time on refusals while accepted requests
// are late by a second: each refused request arrives on a connection of its own, and would take a
// connection of the server to refuse.
func TestRequestsAreJudgedBeforeTheServer(t *testing.T) {
	long := strings.Repeat("x", 3*bufferSize)
	tests := map[string]struct {
		pieces []string // written one by one; the first is read before the next is sent
		status int
		body   string
		served int64
	}{
		"refused":                     {pieces: []string{head("/flood", 0)}, status: http.StatusServiceUnavailable, body: reason},
		"refused with its body":       {pieces: []string{head("/flood", 5) + "12345"}, status: http.StatusServiceUnavailable, body: reason},
		"refused with a long body":    {pieces: []string{head("/flood", len(long)) + long}, status: http.StatusServiceUnavailable, body: reason},
		"is served":                   {pieces: []string{head("/calm", 5) + "12345"}, status: http.StatusOK, body: "POST /calm 5", served: 1},
		"served with a long body":     {pieces: []string{head("/calm", len(long)) + long}, status: http.StatusOK, body: fmt.Sprint("POST /calm ", len(long)), served: 1},
		"incomplete head":             {pieces: []string{"POST /flood HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 0\r\n\r\n"}, status: http.StatusOK, body: "POST /flood 0", served: 1},
		"a body of an unknown length": {pieces: []string{"POST /flood HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}, status: http.StatusOK, body: "POST /flood 1", served: 1},
		"no request at all":           {pieces: []string{"\x00\x01\r\n\r\n"}, status: http.StatusBadRequest, body: "400 Bad Request"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := startServer(t, 8, refuseFlood)
			conn := d.dial(t)
			for i, piece := range test.pieces {
				if i > 0 {
					require.Eventually(t, func() bool { return d.accepted.Load() == 1 }, waitTimeout, pollInterval, "the first piece is read")
				}
				_, err := io.WriteString(conn, piece)
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.body, string(body))
			require.Equal(t, test.served, d.served.Load(), "a refused request is not run, a served one is")
			if test.status == http.StatusServiceUnavailable {
				require.Equal(t, "1.500", response.Header.Get("Retry-After"))
				require.True(t, response.Close)
				require.Equal(t, uint64(1), d.listener.Refused())
			}
		})
	}
}

func TestConnectionsAreNotScreenedWhileThereIsRoom(t *testing.T) {
	d := startServer(t, 8, func(*http.Request) *Refusal {
		t.Error("Judge must not be called while screening is inactive")
		return nil
	})
	d.screening.Store(false)
	conn := d.dial(t)
	_, err := io.WriteString(conn, head("/flood", 0))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a router that runs out of descriptors because it waits for connections that send
// nothing.
func TestWaitingConnectionsAreBounded(t *testing.T) {
	d := startServer(t, 2, refuseFlood)
	first, second := d.dial(t), d.dial(t)
	require.Eventually(t, func() bool { return d.listener.Waiting() == 2 }, waitTimeout, pollInterval)
	third := d.dial(t)
	_, err := third.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "above the limit a connection is closed unread")
	require.Equal(t, uint64(1), d.listener.ClosedUnread())
	for _, conn := range []net.Conn{first, second} {
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "a connection that sends nothing is closed")
	}
	require.Eventually(t, func() bool { return d.listener.Waiting() == 0 }, waitTimeout, pollInterval)
	d.room.Store(false)
	_, err = d.dial(t).Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, uint64(2), d.listener.ClosedUnread())
}

// Guards against a router that accepts none of the connections made within nine seconds: more arrive
// than it refuses, they wait in the system's queue until their clients disconnect, and each would
// still be read, judged and handed to the server.
func TestAbandonedConnectionsAreClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, head("/calm", 5)+"12345")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	l := New(inner, Options{
		Admit: func() bool { return true }, ScreeningActive: func() bool { return true }, MaxWaiting: 2,
		Judge: func(*http.Request) *Refusal {
			t.Error("a request whose client has disconnected must not be judged")
			return nil
		},
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	})
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	require.Eventually(t, func() bool { return l.Abandoned() == 1 && l.Waiting() == 0 }, waitTimeout, pollInterval)
	require.Empty(t, l.accepted)
}

// failingListener fails the first accepts with the given errors.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) == 0 {
		return f.Listener.Accept()
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// Guards against a router that reports ready but accepts no connection: a single accept that fails
// for lack of descriptors ends the listener, and the server waits for connections forever.
func TestAcceptContinuesAfterTransientError(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(&failingListener{Listener: inner, errors: []error{syscall.EMFILE, syscall.ECONNABORTED}}, Options{
		Admit: func() bool { return true }, ScreeningActive: func() bool { return false }, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	})
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, conn.LocalAddr(), accepted.RemoteAddr())
	accepted.Close()

	broken := New(&failingListener{Listener: inner, errors: []error{syscall.EINVAL}}, Options{Clock: clockwork.NewRealClock(), Log: zerolog.Nop()})
	_, err = broken.Accept()
	require.ErrorIs(t, err, syscall.EINVAL, "other errors end the listener")
}

// Guards against clients that wait for an answer until their deadlines after a planned stop, because
// their connections were queued and the stopped server never accepted them.
func TestCloseEndsConnectionsNotYetAccepted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(inner, Options{
		Admit: func() bool { return true }, ScreeningActive: func() bool { return false }, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	})
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return len(l.accepted) == 1 }, waitTimeout, pollInterval)
	require.NoError(t, l.Close())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, l.accepted)
	require.Equal(t, uint64(1), l.Silent())
}

// Guards against requests whose connections a planned stop closes without an answer.
func TestCloseRefusesRequestsThatWait(t *testing.T) {
	tests := map[string]struct {
		screening  bool
		beforeSend bool // the listener is closed before the request is sent
		text       string
	}{
		"queued for the server":              {text: head("/calm", 0)},
		"queued, with a body":                {text: head("/calm", 4) + "body"},
		"queued, half of its body":           {text: head("/calm", 8) + "body"},
		"queued, HTTP/1.0":                   {text: "GET /calm HTTP/1.0\r\n\r\n"},
		"queued, a second one behind it":     {text: head("/calm", 0) + head("/calm", 0)},
		"screened while the listener closes": {screening: true, beforeSend: true, text: head("/calm", 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := New(inner, Options{
				Admit: func() bool { return true }, ScreeningActive: func() bool { return test.screening }, Judge: refuseFlood, MaxWaiting: 4,
				Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
			})
			conn, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.Eventually(t, func() bool { return len(l.accepted) == 1 || l.Waiting() == 1 }, waitTimeout, pollInterval)
			if !test.beforeSend {
				_, err = io.WriteString(conn, test.text)
				require.NoError(t, err)
				awaitRequest(t, l)
			}
			require.NoError(t, l.Close())
			if test.beforeSend {
				_, err = io.WriteString(conn, test.text)
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		})
	}
}

// Guards against requests that a planned stop resets because the router has not accepted their
// connections: the goroutine that accepts is held, and the system has queued them.
func TestCloseRefusesRequestsInTheSystemsQueue(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held, entered := make(chan struct{}), make(chan struct{})
	var once sync.Once
	var lines strings.Builder
	l := New(inner, Options{
		Admit: func() bool {
			once.Do(func() { close(entered) })
			<-held
			return false
		},
		Identify:        func(h *http.Request) string { return h.Method + " " + h.URL.Path },
		ScreeningActive: func() bool { return false }, Clock: clockwork.NewRealClock(), Log: zerolog.New(zerolog.SyncWriter(&lines)),
	})
	defer close(held)
	first, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer first.Close()
	<-entered
	const queued = 3
	for range queued {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, head("/calm", 4)+"body")
		require.NoError(t, err)
		defer func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		}()
	}
	require.NoError(t, l.Close())
	require.Equal(t, uint64(queued), l.TurnedAway())
	require.Equal(t, queued, strings.Count(lines.String(), `"id":"POST /calm","cause":"stop"`), "each has its line")
}

// awaitRequest waits until the bytes that a client has sent can be read from the queued connection.
func awaitRequest(t *testing.T, l *Listener) {
	t.Helper()
	queued := <-l.accepted
	require.Eventually(t, func() bool {
		raw, err := queued.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		n := 0
		require.NoError(t, raw.Control(func(descriptor uintptr) {
			n, _, _ = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return n > 0
	}, waitTimeout, pollInterval)
	l.accepted <- queued
}

func TestListenerEnds(t *testing.T) {
	d := startServer(t, 2, refuseFlood)
	require.NoError(t, d.listener.Close())
	_, err := d.listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", d.address)
	require.Error(t, err)
}

// BenchmarkRefusal gives the cost of a refusal on a connection of its own, the client's side
// included, on one core: 103 us if the server refuses, 79 us if the connection is screened.
func BenchmarkRefusal(b *testing.B) {
	for name, screens := range map[string]bool{"screened": true, "by the server": false} {
		b.Run(name, func(b *testing.B) {
			d := startServer(b, 64, refuseFlood)
			d.screening.Store(screens)
			text := head("/flood", 2400) + strings.Repeat("x", 2400)
			for b.Loop() {
				conn, err := net.Dial("tcp", d.address)
				require.NoError(b, err)
				_, err = io.WriteString(conn, text)
				require.NoError(b, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(b, err)
				response.Body.Close()
				conn.Close()
			}
		})
	}
}
