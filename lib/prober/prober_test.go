package prober

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/localizer"
)

// Guards against a running endpoint that counts as crashed, and a crash that does not count.
func TestOnlyARefusalIsACrash(t *testing.T) {
	for name, listening := range map[string]bool{"it accepts": true, "it refuses": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			address := netip.MustParseAddrPort(listener.Addr().String())
			if !listening {
				require.NoError(t, listener.Close())
			}
			clock := clockwork.NewFakeClock()
			observer := &localizer.Observer{}
			observer.Broke(clock.Now(), 5, localizer.Profile{Whole: 1}, 0)
			p := Prober{Observer: observer, Clock: clock, Log: zerolog.Nop()}
			require.Equal(t, !listening, p.Probe(t.Context(), "i-1", address, 5))
			require.Equal(t, listening, len(observer.Report(clock.Now(), time.Time{}).Crashes) == 0)
			broken, _ := observer.Lifetimes()
			require.Equal(t, listening, broken == 0)
		})
	}
}
