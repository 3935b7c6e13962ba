package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"shallotkeel.example/platform"
)

const eventStream = "text/event-stream"

// fault is something a faulty endpoint does to an answer. It names itself in the ledger.
type fault struct {
	name  string
	apply func(r *rand.Rand, a *answering)
}

// answering is an answer that is being composed.
type answering struct {
	script   *script
	send     *send
	id       string
	previous string // ID of the request before it on the connection, empty if none

	query     *query
	streaming bool
	long      bool // the request's body is long
}

// firstFaults befall any answer. A stream's own events stay in order.
var firstFaults = []fault{
	{"closes at any byte", func(r *rand.Rand, a *answering) { a.script.truncate(r, closed) }},
	{"resets at any byte", func(r *rand.Rand, a *answering) { a.script.truncate(r, reset) }},
	{"closes at any byte", func(r *rand.Rand, a *answering) { a.script.truncate(r, closed) }},
	{"resets at any byte", func(r *rand.Rand, a *answering) { a.script.truncate(r, reset) }},
	{"hangs at any byte", func(r *rand.Rand, a *answering) { a.script.truncate(r, hung) }},
	{"pauses", func(r *rand.Rand, a *answering) {
		if len(a.script.body) > 0 {
			a.script.body[r.IntN(len(a.script.body))].pause = time.Duration(300+r.IntN(2200)) * time.Millisecond
		}
	}},
	{"informs first", func(_ *rand.Rand, a *answering) { a.script.before = informational }},
	{"informs and closes", func(r *rand.Rand, a *answering) {
		a.script.before, a.script.cut, a.script.ending = informational[:1+r.IntN(len(informational))], 0, closed
	}},
	{"closes in the head after informing", func(r *rand.Rand, a *answering) {
		a.script.before, a.script.cut, a.script.ending = informational, r.IntN(len(a.script.head)), closed
	}},
	{"sends bytes after the end", func(r *rand.Rand, a *answering) {
		if a.script.frame != none {
			a.script.tail = []string{"left over", "HTTP/1.1 200", foreign(a.id, a.id)}[r.IntN(3)]
		}
	}},
	{"answers the request before once more", func(_ *rand.Rand, a *answering) {
		if a.previous != "" {
			a.script.before = foreign(a.previous, a.previous)
		}
	}},
	{"closes after the answer", func(_ *rand.Rand, a *answering) { a.script.ending = closed }},
	{"answers a status that does not exist", func(r *rand.Rand, a *answering) {
		a.send.status = invalidStatuses[r.IntN(len(invalidStatuses))]
		_, rest, _ := strings.Cut(a.script.head, "\r\n")
		a.script.head = fmt.Sprintf("HTTP/1.1 %03d None\r\n%s", a.send.status, rest)
	}},
	{"sends without end", flood},
	{"answers at once, and resets under a long upload", resetEarly},
	{"answers at once, and resets under a long upload", resetEarly},
	{"answers at once, and resets under a long upload", resetEarly},
}

// invalidStatuses are outside of what RFC 9110 allows, or of what a final answer may have unasked.
var invalidStatuses = []int{0, 1, 99, 101, 600, 777, 999}

// flood has an answer never end, in its head or where it is no part of the body.
func flood(r *rand.Rand, a *answering) {
	filler := strings.Repeat("x", 1<<10)
	line, _, _ := strings.Cut(a.script.head, "\r\n")
	a.script.cut, a.script.ending = 0, closed
	switch r.IntN(6) {
	case 0:
		a.script.flood = filler
	case 1:
		a.script.before, a.script.flood = line, filler
	case 2:
		a.script.before, a.script.flood = line+"\r\nEndless: ", filler
	case 3:
		a.script.before, a.script.flood = line+"\r\n", strings.Repeat("A: b\r\n", 100)
	case 4:
		a.script.flood = informational
	default:
		if a.script.frame != chunked {
			a.script.flood = filler
			return
		}
		a.script.cut, a.script.tail, a.script.flood = len(a.script.head), "1;", filler
	}
}

// resetEarly answers a request with a long body before that is read, without a length, sends a part and resets the
// connection while the body is still being written.
func resetEarly(r *rand.Rand, a *answering) {
	if !a.long || a.streaming {
		return
	}
	*a.script = *newScript(a.send.status, a.id, a.send.stamp, "text/plain", none, []line{{text: a.query.plain()}})
	a.script.cut = len(a.script.head) + r.IntN(a.script.size()-len(a.script.head))
	a.script.ending, a.script.early, a.script.rest = reset, true, time.Duration(r.IntN(3000))*time.Microsecond
}

const informational = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"

// foreign returns a whole answer that belongs to no request that waits.
func foreign(id, stamp string) string {
	body := "an answer that is late " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: late-%s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderID, id, platform.HeaderStamp, stamp, len(body), body)
}

// resumeStatuses are what an endpoint may answer in place of going on.
var resumeStatuses = []int{201, 202, 204, 206, 301, 302, 304, 400, 404, 409, 413, 416, 422, 429, 500, 501, 502, 503, 504}

// resumeFault returns the answer of an endpoint that does not go on with a stream as it was asked.
func resumeFault(r *rand.Rand, q *query, s *send, number int) (*script, string) {
	frame := framing(r.IntN(3))
	stamp := s.stamp
	if r.IntN(4) == 0 {
		stamp = ""
	}
	events := func(from, first int) []line { return q.events(s, number, from, first) }
	switch r.IntN(8) {
	case 0, 1:
		s.status = resumeStatuses[r.IntN(len(resumeStatuses))]
		sc := newScript(s.status, q.id, stamp, "text/plain", frame, []line{{text: "cannot go on with this\n"}})
		name := fmt.Sprintf("answers %d", s.status)
		if s.status == 204 || s.status == 304 {
			sc = newScript(s.status, q.id, stamp, "", length, nil)
		}
		if s.status >= 400 && r.IntN(2) == 0 {
			sc.markNotRun()
			name, s.ran = name+" and not run", false
		}
		return sc, name + signature(stamp)
	case 2:
		return newScript(200, q.id, stamp, eventStream, frame, nil), "sends no event" + signature(stamp)
	case 3:
		kind := []string{"text/plain", "application/json", "text/html; charset=utf-8"}[r.IntN(3)]
		return newScript(200, q.id, stamp, kind, frame, []line{{text: "this is no event\n\n"}}), "sends " + kind + signature(stamp)
	case 4, 5:
		return newScript(200, q.id, stamp, eventStream, frame, events(0, 1)), "begins again" + signature(stamp)
	case 6:
		first := max(1, s.resumed-r.IntN(3))
		return newScript(200, q.id, stamp, eventStream, frame, events(first-1, first)), "begins earlier" + signature(stamp)
	default:
		first := s.resumed + 2 + r.IntN(3)
		return newScript(200, q.id, stamp, eventStream, frame, events(first-1, first)), "leaves a gap" + signature(stamp)
	}
}

func signature(stamp string) string {
	if stamp == "" {
		return " unsigned"
	}
	return ""
}
