package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
	require.Zero(t, c.openTo(e.address))
}
