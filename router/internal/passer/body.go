package passer

import (
	"errors"
	"io"
	"net/http"
)

// readBody reads the whole body, so that it can be sent again and so that no
// endpoint waits for a slow client.
func (p *Passer) readBody(q *request) bool {
	limit := q.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if q.http.ContentLength == 0 {
		return true
	}
	if q.http.ContentLength > limit {
		p.refuse(q, byRule, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	body, err := readAll(http.MaxBytesReader(q.writer, q.http.Body, limit), q.http.ContentLength)
	if err == nil {
		q.body = body
		return true
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		p.refuse(q, byRule, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	q.reason = "the client's body broke off: " + err.Error()
	panic(http.ErrAbortHandler)
}

// readAll reads a body into one buffer where its length is known.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}
