package screener

import (
	"bytes"
	"cmp"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/forwarder"
)

// socket is a connection that nothing watches. To refuse a request on it that has come whole takes
// five system calls and no goroutine, half of the time that it takes on a net.Conn.
type socket int

func (s socket) close() {
	// The descriptor is free again also if this fails.
	_ = syscall.Close(int(s))
}

// watch makes a connection of it that can be waited for.
func (s socket) watch() (net.Conn, error) {
	file := os.NewFile(uintptr(s), "client")
	defer file.Close() // the connection has a descriptor of its own
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, merry.Errorf("a new connection can not be watched: %w", err)
	}
	return conn, nil
}

// sockets accepts connections of a listener as sockets.
type sockets struct {
	file *os.File // the listener's
	raw  syscall.RawConn
}

// openSockets returns the sockets of a listener, nil if it has no descriptor.
func openSockets(listener net.Listener) (*sockets, error) {
	filed, ok := listener.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, nil
	}
	file, err := filed.File()
	if err != nil {
		return nil, merry.Errorf("the listener's descriptor: %w", err)
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(merry.Errorf("the listener's descriptor: %w", err), file.Close())
	}
	return &sockets{file: file, raw: raw}, nil
}

// accept waits for the next connection.
func (s *sockets) accept() (socket, error) {
	accepted, err := -1, error(nil)
	waited := s.raw.Read(func(fd uintptr) bool {
		accepted, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	if errors.Is(waited, os.ErrClosed) {
		return -1, net.ErrClosed
	}
	return socket(accepted), cmp.Or(waited, err)
}

// Close ends accept.
func (s *sockets) Close() error {
	if s == nil {
		return nil
	}
	return s.file.Close()
}

// takeSocket decides what becomes of a connection that came while requests were refused.
func (l *Listener) takeSocket(s socket, b *buffer) {
	if !l.options.Screens() {
		l.watch(s, l.take)
		return
	}
	if !l.room(true) {
		l.unread.Add(1)
		s.close()
		return
	}
	read, err := syscall.Read(int(s), b.bytes)
	if err == nil && (read == 0 || forwarder.SocketEnded(int(s))) {
		l.left.Add(1)
		s.close()
		return
	}
	first := b.bytes[:max(read, 0)]
	if refusal := l.judgeWhole(b, len(first)); refusal != nil {
		l.refused.Add(1)
		// A client that can not be written to has left.
		_, _ = syscall.Write(int(s), refusal.text())
		s.close()
		return
	}
	first = bytes.Clone(first)
	l.watch(s, func(conn net.Conn) {
		l.waiting.Add(1)
		go l.meet(conn, first)
	})
}

// judgeWhole returns the refusal of a request that has come whole, nil of any other.
func (l *Listener) judgeWhole(b *buffer, read int) *Refusal {
	h, rest := b.parse(read)
	if h == nil || rest > 0 {
		return nil
	}
	return l.options.Judge(h)
}

// watch hands a socket on as a connection.
func (l *Listener) watch(s socket, next func(conn net.Conn)) {
	conn, err := s.watch()
	if err != nil {
		l.options.Log.Warn().Err(err).Msg("a new connection is closed")
		return
	}
	next(conn)
}
