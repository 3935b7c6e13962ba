package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against a router that keeps more connections than its part after a burst, so that the endpoint
// accepts none from other routers, and against a burst that is refused because of an even part.
func TestConnectionsBeyondThePartAreNotKept(t *testing.T) {
	const part, burst = 2, 5
	e := listen(t, echo)
	c := newClient()
	clock := clockwork.NewFakeClock()
	c.Clock = clock
	out := func(fresh bool) *Outgoing {
		request := withID(newRequest("1"))
		request.Fresh, request.Bound = fresh, Bound{Part: part, Open: burst}
		return request
	}
	var exchanges []*Exchange
	for range burst {
		x, err := c.Do(t.Context(), e.address, out(false), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, x.Body)
		require.NoError(t, err)
		exchanges = append(exchanges, x)
	}
	require.Equal(t, burst, c.openTo(e.address))
	_, err := c.Do(t.Context(), e.address, out(false), nil)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrCrowded)
	for _, x := range exchanges {
		x.Close()
	}
	require.Equal(t, burst, c.idleTo(e.address), "they can be reused by the next requests of the burst")
	clock.Advance(surplusIdle)
	c.Sweep()
	require.Equal(t, part, c.openTo(e.address))
	require.Equal(t, part, c.idleTo(e.address))

	_, err = fetch(t, c, e, out(false))
	require.NoError(t, err)
	require.EqualValues(t, burst, c.Opened(), "an idle connection is reused")
	_, err = fetch(t, c, e, out(true))
	require.NoError(t, err)
	require.EqualValues(t, burst+1, c.Opened())
	require.Equal(t, part, c.openTo(e.address), "an idle connection gave way to the new one")
}

// Guards against connections that stay counted although they failed or were withdrawn, so that an endpoint
// seems crowded.
func TestFailedConnectionsDoNotCrowd(t *testing.T) {
	e := listen(t, func(_ int64, _ net.Conn, reader *bufio.Reader) { readRequest(reader) })
	c := newClient()
	for range 5 {
		request := newRequest("1")
		request.Bound = Bound{Part: 1, Open: 1}
		_, err := c.Do(t.Context(), e.address, request, nil)
		require.ErrorIs(t, err, ErrBroken)
		_, err = c.Do(t.Context(), e.address, &Outgoing{Method: http.MethodGet, Bound: request.Bound}, func() bool { return false })
		require.ErrorIs(t, err, ErrWithdrawn)
		c.Forget(e.address)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	for range 2 {
		request := newRequest("1")
		request.Bound = Bound{Part: 1, Open: 1}
		_, err := c.Do(t.Context(), refusing, request, nil)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.Zero(t, c.openTo(refusing))
	}
	require.Zero(t, c.openTo(e.address))
}

// Guards against an idle connection that is closed, or left while its request gets ErrCrowded, because it was
// released while the request looked for one.
func TestReleasedConnectionIsReused(t *testing.T) {
	const callers, requests = 16, 200
	e := listen(t, echo)
	c := newClient()
	c.Clock, c.DialTimeout = clockwork.NewFakeClock(), testDeadline
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for n := range requests {
				request := withID(newRequest("1"))
				request.Bound = Bound{Part: 1, Open: callers}
				x, err := c.Do(t.Context(), e.address, request, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if n%2 == 0 {
					_, err = io.Copy(io.Discard, x.Body)
				}
				if err != nil {
					t.Error(err)
				}
				x.Close() // closes the connection of each unread answer
			}
		})
	}
	// Locks that are waited for for long are handed over in turn, so that a release is often next.
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range 2 {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.openTo(e.address)
				}
			}
		})
	}
	group.Wait()
	close(stop)
	others.Wait()
	require.EqualValues(t, c.Opened(), callers*requests/2+c.openTo(e.address), "an idle connection was closed")
}
