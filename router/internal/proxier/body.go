package proxier

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"
)

// readBody reads the complete body, so that it can be sent again and so that no endpoint waits
// for a slow client. It answers the request if that fails, and returns false.
func (p *Proxier) readBody(q *request) bool {
	limit := q.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if q.http.ContentLength == 0 {
		return true
	}
	if q.http.ContentLength > limit {
		p.refuse(q, byRule, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	body, err := p.readAll(q, http.MaxBytesReader(q.writer, q.http.Body, limit))
	if err == nil {
		q.body = body
		return true
	}
	if errors.Is(err, errBodyMemory) {
		p.noteOverload(q)
		p.refuse(q, byRouter, http.StatusServiceUnavailable, reasonRouterBusy, minRetryAfter)
		return false
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		p.refuse(q, byRule, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	if q.stopped() {
		p.endAtStop(q)
		return false
	}
	q.reason = "the client's body broke off: " + err.Error()
	p.cut(q, cutByBody)
	return false
}

// initialBodyBytes is the maximum that is reserved for a body before any of it arrives. The buffer is
// doubled whenever it is full: a client may declare a length and send nothing.
const initialBodyBytes = 64 << 10

// errBodyMemory means that the bodies of other requests leave too little memory for this one.
var errBodyMemory = merry.Sentinel("the bodies of other requests hold all the memory reserved for bodies")

// readAll reads a body, into one buffer if its length is known and small. The memory reserved
// for it is released when the request ends.
func (p *Proxier) readAll(q *request, body io.Reader) ([]byte, error) {
	length := q.http.ContentLength
	size := int64(initialBodyBytes)
	if length > 0 {
		size = min(size, length)
	}
	buffer := []byte(nil)
	for {
		if !p.bodyMemory.reserve(size - q.reserved) {
			return nil, errBodyMemory
		}
		q.reserved = size
		buffer = slices.Grow(buffer, int(size)-len(buffer))
		// io.ReadFull would report the end of the body and a body that breaks off by the same error.
		var err error
		for err == nil && int64(len(buffer)) < size {
			n := 0
			n, err = body.Read(buffer[len(buffer):size])
			buffer = buffer[:len(buffer)+n]
		}
		switch {
		case length > 0 && int64(len(buffer)) == length:
			return buffer, nil
		case length < 0 && errors.Is(err, io.EOF):
			return buffer, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		size *= 2
		if length > 0 {
			size = min(size, length)
		}
	}
}
