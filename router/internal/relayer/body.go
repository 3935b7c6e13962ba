package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"shallotkeel.example/lib/tracker"
)

// problem is the reason for refusing a request before it is served: its code, and a message for
// the caller, empty for the message of the code.
type problem struct {
	code   tracker.Code
	reason string
}

// problemAction returns the action that ends a request with a problem.
func (q *request) problemAction(problem *problem) tracker.Action {
	q.reason = problem.reason
	action := refuse(problem.code, 0)
	switch problem.code {
	case tracker.CodeQueueFull, tracker.CodeStopping, tracker.CodeTimedOut:
		action.Retry = minRetryAfter
	}
	return action
}

// bodyMemory limits the memory used by the bodies of all requests together.
type bodyMemory struct {
	limit    int64 // in bytes
	lock     sync.Mutex
	reserved int64
}

// bodyReservation is the part of the body memory that one request has reserved.
type bodyReservation struct {
	memory *bodyMemory
	bytes  int64
}

// newReservation returns an empty reservation.
func (b *bodyMemory) newReservation() *bodyReservation {
	return &bodyReservation{memory: b}
}

// grow reserves n more bytes. It returns false if the limit would be exceeded.
func (r *bodyReservation) grow(n int) bool {
	r.memory.lock.Lock()
	defer r.memory.lock.Unlock()
	if r.memory.reserved+int64(n) > r.memory.limit {
		return false
	}
	r.memory.reserved += int64(n)
	r.bytes += int64(n)
	return true
}

// shrinkTo reduces the reservation to n bytes.
func (r *bodyReservation) shrinkTo(n int) {
	r.memory.lock.Lock()
	defer r.memory.lock.Unlock()
	r.memory.reserved += int64(n) - r.bytes
	r.bytes = int64(n)
}

// release returns all reserved bytes to the body memory.
func (r *bodyReservation) release() {
	r.shrinkTo(0)
}

// reservedBytes returns the bytes reserved for all bodies.
func (b *bodyMemory) reservedBytes() int64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.reserved
}

// readChunkBytes is the unit in which memory is reserved while a body is read, so that a body that
// has not been received reserves little.
const readChunkBytes = 32 << 10

// errBodyMemory is the error of a body for which no memory is left below Limits.TotalBodyBytes.
var errBodyMemory = errors.New("memory limit of all request bodies reached")

// readUpTo reads at most limit bytes. It reports whether the body has ended within them, and reserves
// their memory.
func readUpTo(from io.Reader, limit int, reservation *bodyReservation) (text []byte, complete bool, err error) {
	var buffer bytes.Buffer
	for buffer.Len() < limit {
		chunk := min(readChunkBytes, limit-buffer.Len())
		if !reservation.grow(chunk) {
			return nil, false, errBodyMemory
		}
		n, err := io.CopyN(&buffer, from, int64(chunk))
		reservation.shrinkTo(int(reservation.bytes) - chunk + int(n))
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buffer.Bytes(), false, nil
}

// deadlineReader reads a caller's body. Each read has a deadline, because a caller that sends
// nothing would otherwise hold memory or an endpoint's slot indefinitely.
type deadlineReader struct {
	caller *caller
	body   io.Reader
}

func (d *deadlineReader) Read(buffer []byte) (int, error) {
	// The deadline is that of the operating system, and so in real time.
	_ = d.caller.control.SetReadDeadline(time.Now().Add(d.caller.stallTimeout))
	d.caller.setWaiting(true)
	defer d.caller.setWaiting(false)
	if err := d.caller.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := d.body.Read(buffer)
	if err == nil || errors.Is(err, io.EOF) {
		// A remaining deadline would later be mistaken for a caller that has disconnected. After
		// an error it remains, because the server reads the rest of a body before it sends an
		// answer.
		_ = d.caller.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readFullBody reads a body that can be decoded only when it is complete.
func (r *Relayer) readFullBody(ctx context.Context, q *request, reservation *bodyReservation) ([]byte, *problem) {
	limit := r.limits.BodyBytes
	if q.http.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	text, complete, err := readUpTo(&deadlineReader{q.caller, q.http.Body}, int(limit)+1, reservation)
	if err != nil {
		return nil, unreadable(ctx, err)
	}
	if !complete {
		return nil, tooLarge(limit)
	}
	return text, nil
}

// tooLarge returns the problem of a body above the limit.
func tooLarge(limit int64) *problem {
	return &problem{tracker.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit)}
}

// unreadable returns the problem of a body whose read has failed: the end of the request's context,
// a lack of memory, or a truncated body.
func unreadable(ctx context.Context, err error) *problem {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopping):
		return &problem{tracker.CodeStopping, ""}
	case errors.Is(cause, errTimedOut):
		return &problem{tracker.CodeTimedOut, ""}
	case errors.Is(err, errBodyMemory):
		return &problem{tracker.CodeQueueFull, "the bodies of waiting requests take all the memory they may"}
	default:
		return &problem{tracker.CodeBadBody, "the body did not arrive whole"}
	}
}

// upload is the body of a call of a plain service: its head, which is kept in memory, and the rest
// of a larger body, which is streamed to one endpoint.
type upload struct {
	head     []byte
	complete bool // the head is the complete body
	rest     io.Reader
	readErr  error // error of reading the rest
}

// readUpload reads the head of a body before the request waits for a slot, so that a caller that
// sends it slowly does not hold a slot.
func (r *Relayer) readUpload(ctx context.Context, q *request, reservation *bodyReservation) (*upload, *problem) {
	limit := r.limits.BodyBytes
	if q.http.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	from := &deadlineReader{q.caller, http.MaxBytesReader(q.caller.writer, q.http.Body, limit)}
	head, complete, err := readUpTo(from, int(min(r.limits.ReplayBytes, limit)), reservation)
	if err != nil {
		return nil, unreadable(ctx, err)
	}
	if q.http.ContentLength == int64(len(head)) {
		complete = true
	}
	return &upload{head: head, complete: complete, rest: from}, nil
}

// reader returns the body for an attempt.
func (u *upload) reader() io.Reader {
	if u.complete {
		return bytes.NewReader(u.head)
	}
	return io.MultiReader(bytes.NewReader(u.head), u)
}

// Read reads the rest of the body and keeps its error, because the transport's error does not tell
// whether the caller or the endpoint has failed.
func (u *upload) Read(buffer []byte) (int, error) {
	n, err := u.rest.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		u.readErr = err
	}
	return n, err
}

// length returns the body's length, -1 if it is unknown. Announced is the request's Content-Length.
func (u *upload) length(announced int64) int64 {
	if u.complete {
		return int64(len(u.head))
	}
	return announced
}
