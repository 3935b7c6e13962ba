package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/tracker"
)

// Names of headers that callers, routers and endpoints exchange.
const (
	headerOutcome     = "X-Outcome"
	headerRequestID   = "X-Request-Id"
	headerKey         = "Idempotency-Key"
	headerNoRepeat    = "X-Not-Repeatable"
	headerStarted     = "X-Started"
	headerRetryAfter  = "Retry-After"
	headerLeaving     = "X-Leaving"
	headerWorkspace   = "X-Workspace"
	headerResumeFrom  = "X-Resume-From"
	headerTraceparent = "Traceparent"
)

// errCaller is the kind of every error of writing to a caller.
var errCaller = merry.Sentinel("writing the answer to the caller failed")

// caller writes one answer to a caller. Every write has a deadline, because a caller that reads
// nothing would otherwise hold an endpoint's slot, and enough such callers would hold all slots.
// Nothing is buffered beyond the connection, so that a slow caller slows down only its own answer
// and costs no memory. The deadlines are those of the operating system, and so in real time even
// if the router's decisions use another clock. Errors of setting them are ignored, because writers
// without deadlines, as in tests, have no connection that could stall.
type caller struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	stallTimeout time.Duration
	ctx          context.Context // of the request; after its end only the final answer is written

	lock    sync.Mutex
	waiting bool // a read or write is in progress, which interruptIO may end early

	unframedEnd *framer.End // end of an answer that ends with the caller's connection, otherwise nil
	started     bool        // the head of the answer has been written to the connection
	discard     bool        // the caller has disconnected; the rest of the answer is discarded
}

// newCaller returns the caller of a request whose answer goes to w.
func newCaller(w http.ResponseWriter, stallTimeout time.Duration) *caller {
	return &caller{writer: w, control: http.NewResponseController(w), stallTimeout: stallTimeout}
}

// sendHead sends the status and the headers of an answer with the outcome answered.
func (c *caller) sendHead(status int) {
	c.sendHeadAs(tracker.OutcomeAnswered, status)
}

// sendHeadAs sends the status and the headers of an answer with an outcome, unless they have been
// sent already.
func (c *caller) sendHeadAs(outcome tracker.Outcome, status int) {
	if c.started || c.discard {
		return
	}
	c.started = true
	c.writer.Header().Set(headerOutcome, string(outcome))
	c.writer.WriteHeader(status)
}

// unframe switches to an answer without framing, which ends with the caller's connection. The error
// is an errCaller.
func (c *caller) unframe(h *http.Request) error {
	if c.started || c.discard {
		return nil
	}
	end, err := framer.Unframe(c.writer, h)
	if err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	c.unframedEnd = end
	return nil
}

// finish completes an answer. If it ends with the caller's connection, finish ends that
// connection cleanly. The error is an errCaller.
func (c *caller) finish() error {
	if c.discard {
		return nil
	}
	if err := c.unframedEnd.Complete(c.control); err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// write sends a part of the answer and flushes it. The error is an errCaller.
func (c *caller) write(part []byte) error {
	if c.discard {
		return nil
	}
	c.extendWriteDeadline()
	c.setWaiting(true)
	defer c.setWaiting(false)
	// If the request ends after this check, interruptIO moves the deadline.
	if err := c.ctx.Err(); err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	if _, err := c.writer.Write(part); err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	if err := c.control.Flush(); err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// extendWriteDeadline sets the deadline of the next write.
func (c *caller) extendWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stallTimeout))
}

// interruptIO ends a read or write that waits for the caller, because the request has ended. Any
// goroutine may call it. If no read or write is in progress it does nothing, because an expired
// deadline would make the write of the final answer fail.
func (c *caller) interruptIO() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.waiting {
		return
	}
	_ = c.control.SetReadDeadline(time.Now())
	_ = c.control.SetWriteDeadline(time.Now())
}

// setWaiting sets whether a read or write is in progress.
func (c *caller) setWaiting(waiting bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.waiting = waiting
}

// clearWriteDeadline removes the deadline, so that it does not apply to the connection's next request.
func (c *caller) clearWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Time{})
}
