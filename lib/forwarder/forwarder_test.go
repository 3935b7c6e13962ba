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

// endpoint is a stand-in that answers each connection by a script.
type endpoint struct {
	t       *testing.T
	address netip.AddrPort
	accepts atomic.Int64
}

// listen starts an endpoint that runs serve for each connection, with its number.
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

// take reads one request with its body.
func take(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	return request
}

func answer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient() *Client {
	return &Client{
		Clock:     clockwork.NewRealClock(),
		OwnAnswer: func(a *http.Response, id string) bool { return a.Header.Get("Id") == id },
	}
}

// openTo returns how many connections to an address exist.
func (c *Client) openTo(address netip.AddrPort) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, found := c.pools[address]; found {
		return p.open
	}
	return 0
}

// idleTo returns how many connections to an address wait for a request.
func (c *Client) idleTo(address netip.AddrPort) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, found := c.pools[address]; found {
		return len(p.idle)
	}
	return 0
}

func get(id string) *Outgoing {
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

// echo answers every request of a connection with its own id.
func echo(_ int64, conn net.Conn, reader *bufio.Reader) {
	for request := take(reader); request != nil; request = take(reader) {
		answer(conn, request.Header.Get("Id"), "whole")
	}
}

func withID(out *Outgoing) *Outgoing {
	out.Header.Set("Id", out.ID)
	return out
}

func TestConnectionsAreKept(t *testing.T) {
	e := listen(t, echo)
	c := newClient()
	for i := range 5 {
		body, err := fetch(t, c, e, withID(get(fmt.Sprint(i))))
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

// Symptom: a booking is confirmed twice. Sequence: an endpoint takes a request on
// a kept connection, runs it, and its connection breaks before the answer. Cause:
// the standard client sends what it holds to be idempotent once more by itself.
func TestNothingIsSentTwice(t *testing.T) {
	var runs atomic.Int64
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		request := take(reader)
		answer(conn, request.Header.Get("Id"), "whole")
		if take(reader) != nil {
			runs.Add(1)
		}
	})
	c := newClient()
	_, err := fetch(t, c, e, withID(get("first")))
	require.NoError(t, err)
	_, err = fetch(t, c, e, withID(get("second")))
	require.ErrorIs(t, err, ErrBroken)
	require.NotErrorIs(t, err, ErrUnsent)
	require.EqualValues(t, 1, runs.Load())
	require.EqualValues(t, 1, e.accepts.Load())
}

// Symptom: a client gets bytes that its browser cannot read, or a path that is
// not its own. Cause: the client library asked for compression, or cleaned the
// path.
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
		answer(conn, "1", "")
	})
	_, err := fetch(t, newClient(), e, get("1"))
	require.NoError(t, err)
	require.Equal(t, "GET /a//b?x=%2F HTTP/1.1\r\nHost: h\r\n\r\n", <-lines)
}

// Symptom: a client gets another's answer. Sequence: an endpoint sends an answer
// twice, the second one when the connection is idle, or right where the next
// answer is due.
func TestAnswersOfOthersAreNeverHandedOn(t *testing.T) {
	// An extra answer is there before the next request only if that one waits for it.
	extra := make(chan struct{}, 2)
	tests := map[string]struct {
		serve    func(number int64, conn net.Conn, reader *bufio.Reader)
		waits    bool
		accepted int64
	}{
		"while the connection is idle": {accepted: 2, waits: true, serve: func(_ int64, conn net.Conn, reader *bufio.Reader) {
			for request := take(reader); request != nil; request = take(reader) {
				answer(conn, request.Header.Get("Id"), "whole")
				answer(conn, request.Header.Get("Id"), "again")
				extra <- struct{}{}
			}
		}},
		"where the next one is due": {accepted: 1, serve: func(_ int64, conn net.Conn, reader *bufio.Reader) {
			last := ""
			for request := take(reader); request != nil; request = take(reader) {
				if last != "" {
					answer(conn, last, "late")
				}
				last = request.Header.Get("Id")
				answer(conn, last, "whole")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listen(t, test.serve)
			c := newClient()
			for _, id := range []string{"first", "second"} {
				body, err := fetch(t, c, e, withID(get(id)))
				require.NoError(t, err)
				require.Equal(t, "whole", body)
				if test.waits {
					<-extra
				}
			}
			require.Equal(t, test.accepted, e.accepts.Load())
		})
	}
	t.Run("instead of the own one", func(t *testing.T) {
		e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
			take(reader)
			for range maxForeign + 1 {
				answer(conn, "another", "late")
			}
		})
		_, err := fetch(t, newClient(), e, get("1"))
		require.ErrorIs(t, err, ErrForeign)
	})
}

// Symptom: an endpoint reads the head of one request as the body of another.
// Sequence: it answers before it has read a long body and keeps the connection.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer(conn, "long", "early")
		time.Sleep(50 * time.Millisecond) // it reads on later, or never
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
			answer(conn, "1", "whole")
		}
	})
	c := newClient()
	for _, length := range []int{inlineBody, 1 << 20} {
		out := &Outgoing{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, length)}
		_, err := fetch(t, c, e, out)
		require.NoError(t, err)
		require.EqualValues(t, length, <-lengths)
	}
	require.EqualValues(t, 1, e.accepts.Load())
}

