package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// endpoint is a server that handles each connection by a script.
type endpoint struct {
	t       *testing.T
	address netip.AddrPort
	accepts atomic.Int64
}

// listen starts an endpoint that calls serve for each connection, with the connection's number.
func listen(t *testing.T, serve func(number int64, conn net.Conn, reader *bufio.Reader)) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{t: t, address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := e.accepts.Add(1)
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return e
}

// readRequest reads one request with its body, and returns nil on an error.
func readRequest(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	return request
}

// writeAnswer writes an answer with an ID.
func writeAnswer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *Client {
	return &Client{
		Clock:   clockwork.NewRealClock(),
		Matches: func(a *http.Response, id string) bool { return a.Header.Get("Id") == id },
	}
}

// openTo returns the number of connections to an address.
func (c *Client) openTo(address netip.AddrPort) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, found := c.pools[address]; found {
		return p.open
	}
	return 0
}

// idleTo returns the number of idle connections to an address.
func (c *Client) idleTo(address netip.AddrPort) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, found := c.pools[address]; found {
		return len(p.idle)
	}
	return 0
}

func newRequest(id string) *Outgoing {
	return &Outgoing{ID: id, Method: http.MethodGet, Target: "/a//b?x=%2F", Host: "h", Header: http.Header{}}
}

// fetch sends a request and reads its answer.
func fetch(t *testing.T, c *Client, e *endpoint, out *Outgoing) (string, error) {
	t.Helper()
	x, err := c.Do(t.Context(), e.address, out, nil)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

// echo answers every request of a connection with the request's own ID.
func echo(_ int64, conn net.Conn, reader *bufio.Reader) {
	for request := readRequest(reader); request != nil; request = readRequest(reader) {
		writeAnswer(conn, request.Header.Get("Id"), "whole")
	}
}

// withID adds the request's ID to its headers, for echo.
func withID(out *Outgoing) *Outgoing {
	out.Header.Set("Id", out.ID)
	return out
}

func TestConnectionsAreKept(t *testing.T) {
	e := listen(t, echo)
	c := newClient()
	for i := range 5 {
		body, err := fetch(t, c, e, withID(newRequest(fmt.Sprint(i))))
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
	require.EqualValues(t, 1, e.accepts.Load())
	require.Equal(t, 1, c.openTo(e.address))
	require.Equal(t, 1, c.idleTo(e.address))
	_, err := fetch(t, c, e, withID(&Outgoing{ID: "x", Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Fresh: true}))
	require.NoError(t, err)
	require.EqualValues(t, 2, e.accepts.Load())
}

// Guards against a booking that is confirmed twice: an endpoint runs a request from a kept connection,
// which breaks before the answer. The standard client would repeat a request that it considers idempotent.
func TestNothingIsSentTwice(t *testing.T) {
	var runs atomic.Int64
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		request := readRequest(reader)
		writeAnswer(conn, request.Header.Get("Id"), "whole")
		if readRequest(reader) != nil {
			runs.Add(1)
		}
	})
	c := newClient()
	_, err := fetch(t, c, e, withID(newRequest("first")))
	require.NoError(t, err)
	_, err = fetch(t, c, e, withID(newRequest("second")))
	require.ErrorIs(t, err, ErrBroken)
	require.NotErrorIs(t, err, ErrUnsent)
	require.EqualValues(t, 1, runs.Load())
	require.EqualValues(t, 1, e.accepts.Load())
}

// Guards against answers that a browser cannot decode, or a path other than the client's, because the
// HTTP client asks for compression or cleans the path.
func TestRequestsAreSentAsTheyCame(t *testing.T) {
	lines := make(chan string, 1)
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		var all strings.Builder
		for {
			line, err := reader.ReadString('\n')
			all.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		lines <- all.String()
		writeAnswer(conn, "1", "")
	})
	_, err := fetch(t, newClient(), e, newRequest("1"))
	require.NoError(t, err)
	require.Equal(t, "GET /a//b?x=%2F HTTP/1.1\r\nHost: h\r\n\r\n", <-lines)
}

