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

// problem is what is wrong with a request before it is served.
type problem struct {
	code   tracker.Code
	reason string
}

// refused returns the ending of a request with a problem.
func (q *request) refused(problem *problem) tracker.Action {
	q.reason = problem.reason
	action := refuse(problem.code, 0)
	switch problem.code {
	case tracker.CodeQueueFull, tracker.CodeStopping, tracker.CodeTimedOut:
		action.Retry = retrySoon
	}
	return action
}

// bodies bounds the memory that the bodies of all requests take together.
type bodies struct {
	limit int64
	lock  sync.Mutex
	held  int64
}

// held is one request's part.
type held struct {
	all   *bodies
	bytes int64
}

func (b *bodies) hold() *held {
	return &held{all: b}
}

// grow takes more memory, or tells that there is none left.
func (h *held) grow(n int) bool {
	h.all.lock.Lock()
	defer h.all.lock.Unlock()
	if h.all.held+int64(n) > h.all.limit {
		return false
	}
	h.all.held += int64(n)
	h.bytes += int64(n)
	return true
}

// shrink keeps only so much.
func (h *held) shrink(n int) {
	h.all.lock.Lock()
	defer h.all.lock.Unlock()
	h.all.held += int64(n) - h.bytes
	h.bytes = int64(n)
}

func (h *held) release() {
	h.shrink(0)
}

// bytesHeld returns the memory that all bodies take.
func (b *bodies) bytesHeld() int64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.held
}

const readPiece = 32 << 10

// errHeld says that the bodies of all requests take the memory they may.
var errHeld = errors.New("no memory left for bodies")

// readUpTo reads at most limit bytes and tells whether the body ended there.
func readUpTo(from io.Reader, limit int, hold *held) (text []byte, whole bool, err error) {
	var buffer bytes.Buffer
	for buffer.Len() < limit {
		piece := min(readPiece, limit-buffer.Len())
		if !hold.grow(piece) {
			return nil, false, errHeld
		}
		n, err := io.CopyN(&buffer, from, int64(piece))
		hold.shrink(int(hold.bytes) - piece + int(n))
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buffer.Bytes(), false, nil
}

// patient reads a caller's body. Each read has a deadline, because a caller
// that sends nothing would hold memory, or an endpoint's slot, for ever.
type patient struct {
	caller *caller
	body   io.Reader
}

func (p *patient) Read(buffer []byte) (int, error) {
	// The deadline is the operating system's, so it is in real time.
	_ = p.caller.control.SetReadDeadline(time.Now().Add(p.caller.stall))
	p.caller.wait(true)
	defer p.caller.wait(false)
	if err := p.caller.ended.Err(); err != nil {
		return 0, err
	}
	n, err := p.body.Read(buffer)
	if err == nil || errors.Is(err, io.EOF) {
		// A deadline that stays would later look like a caller who has gone. After
		// an error it stays, because the server reads what is left of a body before
		// it sends an answer.
		_ = p.caller.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readWhole reads a body that must be whole before it means anything.
func (r *Relayer) readWhole(ctx context.Context, q *request, hold *held) ([]byte, *problem) {
	limit := r.limits.BodyBytes
	if q.http.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	text, whole, err := readUpTo(&patient{q.caller, q.http.Body}, int(limit)+1, hold)
	if err != nil {
		return nil, unreadable(ctx, err)
	}
	if !whole {
		return nil, tooLarge(limit)
	}
	return text, nil
}

func tooLarge(limit int64) *problem {
	return &problem{tracker.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit)}
}

func unreadable(ctx context.Context, err error) *problem {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopping):
		return &problem{tracker.CodeStopping, ""}
	case errors.Is(cause, errTimedOut):
		return &problem{tracker.CodeTimedOut, ""}
	case errors.Is(err, errHeld):
		return &problem{tracker.CodeQueueFull, "the bodies of waiting requests take all the memory they may"}
	default:
		return &problem{tracker.CodeBadBody, "the body did not arrive whole"}
	}
}

// upload is a plain call's body: its head, which is kept, and the rest of a
// larger one, which streams through once.
type upload struct {
	head  []byte
	whole bool // there is no rest
	rest  io.Reader
	err   error // of reading the rest
}

// readUpload reads a body's head before the request waits for a slot, so that a
// caller that sends slowly holds no slot meanwhile.
func (r *Relayer) readUpload(ctx context.Context, q *request, hold *held) (*upload, *problem) {
	limit := r.limits.BodyBytes
	if q.http.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	from := &patient{q.caller, http.MaxBytesReader(q.caller.writer, q.http.Body, limit)}
	head, whole, err := readUpTo(from, int(min(r.limits.ReplayBytes, limit)), hold)
	if err != nil {
		return nil, unreadable(ctx, err)
	}
	if q.http.ContentLength == int64(len(head)) {
		whole = true
	}
	return &upload{head: head, whole: whole, rest: from}, nil
}

// reader returns the body for an attempt.
func (u *upload) reader() io.Reader {
	if u.whole {
		return bytes.NewReader(u.head)
	}
	return io.MultiReader(bytes.NewReader(u.head), u)
}

// Read reads the rest and remembers why it ended, because the transport's error
// does not say whether the caller or the endpoint failed.
func (u *upload) Read(buffer []byte) (int, error) {
	n, err := u.rest.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		u.err = err
	}
	return n, err
}

// length is the body's length, -1 if it is not known.
func (u *upload) length(announced int64) int64 {
	if u.whole {
		return int64(len(u.head))
	}
	return announced
}
