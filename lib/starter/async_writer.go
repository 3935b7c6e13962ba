package starter

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written, about 1 MB.
	maxQueuedLines = 4096
	// maxBatchBytes is the size from which no further line is added to a batch.
	// Lines are written in batches because a system call per line would cost more
	// than formatting the line.
	maxBatchBytes = 32 << 10
)

// asyncWriter is a log writer whose Write never blocks. When the log's reader is
// slow or gone, lines are dropped and counted, so that logging does not delay
// requests.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(to)
	return w
}

// Write queues a line, or drops it if the queue is full. It never returns an
// error.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// close writes the queued lines and stops the writer.
func (w *asyncWriter) close() {
	close(w.lines)
	<-w.done
}

func (w *asyncWriter) run(to io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.fillBatch(append(batch[:0], line...))
		if dropped := w.dropped.Swap(0); dropped > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped: they came faster than they could be written\"}\n", dropped)
		}
		to.Write(batch) //nolint:errcheck // there is no other place to report that the log cannot be written
	}
}

// fillBatch appends lines that are already queued, until the batch has
// maxBatchBytes or the queue is empty.
func (w *asyncWriter) fillBatch(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-w.lines:
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