// Guards against a client that gets the answer to another request: an endpoint sends an answer twice,
// the second one while the connection is idle, or in place of the next answer.
func TestAnswersOfOthersAreNeverHandedOn(t *testing.T) {
	// The next request waits for the extra answer, so that it arrives first.
	extra := make(chan struct{}, 2)
	tests := map[string]struct {
		serve    func(number int64, conn net.Conn, reader *bufio.Reader)
		waits    bool
		accepted int64
	}{
		"while the connection is unused": {accepted: 2, waits: true, serve: func(_ int64, conn net.Conn, reader *bufio.Reader) {
			for request := readRequest(reader); request != nil; request = readRequest(reader) {
				writeAnswer(conn, request.Header.Get("Id"), "whole")
				writeAnswer(conn, request.Header.Get("Id"), "again")
				extra <- struct{}{}
			}
		}},
		"before the next answer": {accepted: 1, serve: func(_ int64, conn net.Conn, reader *bufio.Reader) {
			last := ""
			for request := readRequest(reader); request != nil; request = readRequest(reader) {
				if last != "" {
					writeAnswer(conn, last, "late")
				}
				last = request.Header.Get("Id")
				writeAnswer(conn, last, "whole")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listen(t, test.serve)
			c := newClient()
			for _, id := range []string{"first", "second"} {
				body, err := fetch(t, c, e, withID(newRequest(id)))
				require.NoError(t, err)
				require.Equal(t, "whole", body)
				if test.waits {
					<-extra
				}
			}
			require.Equal(t, test.accepted, e.accepts.Load())
		})
	}
	t.Run("instead of the expected answer", func(t *testing.T) {
		e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			for range maxForeign + 1 {
				writeAnswer(conn, "another", "late")
			}
		})
		_, err := fetch(t, newClient(), e, newRequest("1"))
		require.ErrorIs(t, err, ErrForeign)
	})
}

// Guards against an endpoint that reads the head of a request as the body of another: it answers before
// it has read a long body, and keeps the connection open.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		writeAnswer(conn, "long", "early")
		time.Sleep(50 * time.Millisecond) // it may read the rest of the body later or never
	})
	c := newClient()
	out := &Outgoing{ID: "long", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)}
	body, err := fetch(t, c, e, out)
	require.NoError(t, err)
	require.Equal(t, "early", body)
	require.Zero(t, c.openTo(e.address))
}

func TestLongBodiesArriveWhole(t *testing.T) {
	lengths := make(chan int64, 2)
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, request.Body)
			if err != nil {
				return
			}
			lengths <- n
			writeAnswer(conn, "1", "whole")
		}
	})
	c := newClient()
	for _, length := range []int{maxInlineBody, 1 << 20} {
		out := &Outgoing{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, length)}
		_, err := fetch(t, c, e, out)
		require.NoError(t, err)
		require.EqualValues(t, length, <-lengths)
	}
	require.EqualValues(t, 1, e.accepts.Load())
}

// The end of the connection is the end of an answer without a length. An answer whose connection was
// reset is incomplete, and must not be taken for complete.
func TestEndOfAnswerWithoutLength(t *testing.T) {
	tests := map[string]struct {
		reset    bool
		complete bool
	}{
		"closed": {complete: true},
		"reset":  {reset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				if test.reset {
					time.Sleep(20 * time.Millisecond) // the part arrives first
					conn.(*net.TCPConn).SetLinger(0)  //nolint:errcheck // it is a TCP connection
				}
			})
			c := newClient()
			x, err := c.Do(t.Context(), e.address, newRequest("1"), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(x.Body)
			require.Equal(t, "part", string(body))
			require.Equal(t, test.complete, err == nil)
			require.Equal(t, test.complete, x.Complete())
			x.Close()
			require.Zero(t, c.openTo(e.address))
		})
	}
}

// Guards against endpoints that keep working for clients that have disconnected, because the connection
// is kept until the answer arrives.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	e := listen(t, func(_ int64, _ net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		if _, err := reader.ReadByte(); err != nil {
			close(closed)
		}
	})
	c := newClient()
	ctx, cancel := context.WithCancel(t.Context())
	_, err := c.Do(ctx, e.address, newRequest("1"), func() bool {
		time.AfterFunc(20*time.Millisecond, cancel)
		return true
	})
	require.ErrorIs(t, err, ErrBroken)
	<-closed
	require.Zero(t, c.openTo(e.address))
}

func TestUnsentRequestsAreReported(t *testing.T) {
	e := listen(t, echo)
	c := newClient()
	_, err := c.Do(t.Context(), e.address, newRequest("1"), func() bool { return false })
	require.ErrorIs(t, err, ErrUnsent)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free.Close()
	_, err = c.Do(t.Context(), netip.MustParseAddrPort(free.Addr().String()), newRequest("1"), func() bool {
		t.Error("sent must not be called without a connection")
		return true
	})
	require.ErrorIs(t, err, ErrUnsent)
}

