package screener

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
)

// bufferSize holds a request's head and a body of usual size.
const bufferSize = 16 << 10

// buffers are reused for reading and parsing requests.
var buffers = sync.Pool{New: func() any { return newBuffer() }}

func newBuffer() *buffer {
	return &buffer{bytes: make([]byte, bufferSize), reader: bufio.NewReaderSize(nil, bufferSize)}
}

// buffer holds what has been read of a request, and the readers to parse it.
type buffer struct {
	bytes  []byte
	source bytes.Reader
	reader *bufio.Reader
}

// parse parses the request in the first read bytes, and returns it with the number of body bytes that
// are still missing. It returns nil if the head is incomplete or malformed, or if the body has no
// known length.
func (b *buffer) parse(read int) (h *http.Request, rest int64) {
	b.source.Reset(b.bytes[:read])
	b.reader.Reset(&b.source)
	h, err := http.ReadRequest(b.reader)
	if err != nil || h.ContentLength < 0 {
		return nil, 0
	}
	return h, h.ContentLength - int64(b.reader.Buffered())
}

// readAvailable reads bytes that have already arrived, without waiting. It returns 0 if there are
// none or the connection has failed.
func readAvailable(conn net.Conn, into []byte) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	read := 0
	err = raw.Read(func(descriptor uintptr) bool {
		// The error is ignored: the next blocking read returns it as well.
		read, _ = syscall.Read(int(descriptor), into)
		return true
	})
	if err != nil {
		return 0
	}
	return max(read, 0)
}

// acceptNow accepts a connection that is in the system's queue, without waiting. It returns nil if there
// is none. Control is used, because a goroutine that waits in Accept holds the socket's read lock.
func acceptNow(listening syscall.RawConn) (net.Conn, error) {
	descriptor, failure := -1, error(nil)
	err := listening.Control(func(listening uintptr) {
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		descriptor, _, failure = syscall.Accept(int(listening))
		if failure == nil {
			syscall.CloseOnExec(descriptor)
		}
	})
	switch {
	case errors.Is(failure, syscall.EAGAIN):
		return nil, nil
	case err != nil || failure != nil:
		return nil, errors.Join(err, failure)
	}
	file := os.NewFile(uintptr(descriptor), "client")
	defer file.Close()
	return net.FileConn(file)
}
