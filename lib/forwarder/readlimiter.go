package forwarder

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// maxHeadBytes bounds what is read from a connection until the head of an answer has been received: its
// status line, its header fields and informational answers before it. Heads of endpoints have a few hundred
// bytes.
const maxHeadBytes = 32 << 10

// errHeadTooLong means that an endpoint has sent maxHeadBytes without a complete head.
var errHeadTooLong = merry.Sentinel("the head of the answer is too long")

// readLimiter limits the bytes that are read from a connection while a head is expected. The standard parser
// has no limit of its own, and would collect an endless line or endless header fields in memory. Bodies
// are not limited: they are read piece by piece, and a stream may be long.
//
// Until limit is called, reads are passed on without a limit.
type readLimiter struct {
	inner   io.Reader
	limited bool
	left    int // bytes that may still be read while limited
}

// limit allows bytes more to be read.
func (l *readLimiter) limit(bytes int) {
	l.limited, l.left = true, bytes
}

// lift ends the limit.
func (l *readLimiter) lift() {
	l.limited = false
}

// Read implements io.Reader. It fails once the limit is used up.
func (l *readLimiter) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.inner.Read(buffer)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.inner.Read(buffer[:min(len(buffer), l.left)])
	l.left -= n
	return n, err
}