// Guards against a request that is lost on an idle connection that its endpoint has closed, because the
// request is written before the close is noticed.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	e := listen(t, func(number int64, conn net.Conn, reader *bufio.Reader) {
		request := readRequest(reader)
		writeAnswer(conn, request.Header.Get("Id"), "whole")
		if number == 1 {
			conn.Close()
			closed <- struct{}{}
			return
		}
		echo(number, conn, reader)
	})
	c := newClient()
	_, err := fetch(t, c, e, withID(newRequest("first")))
	require.NoError(t, err)
	<-closed
	require.Eventually(t, func() bool {
		cn := c.takeIdle(e.address)
		defer c.release(cn, Bound{})
		return !isIdle(cn.Conn)
	}, 5*time.Second, time.Millisecond)
	_, err = fetch(t, c, e, withID(newRequest("second")))
	require.NoError(t, err)
	require.EqualValues(t, 2, e.accepts.Load())
}

// Guards against requests that break or hang at an endpoint that has just restarted: it crashed behind a
// network partition, so that its kept connections seem open.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			writeAnswer(conn, request.URL.Path, "body")
		}
	})
	c := newClient()
	send := func() {
		x, err := c.Do(t.Context(), e.address, &Outgoing{ID: "/a", Method: "GET", Target: "/a", Host: "h"}, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, x.Body)
		require.NoError(t, err)
		x.Close()
	}
	send()
	require.Equal(t, 1, c.idleTo(e.address))
	c.Forget(e.address)
	require.Zero(t, c.openTo(e.address))
	c.Forget(e.address)
	send()
	require.EqualValues(t, 2, c.Opened())
}

func TestIdleTimeFollowsTheEndpoint(t *testing.T) {
	tests := map[string]struct {
		header string
		keep   time.Duration
	}{
		"no header":       {keep: DefaultIdle},
		"seconds":         {header: "timeout=5", keep: 5*time.Second - idleMargin},
		"with a maximum":  {header: "max=100, Timeout=2", keep: 2*time.Second - idleMargin},
		"nothing":         {header: "timeout=0", keep: -idleMargin},
		"unreadable time": {header: "timeout=soon", keep: 0},
		"only a maximum":  {header: "max=3", keep: DefaultIdle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			header.Set("Keep-Alive", test.header)
			require.Equal(t, test.keep, idleTimeout(header))
		})
	}
	t.Run("and is applied", func(t *testing.T) {
		e := listen(t, echo)
		clock := clockwork.NewFakeClock()
		c := newClient()
		c.Clock = clock
		_, err := fetch(t, c, e, withID(newRequest("1")))
		require.NoError(t, err)
		clock.Advance(DefaultIdle - 1)
		c.Sweep()
		require.Equal(t, 1, c.idleTo(e.address))
		clock.Advance(1)
		c.Sweep()
		require.Zero(t, c.openTo(e.address))
	})
}

func TestEnded(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	require.False(t, Ended(far), "a pipe has no socket")
	e := listen(t, func(_ int64, _ net.Conn, reader *bufio.Reader) { readRequest(reader) })
	conn, err := net.Dial("tcp", e.address.String())
	require.NoError(t, err)
	defer conn.Close()
	require.False(t, Ended(conn))
	// A blocked reader must not block the check.
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	require.False(t, Ended(conn))
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.True(t, errors.Is(<-read, io.EOF))
	require.Eventually(t, func() bool { return Ended(conn) }, 5*time.Second, time.Millisecond)
}

// FuzzAnswer feeds arbitrary bytes as an answer: the exchange must end, and an answer that it returns
// must belong to the request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nab"))
	f.Add([]byte("\x00\xff garbage \r\n\r\n"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		near, far := net.Pipe()
		c := newClient()
		x := &Exchange{client: c, conn: newConn(near, netip.AddrPort{}), stopCancel: func() bool { return true }}
		go func() {
			far.Write(bytes) //nolint:errcheck // the reader may have closed its end
			far.Close()
		}()
		defer near.Close()
		if err := x.receive(newRequest("1")); err != nil {
			return
		}
		require.Equal(t, "1", x.Header.Get("Id"))
		if _, err := io.Copy(io.Discard, x.Body); err == nil {
			require.True(t, x.Complete())
		}
	})
}

// Guards against connections that are counted as made although their dials failed: the counter would
// show connections that are not kept, where endpoints cannot be reached.
func TestFailedDialsAreNotCountedAsConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	c := newClient()
	_, err = c.Do(t.Context(), closed, &Outgoing{ID: "/a", Method: "GET", Target: "/a", Host: "h"}, nil)
	require.ErrorIs(t, err, ErrUnsent)
	require.Zero(t, c.Opened())
}

// takeIdle removes the most recently used idle connection from the pool and returns it, nil if none.
func (c *Client) takeIdle(address netip.AddrPort) *conn {
	if c.idleTo(address) == 0 {
		return nil
	}
	cn, _, err := c.takeOrReserve(address, &Outgoing{})
	if err != nil {
		return nil
	}
	return cn
}
