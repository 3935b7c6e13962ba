// Package prober finds out whether an endpoint whose connection broke in the middle of a request has
// crashed.
//
// One that garbles or truncates its answers, or whose connections are reset, still accepts new ones; the
// address of a process that has ended refuses them. A timeout says neither: the endpoint may be cut off.
package prober

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/localizer"
)

// refusalTimeout bounds the wait for a refusal. Endpoints are a few milliseconds away.
const refusalTimeout = 500 * time.Millisecond

// Prober probes endpoints, and tells an Observer the result.
type Prober struct {
	Observer *localizer.Observer
	Clock    clockwork.Clock
	Log      zerolog.Logger
}

// Probe opens a connection to an endpoint, and reports whether it has crashed.
func (p *Prober) Probe(ctx context.Context, endpoint string, address netip.AddrPort, lifetime localizer.Lifetime) (crashed bool) {
	refused, err := refuses(ctx, address)
	switch {
	case err != nil:
		p.Log.Info().Err(err).Str("endpoint", endpoint).Msg("connection broke, and whether its endpoint has crashed is unknown")
	case refused:
		p.Observer.Ended(p.Clock.Now(), lifetime)
		p.Log.Info().Str("endpoint", endpoint).Hex("lifetime", localizer.Feature(lifetime).Bytes()).Msg("endpoint has crashed")
	default:
		p.Observer.Survived(lifetime)
	}
	return refused
}

// refuses reports whether an address refuses connections. It returns an error if the address neither
// refuses nor accepts one in time.
func refuses(ctx context.Context, address netip.AddrPort) (bool, error) {
	dial := net.Dialer{Timeout: refusalTimeout}
	conn, err := dial.DialContext(ctx, "tcp", address.String())
	switch {
	case err == nil:
		return false, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, err
}
