package assembler

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against accepting connections without a bound: with many open connections that
// send nothing, the router would refuse endpoints and other routers with "too many open
// files".
func TestConnectionsAreBounded(t *testing.T) {
	settings := Settings{
		Name: "router-a1", Zone: "trento-a", Listen: freeAddress(t), Control: freeAddress(t),
		Keepers: []netip.AddrPort{freeAddress(t)}, Limits: Limits{Connections: 2},
	}
	router, err := New(t.Context(), settings, zerolog.Nop(), clockwork.NewRealClock())
	require.NoError(t, err)
	public, control, err := router.listen()
	require.NoError(t, err)
	defer public.Close()
	defer control.Close()
	var closing atomic.Bool // the first connection is being closed
	accepted := make(chan net.Conn, 3)
	early := make(chan bool, 3) // per connection: it was accepted before closing was set
	go func() {
		for {
			conn, err := public.Accept()
			if err != nil {
				return
			}
			early <- !closing.Load()
			accepted <- conn
		}
	}()
	for range 3 {
		conn, err := net.Dial("tcp", settings.Listen.String())
		require.NoError(t, err)
		defer conn.Close()
	}
	first := <-accepted
	<-accepted
	<-early
	<-early
	closing.Store(true)
	require.NoError(t, first.Close())
	select {
	case <-accepted:
		require.False(t, <-early, "the third connection was accepted beyond the bound of two")
	case <-time.After(waitTimeout):
		require.Fail(t, "the waiting connection was not accepted after another had closed")
	}
}
