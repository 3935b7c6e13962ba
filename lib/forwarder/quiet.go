package forwarder

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection is still open with nothing to read.
// Bytes that came while no request was under way belong to none, and an end that
// has been closed would swallow the next request. It looks without waiting and
// takes nothing off the connection.
func quiet(cn net.Conn) bool {
	tcp, ok := cn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
