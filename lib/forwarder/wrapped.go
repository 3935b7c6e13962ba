package forwarder

import (
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// errNoSocket reports that a connection has no file descriptor.
var errNoSocket = merry.Sentinel("the connection has no socket")

// Wrapped is embedded by connections around another one. It gives access to the inner connection's socket,
// which the type of the outer one would hide.
type Wrapped struct{ net.Conn }

// SyscallConn gives access to the socket.
func (w Wrapped) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := w.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

// CloseWrite ends the answer, while the rest of the request can still be read.
func (w Wrapped) CloseWrite() error {
	if half, ok := w.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoSocket
}
