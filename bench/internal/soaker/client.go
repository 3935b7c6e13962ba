package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"shallotkeel.example/platform"
	"shallotkeel.example/platform/player"
)

const (
	requestDeadline = 8 * time.Second
	eventPatience   = 4 * time.Second
	maxTries        = 5
	maxPad          = 9000    // bytes, more than a router reads at once
	longUpload      = 900_000 // bytes, more than connections hold
	probeTime       = time.Millisecond
)

// client sends one request at a time on a connection that it keeps.
type client struct {
	play   *play
	number int
	rand   *rand.Rand
	count  int

	conn   net.Conn
	reader *bufio.Reader
	router *machine
}

// reply is what a client got for one attempt.
type reply struct {
	*history
	status   int
	stamp    string
	echoed   string
	kind     string
	body     string
	complete bool // the answer ended as complete
	unframed bool // only the end of the connection tells so
	partial  bool // its router ended meanwhile
	err      error
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		r := routes[c.rand.IntN(len(routes))]
		c.count++
		q := c.draw()
		if r.Kind == player.Streaming {
			c.stream(ctx, r, q)
		} else {
			if c.rand.IntN(10) == 0 {
				q.upload = longUpload
			}
			c.play.judge.plain(q, c.send(r, q, 0, "", 0))
		}
		pause(ctx, time.Duration(c.rand.IntN(120))*time.Millisecond)
	}
}

// draw returns what a request asks for. Some ask for what others ask for at the same time: routers can tell their streams
// apart only if clients name them.
func (c *client) draw() *query {
	if c.rand.IntN(4) == 0 {
		shared := popular[c.rand.IntN(len(popular))]
		return &shared
	}
	q := &query{stream: fmt.Sprintf("s%d-%d", c.number, c.count), pieces: 4 + c.rand.IntN(30), pace: 5 + c.rand.IntN(50)}
	if c.rand.IntN(5) == 0 {
		q.pace = 0
	}
	if c.rand.IntN(6) == 0 {
		q.pad = c.rand.IntN(maxPad)
	}
	return q
}

// popular are the queries of several clients.
var popular = []query{{stream: "popular-1", pieces: 20, pace: 40}, {stream: "popular-2", pieces: 30, pace: 25}, {stream: "popular-3", pieces: 12, pace: 60}}

// stream gets a stream to its end, by several attempts where it may be taken up.
func (c *client) stream(ctx context.Context, r player.Route, q *query) {
	seen := &seen{query: q}
	name := ""
	for try := range maxTries {
		answer := c.send(r, q, seen.last, name, try)
		if name == "" {
			name = answer.id
		}
		done := c.play.judge.stream(seen, answer)
		if done || !r.Resume || ctx.Err() != nil || answer.status == http.StatusNotFound {
			return
		}
		c.drop()
		pause(ctx, time.Duration(50+c.rand.IntN(300))*time.Millisecond)
	}
}

// send sends one attempt and reads its answer.
func (c *client) send(r player.Route, q *query, after int, resumes string, try int) *reply {
	q.id = fmt.Sprintf("%x-%d-%d-%s-%d", c.play.options.Seed, c.number, c.count, q.stream, try)
	h := &history{id: q.id, stream: q.stream, from: after, sent: time.Now(), repeatable: r.Kind == player.Idempotent || r.Resume}
	answer := &reply{history: h}
	defer func() {
		c.play.ledger.read(func() { h.ended, h.status = time.Now(), answer.status })
		if answer.err != nil {
			c.drop()
		}
		c.play.record.add("client %d gets %d for %s from %s, complete %t, %d bytes: %v", c.number, answer.status, h.id, h.router, answer.complete, len(answer.body), answer.err)
	}()
	c.checkIdle(h)
	if answer.err = c.dial(try); answer.err != nil {
		return answer
	}
	h.router = c.router.Name
	c.play.ledger.open(h)
	text := q.text()
	var out strings.Builder
	fmt.Fprintf(&out, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		r.Prefix, r.Host, platform.HeaderID, h.id, platform.HeaderDeadline, requestDeadline.Milliseconds(), len(text))
	if after > 0 {
		fmt.Fprintf(&out, "%s: %d\r\n", platform.HeaderResume, after)
		if !c.play.options.Unnamed || c.number%2 == 0 {
			fmt.Fprintf(&out, "%s: %s\r\n", platform.HeaderResumes, resumes)
		}
	}
	c.play.record.add("client %d sends %s to %s (after %d)", c.number, h.id, h.router, after)
	if _, answer.err = io.WriteString(c.conn, out.String()+"\r\n"+text); answer.err == nil {
		answer.err = c.receive(answer)
	}
	answer.partial = c.router.endedSince(h.sent)
	return answer
}

// dial connects to a router if no connection is open.
func (c *client) dial(try int) error {
	if c.conn != nil {
		return nil
	}
	c.router = c.play.fleet.front(c.number + try)
	conn, err := net.DialTimeout("tcp", c.router.Address+":"+player.PortFront, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// checkIdle looks for bytes that came while no request was waiting.
func (c *client) checkIdle(h *history) {
	if c.conn == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(probeTime))
	text, err := c.reader.Peek(1)
	switch {
	case len(text) > 0:
		rest, _ := c.reader.Peek(c.reader.Buffered())
		if !strings.HasPrefix(string(rest), "HTTP/1.1 4") {
			c.play.judge.broken(mixed, h, fmt.Sprintf("bytes with no request waiting, before this one: %q", rest))
		}
		c.drop()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.drop()
	}
}

// receive reads an answer to its end, or to where it breaks.
func (c *client) receive(answer *reply) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(requestDeadline + time.Second))
	response, err := c.readHead()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer.status, answer.kind = response.StatusCode, response.Header.Get("Content-Type")
	answer.stamp, answer.echoed = response.Header.Get(platform.HeaderStamp), response.Header.Get(platform.HeaderID)
	answer.unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	var body strings.Builder
	buffer := make([]byte, 4<<10)
	for err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(eventPatience))
		var n int
		n, err = response.Body.Read(buffer)
		body.Write(buffer[:n])
	}
	answer.body = body.String()
	if !errors.Is(err, io.EOF) {
		return err
	}
	answer.complete = true
	if answer.unframed || response.Close {
		c.drop()
	}
	return nil
}

// readHead reads the head of the final answer, after any informational ones.
func (c *client) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		response.Body.Close()
	}
}
