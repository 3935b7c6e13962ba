package screener

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// bufferSize holds a request's head and a usual body.
const bufferSize = 16 << 10

// buffers are what requests are read into and parsed with.
var buffers = sync.Pool{New: func() any { return newBuffer() }}

func newBuffer() *buffer {
	return &buffer{bytes: make([]byte, bufferSize), reader: bufio.NewReaderSize(nil, bufferSize)}
}

type buffer struct {
	bytes  []byte
	source bytes.Reader
	reader *bufio.Reader
}

// parse returns the request that begins with what has been read, and what is still to come of its
// body. It is nil if its head is not whole, or if its body has no known length.
func (b *buffer) parse(read int) (h *http.Request, rest int64) {
	b.source.Reset(b.bytes[:read])
	b.reader.Reset(&b.source)
	h, err := http.ReadRequest(b.reader)
	if err != nil || h.ContentLength < 0 {
		return nil, 0
	}
	return h, h.ContentLength - int64(b.reader.Buffered())
}

// readNow reads what has come already, and does not wait.
func readNow(conn net.Conn, into []byte) int {
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
		// Who waits for more finds the same error.
		read, _ = syscall.Read(int(descriptor), into)
		return true
	})
	if err != nil {
		return 0
	}
	return max(read, 0)
}
