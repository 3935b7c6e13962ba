package director

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/subscriber"
)

func TestConnectionsAreCounted(t *testing.T) {
	var c connections
	one, other := net.Pipe()
	for _, step := range []struct {
		conn       net.Conn
		state      http.ConnState
		open, busy int
	}{
		{one, http.StateNew, 1, 1},
		{other, http.StateNew, 2, 2},
		{one, http.StateActive, 2, 2},
		{one, http.StateIdle, 2, 1},
		{other, http.StateIdle, 2, 0},
		{one, http.StateActive, 2, 1},
		{one, http.StateClosed, 1, 0},
		{other, http.StateClosed, 0, 0},
	} {
		c.setState(step.conn, step.state)
		open, busy := c.counts()
		require.Equal(t, step.open, open)
		require.Equal(t, step.busy, busy)
	}
}

// Guards against a router that stays seconds late for as long as a flood lasts: if only memory
// bounds the number of connections, each further one delays all others.
func TestLaggingRouterTakesNoMoreThanItCanServe(t *testing.T) {
	d := New(validSettings(t), "settings.json", zerolog.Nop(), clockwork.NewFakeClock())
	conns := make([]net.Conn, 0, d.maxWaiting()+1)
	add := func() {
		conn, _ := net.Pipe()
		d.clientConnections.setState(conn, http.StateNew)
		conns = append(conns, conn)
	}
	require.Less(t, d.maxWaiting(), d.maxRunning())
	for range d.maxWaiting() {
		add()
	}
	require.True(t, d.admitConnection())
	for range 10 {
		d.pacer.Observe(time.Second)
	}
	require.False(t, d.admitConnection())
	d.clientConnections.setState(conns[0], http.StateIdle)
	require.True(t, d.admitConnection(), "idle connections cost no time")
	for range 40 {
		d.pacer.Observe(0)
	}
	add()
	add()
	require.True(t, d.admitConnection())
	for range d.settings.Memory * connectionsPerMB {
		add()
	}
	require.False(t, d.admitConnection(), "memory bounds the number of connections, also of a router on time")
}

// Guards against a flooded router that spends its processor time on polls, at the expense of the
// requests that it serves.
func TestLateRouterPollsLessOften(t *testing.T) {
	d := &Director{}
	primary, _ := d.pollWaits(60, 60, 6)
	require.Equal(t, subscriber.MinWait, primary)
	for range 20 {
		d.pacer.Observe(2 * pacer.OnTimeThreshold)
	}
	primary, others := d.pollWaits(60, 60, 6)
	require.Equal(t, subscriber.MinLateWait, primary)
	require.Equal(t, subscriber.BriefWaitFor(60, 6), others)
	primary, _ = d.pollWaits(60, 200, 5)
	require.Equal(t, subscriber.WaitFor(200, 5), primary, "a long wait in a large fleet is not shortened by lateness")
}
