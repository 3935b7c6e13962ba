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

// Headers between callers, routers and endpoints.
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

// errCaller is the kind of every error about writing to a caller.
var errCaller = merry.Sentinel("caller takes no more of its answer")

// caller writes one answer. Every write has a deadline: a caller that reads
// nothing would otherwise hold an endpoint's slot, and the slots of all callers
// that do so add up to an outage. Nothing is buffered beyond the connection, so
// that a slow caller slows its own answer down and costs no memory. Deadlines
// are the operating system's, so they are in real time whatever clock the
// decisions use; errors of setting them are ignored, because writers without
// deadlines (in tests) have no connection that could stall.
type caller struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	ended   context.Context // the request's, after which nothing is written but its ending

	lock    sync.Mutex
	waiting bool // for a read or write, which expire may cut short

	end     *framer.End // of an answer that ends with the caller's connection
	begun   bool        // a byte of the answer has been handed to the connection
	discard bool        // the caller has gone; what follows is thrown away
}

func newCaller(w http.ResponseWriter, stall time.Duration) *caller {
	return &caller{writer: w, control: http.NewResponseController(w), stall: stall}
}

// begin sends the headers of an answer that will be whole.
func (c *caller) begin(status int) {
	c.beginAs(tracker.OutcomeAnswered, status)
}

func (c *caller) beginAs(outcome tracker.Outcome, status int) {
	if c.begun || c.discard {
		return
	}
	c.begun = true
	c.writer.Header().Set(headerOutcome, string(outcome))
	c.writer.WriteHeader(status)
}

// unframe makes an answer end with the caller's connection. The error is an errCaller.
func (c *caller) unframe(h *http.Request) error {
	if c.begun || c.discard {
		return nil
	}
	end, err := framer.Unframe(c.writer, h)
	if err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	c.end = end
	return nil
}

// finish ends an answer that ends with the caller's connection.
func (c *caller) finish() error {
	if c.discard {
		return nil
	}
	if err := c.end.Whole(c.control); err != nil {
		return merry.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// write sends a part of the answer and flushes it.
func (c *caller) write(part []byte) error {
	if c.discard {
		return nil
	}
	c.extend()
	c.wait(true)
	defer c.wait(false)
	// If the request ends after this check, expire moves the deadline.
	if err := c.ended.Err(); err != nil {
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

// extend allows for one more write.
func (c *caller) extend() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
}

// expire cuts a read or write short that waits for the caller, because the
// request has ended. Any goroutine may call it. While nothing waits it does
// nothing: it would spoil the writing of the final answer.
func (c *caller) expire() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.waiting {
		return
	}
	_ = c.control.SetReadDeadline(time.Now())
	_ = c.control.SetWriteDeadline(time.Now())
}

func (c *caller) wait(waiting bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.waiting = waiting
}

// release leaves the connection to the next request without a deadline.
func (c *caller) release() {
	_ = c.control.SetWriteDeadline(time.Time{})
}
