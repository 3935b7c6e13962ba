package dialer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// refusalTimeout bounds the wait for a refusal. Instances are a few milliseconds away.
const refusalTimeout = 500 * time.Millisecond

// Refuses reports whether an address refuses connections, as it does when the process that listened
// there has ended. It returns an error if the address neither refuses nor accepts one in time.
func Refuses(ctx context.Context, address netip.AddrPort) (bool, error) {
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
