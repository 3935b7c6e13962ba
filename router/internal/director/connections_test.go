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
		c.change(step.conn, step.state)
		open, busy := c.counts()
		require.Equal(t, step.open, open)
		require.Equal(t, step.busy, busy)
	}
}

// Symptom: a router that is late by seconds stays so for as long as a flood lasts.
// Sequence: it goes on taking connections up to what its memory bears, and each one
// makes all others later. Cause: only the number of connections was bounded.
func TestLaggingRouterTakesNoMoreThanItCanServe(t *testing.T) {
	d := New(sound(t), "settings.json", zerolog.Nop(), clockwork.NewFakeClock())
	conns := make([]net.Conn, 0, d.mostWaiting()+1)
	add := func() {
		conn, _ := net.Pipe()
		d.connected.change(conn, http.StateNew)
		conns = append(conns, conn)
	}
	require.Less(t, d.mostWaiting(), d.mostRunning())
	for range d.mostWaiting() {
		add()
	}
	require.True(t, d.room())
	for range 10 {
		d.pacer.Observe(time.Second)
	}
	require.False(t, d.room())
	d.connected.change(conns[0], http.StateIdle)
	require.True(t, d.room(), "idle connections cost no time")
	for range 40 {
		d.pacer.Observe(0)
	}
	add()
	add()
	require.True(t, d.room())
	for range d.settings.Memory * connectionsPerMB {
		add()
	}
	require.False(t, d.room(), "memory bounds them all")
}

// Guards against a flooded router that spends its time on polls: what it serves is bounded by
// that time.
func TestLateRouterAsksLessOften(t *testing.T) {
	d := &Director{}
	primary, _ := d.waits(60, 60, 6)
	require.Equal(t, subscriber.LeastWait, primary)
	for range 20 {
		d.pacer.Observe(2 * pacer.OnTimeThreshold)
	}
	primary, others := d.waits(60, 60, 6)
	require.Equal(t, subscriber.LateWait, primary)
	require.Equal(t, subscriber.BriefWaitFor(60, 6), others)
	primary, _ = d.waits(60, 200, 5)
	require.Equal(t, subscriber.WaitFor(200, 5), primary, "it asks no more often than the others")
}
