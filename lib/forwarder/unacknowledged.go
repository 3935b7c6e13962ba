package forwarder

import (
	"net"
	"syscall"
	"unsafe"
)

// withdraw ends the request of an exchange whose connection is about to be closed, and returns how many of its bytes
// the endpoint has not acknowledged.
func (x *Exchange) withdraw() int {
	_ = x.endBodyWrite() // its error is that of the exchange
	return Withdraw(x.conn.Conn)
}

// Withdraw prepares a connection to be closed, and returns how many written bytes its other end has not acknowledged. If
// there are any, the close becomes a reset: otherwise the system would go on sending them after the close, behind a cut
// for as long as that lasts, and then to an endpoint that may have left. Where all have arrived, the connection ends with
// an ordinary close, which the system repeats until it arrives. A reset is sent only once, and if it were lost the
// endpoint would work on for nobody.
func Withdraw(cn net.Conn) int {
	waiting := unacknowledged(cn)
	if socket, ok := cn.(*net.TCPConn); ok && waiting > 0 {
		_ = socket.SetLinger(0) // it fails only on a connection that is closed
	}
	return waiting
}

// unacknowledged returns how many written bytes the other end of a connection has not acknowledged. It is 0 for a
// connection without a socket, and where the system does not tell.
func unacknowledged(cn net.Conn) int {
	socket, ok := cn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var bytes int32
	var failed syscall.Errno
	err = raw.Control(func(descriptor uintptr) {
		_, _, failed = syscall.Syscall(syscall.SYS_IOCTL, descriptor, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&bytes)))
	})
	if err != nil || failed != 0 {
		return 0
	}
	return int(bytes)
}
