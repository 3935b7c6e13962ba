package forwarder

import (
	"net"
	"syscall"
	"unsafe"
)

// unacknowledged returns how many written bytes the other end of a connection has not acknowledged. It is 0
// for a connection without a socket, and where the system does not tell.
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
	err = raw.Control(func(descriptor uintptr) {
		_, _, failed := syscall.Syscall(syscall.SYS_IOCTL, descriptor, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&bytes)))
		if failed != 0 {
			bytes = 0
		}
	})
	if err != nil {
		return 0
	}
	return int(bytes)
}
