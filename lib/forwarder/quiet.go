package forwarder

import (
	"errors"
	"net"
	"syscall"
)

// quiet tells whether an idle connection is still open with nothing to read.
// Bytes that came while no request was under way belong to none, and an end that
// has been closed would swallow the next request.
func quiet(cn net.Conn) bool {
	state, err := peek(cn)
	return err == nil && state == open
}

// Ended tells whether the other end of a connection has closed it.
func Ended(cn net.Conn) bool {
	state, err := peek(cn)
	return err == nil && state == ended
}

// state is what a look at a connection shows.
type state uint8

const (
	open     state = iota // nothing to read
	readable              // bytes wait
	ended                 // closed or reset by the other end
)

// peek looks at a connection without waiting, and takes nothing off it. A
// connection without a socket counts as open.
func peek(cn net.Conn) (state, error) {
	socket, ok := cn.(syscall.Conn)
	if !ok {
		return open, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ended, err
	}
	seen := open
	// Control and not Read: the server's own reader of the connection may hold the
	// descriptor's read lock for as long as the request takes.
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			seen = open
		case err != nil || n == 0:
			seen = ended
		default:
			seen = readable
		}
	})
	return seen, err
}
