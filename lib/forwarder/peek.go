package forwarder

import (
	"errors"
	"net"
	"syscall"
)

// isIdle reports whether a connection without a request in flight is open, with no bytes to read. Bytes
// that arrived while no request was in flight belong to none, and a request that is written to a
// connection closed by the other end would be lost.
func isIdle(cn net.Conn) bool {
	state, err := peek(cn)
	return err == nil && state == open
}

// Ended reports whether the other end of a connection has closed it.
func Ended(cn net.Conn) bool {
	state, err := peek(cn)
	return err == nil && state == ended
}

// HasArrived reports whether bytes can be read from a connection without waiting.
func HasArrived(cn net.Conn) bool {
	state, err := peek(cn)
	return err == nil && state == readable
}

// state is the result of peeking at a connection.
type state uint8

const (
	open     state = iota // no bytes to read
	readable              // bytes to read
	ended                 // closed or reset by the other end
)

// peek checks a connection without blocking and without consuming bytes. A connection without a socket
// counts as open.
func peek(cn net.Conn) (state, error) {
	socket, ok := cn.(syscall.Conn)
	if !ok {
		return open, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ended, err
	}
	current := open
	// Control is used instead of Read, because the server's own reader of the connection may hold the
	// descriptor's read lock for as long as the request takes.
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			current = open
		case err != nil || n == 0:
			current = ended
		default:
			current = readable
		}
	})
	return current, err
}
