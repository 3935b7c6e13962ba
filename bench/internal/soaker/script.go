package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"shallotkeel.example/platform"
)

// ending is what becomes of the connection after a script.
type ending int

const (
	kept ending = iota
	closed
	reset
	hung // nothing more is written until the caller gives up
)

// line is a piece of an answer, written after a pause.
type line struct {
	pause time.Duration
	text  string
}

// script is an answer as an endpoint writes it, byte for byte.
type script struct {
	before string // informational heads, or an answer to an earlier request
	head   string
	body   []line
	tail   string // bytes after the complete answer
	flood  string // bytes after all that, again and again until the caller closes the connection
	early  bool   // it is written before the request's body has been read
	cut    int    // bytes of the head and the body that are written, all if negative
	ending ending
	rest   time.Duration // before a reset
	frame  framing
}

// maxFlood bounds what an endpoint sends to a caller that does not close the connection.
const maxFlood = 512 << 20

// newScript composes an answer.
func newScript(status int, id, stamp, kind string, frame framing, body []line) *script {
	sc := &script{cut: -1, frame: frame}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), platform.HeaderID, id)
	if stamp != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", platform.HeaderStamp, stamp)
	}
	if kind != "" {
		fmt.Fprintf(&head, "Content-Type: %s\r\n", kind)
	}
	size := 0
	for _, l := range body {
		size += len(l.text)
	}
	switch frame {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", size)
	case none:
		head.WriteString("Connection: close\r\n")
		sc.ending = closed
	}
	sc.head = head.String() + "\r\n"
	for _, l := range body {
		if frame == chunked {
			l.text = fmt.Sprintf("%x\r\n%s\r\n", len(l.text), l.text)
		}
		sc.body = append(sc.body, l)
	}
	if frame == chunked {
		sc.body = append(sc.body, line{text: "0\r\n\r\n"})
	}
	return sc
}

// markNotRun adds the header by which an endpoint says that it did not run the request.
func (sc *script) markNotRun() {
	sc.head = strings.TrimSuffix(sc.head, "\r\n") + platform.HeaderNotRun + ": 1\r\n\r\n"
}

// split divides pieces of the body at any byte, so that no write or chunk is an event.
func split(r *rand.Rand, body []line) []line {
	var parts []line
	for _, l := range body {
		at := r.IntN(len(l.text))
		if at > 0 {
			parts = append(parts, line{pause: l.pause, text: l.text[:at]})
		}
		parts = append(parts, line{pause: l.pause * time.Duration(r.IntN(2)), text: l.text[at:]})
	}
	return parts
}

// size returns the bytes of the head and the body.
func (sc *script) size() int {
	size := len(sc.head)
	for _, l := range sc.body {
		size += len(l.text)
	}
	return size
}

// truncate cuts the script at any byte: in the head one time in four.
func (sc *script) truncate(r *rand.Rand, end ending) {
	if r.IntN(4) == 0 {
		sc.cut = r.IntN(len(sc.head))
	} else {
		sc.cut = len(sc.head) + r.IntN(sc.size()-len(sc.head)+1)
		sc.cut = min(sc.cut, sc.size()-1)
	}
	sc.ending = end
}

// atBoundary reports whether the cut of an answer without framing lies between two events.
func (sc *script) atBoundary() bool {
	var text strings.Builder
	for _, l := range sc.body {
		text.WriteString(l.text)
	}
	written := text.String()[:sc.cut-len(sc.head)]
	return written == "" || strings.HasSuffix(written, "\n\n")
}

// play writes the script, and reports whether the connection serves on.
func (sc *script) play(conn *gated, rest func()) bool {
	if _, err := conn.Write([]byte(sc.before)); err != nil {
		return false
	}
	left := sc.cut
	if left < 0 {
		left = sc.size()
	}
	for _, l := range append([]line{{text: sc.head}}, sc.body...) {
		if left == 0 {
			break
		}
		time.Sleep(l.pause)
		text := l.text[:min(left, len(l.text))]
		if _, err := conn.Write([]byte(text)); err != nil {
			return false
		}
		left -= len(text)
	}
	if _, err := conn.Write([]byte(sc.tail)); err != nil {
		return false
	}
	for sent := 0; sc.flood != "" && sent < maxFlood; sent += len(sc.flood) {
		if _, err := conn.Write([]byte(sc.flood)); err != nil {
			return false
		}
	}
	switch sc.ending {
	case reset:
		time.Sleep(sc.rest)
		_ = conn.SetLinger(0)
	case hung:
		rest()
	}
	return sc.ending == kept
}
