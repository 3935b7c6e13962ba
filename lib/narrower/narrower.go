// Package narrower listens for tests of what is held on its way: connections take few bytes until they are read, as if the
// path were cut behind them.
package narrower

import (
	"context"
	"net"
	"syscall"
)

// bufferBytes is the requested size of the buffer of what has arrived; the system raises it to its minimum of a few KB.
const bufferBytes = 1

// Listen listens on a free loopback port.
func Listen(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}