// An answer without a length ends with its connection. One that was reset is not
// whole, and must not look so.
func TestEndOfAnswerWithoutLength(t *testing.T) {
	tests := map[string]struct {
		reset bool
		whole bool
	}{
		"closed": {whole: true},
		"reset":  {reset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
				take(reader)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				if test.reset {
					time.Sleep(20 * time.Millisecond) // the part arrives first
					conn.(*net.TCPConn).SetLinger(0)  //nolint:errcheck // it is a TCP connection
				}
			})
			c := newClient()
			x, err := c.Do(t.Context(), e.address, get("1"), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(x.Body)
			require.Equal(t, "part", string(body))
			require.Equal(t, test.whole, err == nil)
			require.Equal(t, test.whole, x.Whole())
			x.Close()
			require.Zero(t, c.openTo(e.address))
		})
	}
}

// Symptom: endpoints work on for clients that have left. Cause: the connection
// was kept until the answer came.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	e := listen(t, func(_ int64, _ net.Conn, reader *bufio.Reader) {
		take(reader)
		if _, err := reader.ReadByte(); err != nil {
			close(closed)
		}
	})
	c := newClient()
	ctx, cancel := context.WithCancel(t.Context())
	_, err := c.Do(ctx, e.address, get("1"), func() bool {
		time.AfterFunc(20*time.Millisecond, cancel)
		return true
	})
	require.ErrorIs(t, err, ErrBroken)
	<-closed
	require.Zero(t, c.openTo(e.address))
}

func TestUnsentIsKnown(t *testing.T) {
	e := listen(t, echo)
	c := newClient()
	_, err := c.Do(t.Context(), e.address, get("1"), func() bool { return false })
	require.ErrorIs(t, err, ErrUnsent)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	free.Close()
	_, err = c.Do(t.Context(), netip.MustParseAddrPort(free.Addr().String()), get("1"), func() bool {
		t.Error("nothing may be sent without a connection")
		return true
	})
	require.ErrorIs(t, err, ErrUnsent)
}

// Symptom: a request is lost on a connection that its endpoint has closed.
// Sequence: the endpoint closes it when idle; the request is written before the
// end is noticed.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	e := listen(t, func(number int64, conn net.Conn, reader *bufio.Reader) {
		request := take(reader)
		answer(conn, request.Header.Get("Id"), "whole")
		if number == 1 {
			conn.Close()
			closed <- struct{}{}
			return
		}
		echo(number, conn, reader)
	})
	c := newClient()
	_, err := fetch(t, c, e, withID(get("first")))
	require.NoError(t, err)
	<-closed
	require.Eventually(t, func() bool {
		cn := c.takeIdle(e.address)
		defer c.giveBack(cn)
		return !quiet(cn.Conn)
	}, 5*time.Second, time.Millisecond)
	_, err = fetch(t, c, e, withID(get("second")))
	require.NoError(t, err)
	require.EqualValues(t, 2, e.accepts.Load())
}

// Symptom: requests to an endpoint that has just started again break or hang.
// Sequence: it crashed behind a network partition, so that its connections look open.
// Cause: they were kept.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	e := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		for request := take(reader); request != nil; request = take(reader) {
			answer(conn, request.URL.Path, "body")
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
		"not said":       {keep: DefaultIdle},
		"seconds":        {header: "timeout=5", keep: 5*time.Second - idleMargin},
		"with a maximum": {header: "max=100, Timeout=2", keep: 2*time.Second - idleMargin},
		"nothing":        {header: "timeout=0", keep: -idleMargin},
		"not to be read": {header: "timeout=soon", keep: 0},
		"something else": {header: "max=3", keep: DefaultIdle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			header.Set("Keep-Alive", test.header)
			require.Equal(t, test.keep, keepFor(header))
		})
	}
	t.Run("and is kept", func(t *testing.T) {
		e := listen(t, echo)
		clock := clockwork.NewFakeClock()
		c := newClient()
		c.Clock = clock
		_, err := fetch(t, c, e, withID(get("1")))
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
	require.False(t, Ended(far), "no TCP connection")
	e := listen(t, func(_ int64, _ net.Conn, reader *bufio.Reader) { take(reader) })
	conn, err := net.Dial("tcp", e.address.String())
	require.NoError(t, err)
	defer conn.Close()
	require.False(t, Ended(conn))
	// A reader that waits must not keep the look waiting.
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

// FuzzAnswer feeds any bytes as an answer: an exchange ends, and what it hands on
// belongs to the request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nab"))
	f.Add([]byte("\x00\xff garbage \r\n\r\n"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		near, far := net.Pipe()
		c := newClient()
		x := &Exchange{client: c, conn: &conn{Conn: near, reader: bufio.NewReader(near)}, release: func() bool { return true }}
		go func() {
			far.Write(bytes) //nolint:errcheck // the reader may have seen enough
			far.Close()
		}()
		defer near.Close()
		if err := x.receive(get("1")); err != nil {
			return
		}
		require.Equal(t, "1", x.Header.Get("Id"))
		if _, err := io.Copy(io.Discard, x.Body); err == nil {
			require.True(t, x.Whole())
		}
	})
}
