package soaker

import (
	"fmt"
	"strings"
	"time"
)

// query is what a request asks an endpoint for, and the words in which all sides name it. Its text
// is the request's body.
type query struct {
	id     string // request
	stream string // what all attempts of one stream share
	pieces int    // events, or hundreds of bytes
	pace   int    // milliseconds between two events
	pad    int    // bytes by which each event is longer
	upload int    // bytes by which the request's body is longer
}

func (q *query) text() string {
	return fmt.Sprintf("%s %d %d %d %s", q.stream, q.pieces, q.pace, q.pad, strings.Repeat("u", q.upload))
}

// readQuery reads a request's body.
func readQuery(id, text string) (*query, bool) {
	q := &query{id: id}
	_, err := fmt.Sscanf(text, "%s %d %d %d", &q.stream, &q.pieces, &q.pace, &q.pad)
	return q, err == nil
}

// event is a piece of a stream as it names itself.
type event struct {
	number, pieces int
	stream, run    string
	version        string
	padding        string
	after          int // the piece after which its run goes on, 0 for the beginning
}

func (e *event) String() string {
	return fmt.Sprintf("id: %d\ndata: %s %s %s after %d piece %d of %d %s\n\n",
		e.number, e.stream, e.run, e.version, e.after, e.number, e.pieces, e.padding)
}

// readEvent reads an event, and is false for any other text.
func readEvent(text string) (event, bool) {
	var e event
	var id int
	_, err := fmt.Sscanf(text, "id: %d\ndata: %s %s %s after %d piece %d of %d %s",
		&id, &e.stream, &e.run, &e.version, &e.after, &e.number, &e.pieces, &e.padding)
	return e, err == nil && id == e.number && e.String() == text
}

// events returns the pieces of a run, from the first on. The run says that it goes on after a piece.
func (q *query) events(s *send, number, after, first int) []line {
	var lines []line
	for n := first; n <= q.pieces; n++ {
		e := event{
			number: n, pieces: q.pieces, stream: q.stream, run: fmt.Sprintf("%s/%s/%d", s.endpoint, q.id, number), version: s.version,
			after: after, padding: strings.Repeat(".", 1+q.pad),
		}
		lines = append(lines, line{pause: time.Duration(q.pace) * time.Millisecond, text: e.String()})
	}
	return lines
}

// plain returns the body of a plain answer.
func (q *query) plain() string {
	return strings.Repeat(fmt.Sprintf("%s %s. ", q.stream, q.id), 3*q.pieces)
}
