package drainer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout is how long a condition may take to become true before a test fails, and pollInterval
// how often it is checked; no test passes by waiting.
const (
	waitTimeout  = 10 * time.Second
	pollInterval = time.Millisecond
)

// heldListener accepts connections whose reads neither begin nor return while they are held, as on a
// machine whose processors are busy.
type heldListener struct {
	net.Listener
	held    atomic.Pointer[chan struct{}]
	waiting atomic.Int64 // reads that are held
}

// hold holds reads until the returned function is called.
func (l *heldListener) hold() (release func()) {
	held := make(chan struct{})
	l.held.Store(&held)
	return func() {
		l.held.Store(nil)
		close(held)
	}
}

func (l *heldListener) pause() {
	if held := l.held.Load(); held != nil {
		l.waiting.Add(1)
		<-*held
	}
}

func (l *heldListener) Accept() (net.Conn, error) {
	cn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: cn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(into []byte) (int, error) {
	c.listener.pause()
	n, err := c.TCPConn.Read(into)
	c.listener.pause()
	return n, err
}

// testbed is a server whose connections a Drainer tracks. Its answers are the paths of the
// requests, and only /kept keeps its connection.
type testbed struct {
	*Drainer
	t        *testing.T
	listener *heldListener
	served   atomic.Int64
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tb := &testbed{Drainer: New(), t: t, listener: &heldListener{Listener: inner}}
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: tb.SetState, Handler: http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		tb.served.Add(1)
		if h.URL.Path != "/kept" {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, h.URL.Path)
	})}
	go server.Serve(tb.Listener(tb.listener)) //nolint:errcheck // it ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return tb
}

func (tb *testbed) dial() net.Conn {
	tb.t.Helper()
	cn, err := net.Dial("tcp", tb.listener.Addr().String())
	require.NoError(tb.t, err)
	tb.t.Cleanup(func() { cn.Close() })
	return cn
}

// get sends a request.
func (tb *testbed) get(cn net.Conn, path string) {
	tb.t.Helper()
	_, err := io.WriteString(cn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(tb.t, err)
}

// answer reads an answer and returns its body.
func (tb *testbed) answer(from *bufio.Reader) string {
	tb.t.Helper()
	response, err := http.ReadResponse(from, nil)
	require.NoError(tb.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(tb.t, err)
	return string(body)
}

// awaitKept waits until the server waits for another request on each of a number of connections.
func (tb *testbed) awaitKept(count int) {
	tb.t.Helper()
	require.Eventually(tb.t, func() bool {
		waiting := 0
		for _, c := range tb.open() {
			c.mutex.Lock()
			if c.phase == kept && c.reading {
				waiting++
			}
			c.mutex.Unlock()
		}
		return waiting == count
	}, waitTimeout, pollInterval)
}

func (tb *testbed) awaitDone() {
	tb.t.Helper()
	select {
	case <-tb.Done():
	case <-time.After(waitTimeout):
		require.Fail(tb.t, "the drain does not end")
	}
}

// Guards against a stop that drops a request which has arrived on a kept connection and has not been
// read yet.
func TestArrivedRequestOnKeptConnectionIsAnswered(t *testing.T) {
	tb := newTestbed(t)
	cn := tb.dial()
	from := bufio.NewReader(cn)
	tb.get(cn, "/kept")
	require.Equal(t, "/kept", tb.answer(from))
	tb.awaitKept(1)
	release := tb.listener.hold()
	tb.get(cn, "/crossing")
	require.Eventually(t, func() bool { return tb.listener.waiting.Load() == 1 }, waitTimeout, pollInterval)
	require.NoError(t, tb.listener.Close())
	tb.Begin()
	release()
	require.Equal(t, "/crossing", tb.answer(from))
	tb.awaitDone()
}

// Guards against a stop that drops a request because the server reads it after the stop has begun: its
// connection was accepted before.
func TestArrivedRequestOnNewConnectionIsAnswered(t *testing.T) {
	tb := newTestbed(t)
	release := tb.listener.hold()
	cn := tb.dial()
	tb.get(cn, "/new")
	require.Eventually(t, func() bool { return tb.listener.waiting.Load() == 1 }, waitTimeout, pollInterval)
	require.NoError(t, tb.listener.Close())
	tb.Begin()
	tb.EndNew()
	release()
	require.Equal(t, "/new", tb.answer(bufio.NewReader(cn)))
	tb.awaitDone()
}

// Guards against a stop that waits for clients which send nothing, or that drops those that may still
// send their first request.
func TestQuietConnectionsAreClosed(t *testing.T) {
	tb := newTestbed(t)
	idle, fresh := tb.dial(), tb.dial()
	from := bufio.NewReader(idle)
	tb.get(idle, "/kept")
	require.Equal(t, "/kept", tb.answer(from))
	tb.awaitKept(1)
	require.Eventually(t, func() bool { return len(tb.open()) == 2 }, waitTimeout, pollInterval)
	require.NoError(t, tb.listener.Close())
	tb.Begin()
	_, err := from.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	select {
	case <-tb.Done():
		require.Fail(t, "the first request of a new connection is still awaited")
	default:
	}
	tb.EndNew()
	_, err = fresh.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	tb.awaitDone()
	require.EqualValues(t, 1, tb.served.Load())
}

// Guards against a stop that waits for a client which sends half of a request.
func TestInterruptEndsReads(t *testing.T) {
	tb := newTestbed(t)
	cn := tb.dial()
	_, err := io.WriteString(cn, "GET /half HTTP/1.1\r\nHo")
	require.NoError(t, err)
	require.NoError(t, tb.listener.Close())
	tb.Begin()
	require.Eventually(t, func() bool {
		tb.Interrupt()
		select {
		case <-tb.Done():
			return true
		default:
			return false
		}
	}, waitTimeout, pollInterval)
	require.Zero(t, tb.served.Load())
}
