package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/narrower"
)

// listenNarrow starts an endpoint behind a cut. It passes its connections on unread.
func listenNarrow(t *testing.T) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	listener, err := narrower.Listen(t.Context())
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), accepted
}

// giveUp sends a request with a body of some bytes, and gives it up once it has begun to arrive.
func giveUp(t *testing.T, c *Client, address netip.AddrPort, bytes int, accepted <-chan net.Conn) (*bufio.Reader, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := newRequest("late")
	out.Method, out.Body = http.MethodPost, []byte(strings.Repeat("x", bytes))
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, address, out, nil)
		ended <- err
	}()
	conn := <-accepted
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReaderSize(conn, 16)
	_, err := reader.Peek(1)
	require.NoError(t, err)
	cancel()
	err = <-ended
	require.ErrorIs(t, err, ErrBroken)
	return reader, err
}

// Guards against a request that was given up behind a cut, and that the system delivers when the cut heals, to an
// endpoint that has left.
func TestRequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	for name, test := range map[string]struct {
		bytes  int
		queued bool // all of it waits in the system
	}{
		"written at once": {bytes: maxInlineBody, queued: true},
		"a long body":     {bytes: 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient()
			address, accepted := listenNarrow(t)
			reader, err := giveUp(t, c, address, test.bytes, accepted)
			if test.queued {
				require.ErrorContains(t, err, "has not acknowledged")
				require.EqualValues(t, 1, c.Undelivered())
			}
			request, err := http.ReadRequest(reader)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			require.Error(t, err, "the whole request arrived after it was given up")
		})
	}
}

// Guards against a reset in place of a close where the endpoint has the request: behind a cut a reset may be lost
// for good, and the endpoint would work on for nobody.
func TestRequestThatHasArrivedIsClosedWithoutAReset(t *testing.T) {
	c := newClient()
	e := make(chan error, 1)
	accepted := make(chan net.Conn, 1)
	served := listen(t, func(_ int64, conn net.Conn, reader *bufio.Reader) {
		if readRequest(reader) != nil {
			accepted <- conn
			_, err := reader.ReadByte()
			e <- err
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, served.address, newRequest("arrived"), nil)
		ended <- err
	}()
	<-accepted
	cancel()
	require.ErrorIs(t, <-ended, ErrBroken)
	require.ErrorIs(t, <-e, io.EOF)
	require.Zero(t, c.Undelivered())
}

// Guards against a request that waits behind a cut while its endpoint announces that it leaves, and that reaches the
// endpoint when the cut heals.
func TestRequestToAnEndpointThatLeavesIsRecalledUnlessItHasArrived(t *testing.T) {
	for name, test := range map[string]struct {
		leaves   bool
		arrives  bool // the endpoint reads it before recallGrace is over
		recalled bool
	}{
		"it leaves":                         {leaves: true, recalled: true},
		"it leaves, and reads it meanwhile": {leaves: true, arrives: true},
		"it stays":                          {},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newClient()
			c.Clock = clock
			address, accepted := listenNarrow(t)
			accepting, leave := context.WithCancel(t.Context())
			defer leave()
			out := newRequest("held")
			out.Method, out.Body, out.Accepting = http.MethodPost, []byte(strings.Repeat("x", maxInlineBody)), accepting
			ended := make(chan error, 1)
			go func() {
				x, err := c.Do(t.Context(), address, out, nil)
				if err == nil {
					x.Close()
				}
				ended <- err
			}()
			conn := <-accepted
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 16)
			_, err := reader.Peek(1)
			require.NoError(t, err)
			if test.leaves {
				leave()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				require.NoError(t, clock.BlockUntilContext(ctx, 1))
			}
			if test.recalled {
				clock.Advance(recallGrace)
				err := <-ended
				require.ErrorIs(t, err, ErrRecalled)
				require.ErrorIs(t, err, ErrBroken)
				require.Nil(t, readRequest(reader), "the whole request arrived all the same")
				return
			}
			require.NotNil(t, readRequest(reader))
			clock.Advance(recallGrace)
			writeAnswer(conn, "held", "whole")
			require.NoError(t, <-ended)
		})
	}
}
