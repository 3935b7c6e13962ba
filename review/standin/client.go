package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a client.
type call struct {
	method, path, key, body string
	deadline                time.Duration
	prompt                  string // the parts of the prompt, empty for a plain call
}

// reply is what a client saw of one attempt. Status 0 means that the connection ended without a
// complete answer.
type reply struct {
	id         string
	router     *machine
	sent, got  time.Time
	status     int
	stamp      string
	retryAfter string
	whole      bool
	problem    string
}

// client sends one request at a time on a kept connection.
type client struct {
	fleet  *fleet
	record *record
	number int

	conn   net.Conn
	reader *bufio.Reader
	router *machine
}

// send sends one attempt, under an id of its own, and reads the answer.
func (c *client) send(ctx context.Context, out call) reply {
	r := reply{id: fmt.Sprintf("%016x", rand.Uint64())}
	if c.conn == nil {
		router, address := c.fleet.route(c.number)
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			r.sent, r.got, r.router, r.problem = time.Now(), time.Now(), router, "no connection"
			c.record.add("client %d: no connection to %s", c.number, router.name)
			return r
		}
		c.conn, c.reader, c.router = conn, bufio.NewReader(conn), router
	}
	r.router, r.sent = c.router, time.Now()
	_ = c.conn.SetDeadline(r.sent.Add(out.deadline)) // a connection that failed is noticed below
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		out.method, out.path, host, headerID, r.id, headerDeadline, out.deadline.Milliseconds(), out.key)
	if out.prompt != "" {
		fmt.Fprintf(&text, "%s: m\r\n%s: 826,294\r\n%s: %s\r\n", headerModel, headerTokens, headerPrefix, out.prompt)
	}
	if out.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(out.body))
	}
	text.WriteString("\r\n" + out.body)
	c.record.addAt(r.sent, "client %d sends %s %s %s to %s", c.number, r.id, out.method, out.path, c.router.name)
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return c.broken(r, err)
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: out.method})
	if err != nil {
		return c.broken(r, err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return c.broken(r, err)
	}
	r.got, r.status, r.stamp, r.retryAfter = time.Now(), answer.StatusCode, answer.Header.Get(headerStamp), answer.Header.Get("Retry-After")
	r.whole = string(body) == bodyOf(r.id)
	c.record.addAt(r.got, "client %d gets %d for %s, stamp %q", c.number, r.status, r.id, r.stamp)
	if answer.Close {
		c.close()
	}
	return r
}

func (c *client) broken(r reply, err error) reply {
	c.close()
	r.got, r.problem = time.Now(), err.Error()
	c.record.addAt(r.got, "client %d gets no answer to %s: %v", c.number, r.id, err)
	return r
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load is a steady load of clients.
type load struct {
	fleet   *fleet
	record  *record
	clients int
	pause   time.Duration // mean pause between the requests of a client
	next    func() call
	// retries has clients send a request once more, under another id, after a promise that it has
	// not run.
	retries bool

	mutex   sync.Mutex
	replies []reply
	calls   map[string]call
}

// run sends requests until the context ends.
func (l *load) run(ctx context.Context) {
	l.calls = make(map[string]call)
	var group sync.WaitGroup
	for i := range l.clients {
		group.Go(func() {
			c := &client{fleet: l.fleet, record: l.record, number: i}
			defer c.close()
			for ctx.Err() == nil {
				out := l.next()
				r := l.send(ctx, c, out)
				if l.retries && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
					l.send(ctx, c, out)
				}
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(l.pause))):
				}
			}
		})
	}
	group.Wait()
}

// send sends one attempt, and keeps what the client saw.
func (l *load) send(ctx context.Context, c *client, out call) reply {
	r := c.send(ctx, out)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replies = append(l.replies, r)
	l.calls[r.id] = out
	return r
}

// byID returns what clients saw, by the id of the attempt.
func (l *load) byID() map[string]reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	byID := make(map[string]reply, len(l.replies))
	for _, r := range l.replies {
		byID[r.id] = r
	}
	return byID
}

// summary counts the replies by their status.
func (l *load) summary() map[int]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(map[int]int)
	for _, r := range l.replies {
		counts[r.status]++
	}
	return counts
}
