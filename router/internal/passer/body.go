package passer

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"
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
	body, err := p.readAll(q, http.MaxBytesReader(q.writer, q.http.Body, limit))
	if err == nil {
		q.body = body
		return true
	}
	if errors.Is(err, errHeld) {
		p.unheard(q)
		p.refuse(q, byRouter, http.StatusServiceUnavailable, tooMuch, retrySoon)
		return false
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		p.refuse(q, byRule, http.StatusRequestEntityTooLarge, "the body is too large", 0)
		return false
	}
	q.reason = "the client's body broke off: " + err.Error()
	panic(http.ErrAbortHandler)
}

// firstRoom is how many bytes are made room for before any has come, at the most. Beyond it
// room is doubled when it is full: a client may name a length and send nothing.
const firstRoom = 64 << 10

// errHeld means that there is no room for a body beside the others.
var errHeld = merry.Sentinel("requests' bodies take all the room there is for them")

// readAll reads a body, into one buffer where its length is known and small. The room that it
// takes is given back with the request's end.
func (p *Passer) readAll(q *request, body io.Reader) ([]byte, error) {
	length := q.http.ContentLength
	room := int64(firstRoom)
	if length > 0 {
		room = min(room, length)
	}
	buffer := []byte(nil)
	for {
		if !p.holding.take(room - q.held) {
			return nil, errHeld
		}
		q.held = room
		buffer = slices.Grow(buffer, int(room)-len(buffer))
		n, err := io.ReadFull(body, buffer[len(buffer):room])
		buffer = buffer[:len(buffer)+n]
		switch {
		case length > 0 && int64(len(buffer)) == length:
			return buffer, nil
		case length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return buffer, nil
		case err != nil:
			return nil, err
		}
		room *= 2
		if length > 0 {
			room = min(room, length)
		}
	}
}
