package prober

import (
	"context"
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

// Guards against an endpoint that counts as crashed because it is silent: a probe that gets no answer in
// time tells neither a crash nor that it runs.
func TestSilenceIsNoCrash(t *testing.T) {
	clock := clockwork.NewFakeClock()
	observer := &localizer.Observer{}
	observer.Broke(clock.Now(), 5, localizer.Profile{Whole: 1}, 0)
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0)) // the dial times out at once
	defer cancel()
	p := Prober{Observer: observer, Clock: clock, Log: zerolog.Nop()}
	require.False(t, p.Probe(ctx, "i-1", netip.MustParseAddrPort("127.0.0.1:1"), 5))
	require.Empty(t, observer.Report(clock.Now(), time.Time{}).Crashes)
	broken, crashed := observer.Lifetimes()
	require.Equal(t, 1, broken, "whether it runs is unknown")
	require.Zero(t, crashed)
}
