package starter

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// spoolLines bounds the lines that wait to be written, about 1 MB.
	spoolLines = 4096
	// spoolBatch is up to how many bytes go into one write: a system call for
	// each line would cost more than the line.
	spoolBatch = 32 << 10
)

// spool is a log's writer that never blocks who writes: a reader that is slow or
// gone costs lines, which are counted, and no request its time.
type spool struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

func newSpool(to io.Writer) *spool {
	s := &spool{lines: make(chan []byte, spoolLines), done: make(chan struct{})}
	go s.run(to)
	return s
}

// Write takes a line. It never fails.
func (s *spool) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// close writes what waits.
func (s *spool) close() {
	close(s.lines)
	<-s.done
}

func (s *spool) run(to io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = s.gather(append(batch[:0], line...))
		if dropped := s.dropped.Swap(0); dropped > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped: they came faster than they could be written\"}\n", dropped)
		}
		to.Write(batch) //nolint:errcheck // there is nowhere to tell that the log cannot be written
	}
}

// gather adds the lines that wait already.
func (s *spool) gather(batch []byte) []byte {
	for len(batch) < spoolBatch {
		select {
		case line, open := <-s.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
