// Package forwarder sends requests to endpoints over persistent HTTP/1.1 connections, and reports
// exactly how far each request got.
//
// The standard client repeats some requests by itself, asks for compressed answers, and does not report
// whether bytes of a request have been sent. Here each exchange is one request on one connection, driven
// by the caller's goroutine, so that "not sent" is known and no request runs twice. Parsing and
// formatting of HTTP messages are the standard library's.
//
// Invariants:
//   - a request is written at most once, to one connection;
//   - a connection is reused only after a complete answer that belonged to its request, with no unread
//     bytes behind it;
//   - an answer with the ID of another request is skipped, never returned to the caller;
//   - every wait ends with the context;
//   - nothing of a request reaches its endpoint after the exchange has ended;
//   - whatever an endpoint sends, an exchange holds little memory: heads are limited, bodies are read as
//     the caller reads them, and a connection with bytes behind its answer is closed.
package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/framer"
)

// Errors of an exchange.
var (
	// ErrUnsent means that no byte of the request was sent: it did not run at that endpoint and will not.
	ErrUnsent = merry.Sentinel("the request was not sent")
	// ErrWithdrawn means that the caller withdrew the request before it was sent. It is wrapped together
	// with ErrUnsent.
	ErrWithdrawn = merry.Sentinel("the caller withdrew the request")
	// ErrBroken means that the connection failed after the first write had begun: the request may have run.
	ErrBroken = merry.Sentinel("the connection to the endpoint broke")
	// ErrRecalled means that the endpoint had stopped accepting requests and not acknowledged this one. It is wrapped
	// together with ErrBroken: the request may have run, as acknowledgements may be lost alone.
	ErrRecalled = merry.Sentinel("the endpoint leaves and has not acknowledged the request")
	// ErrForeign means that the endpoint sent the answer to another request instead.
	ErrForeign = merry.Sentinel("the endpoint answered another request")
	// ErrUndelimited means that a discarded body is too long or that its framing is invalid.
	ErrUndelimited = merry.Sentinel("the end of the body was not found")
)

const (
	// DefaultDialTimeout bounds the time for a new connection. Endpoints are a few milliseconds away, and a
	// lost first packet is retransmitted after a second. The timeout is shorter than that, so that another
	// endpoint is tried earlier, and within a usual target of 250 ms for the beginning of an answer.
	DefaultDialTimeout = 200 * time.Millisecond
	// DefaultIdle is how long an idle connection is kept if the endpoint does not announce a time. Services
	// close idle connections after timeouts of their own.
	DefaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint announces, for the network latency.
	idleMargin = 700 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes. Events have about 100 bytes.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the answer is read. Longer bodies
	// are written concurrently, because an endpoint may answer before it has read the whole body.
	maxInlineBody = 8 << 10
	// maxForeign bounds the number of answers to other requests that are skipped.
	maxForeign = 2
	// maxSkippedBytes bounds the body of an answer that is skipped.
	maxSkippedBytes = 256 << 10
)

// Client keeps a pool of connections to each endpoint. Clock must be set before use.
type Client struct {
	Clock       clockwork.Clock
	DialTimeout time.Duration // DefaultDialTimeout if 0
	// Matches reports whether an answer belongs to the request with that ID. If it is nil, all do.
	Matches func(answer *http.Response, id string) bool

	mutex       sync.Mutex
	pools       map[netip.AddrPort]*pool
	opened      atomic.Uint64
	undelivered atomic.Uint64
}

// pool holds the connections to one address.
type pool struct {
	idle []*conn // the most recently used at the end
	open int     // idle, in use, or being dialled
	part int     // Bound.Part of the last request
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	limiter  *readLimiter // beneath the reader
	address  netip.AddrPort
	expires  time.Time // when it must not be reused any more
	released time.Time // when it became idle
	reused   bool
}

// Outgoing is a request for an endpoint.
type Outgoing struct {
	ID     string // identifies the answer
	Method string
	Target string // path and query, exactly as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// Fresh requests a new connection: the other end may have closed an idle connection unnoticed, and a
	// request that must not be repeated would be lost on it.
	Fresh bool
	// Bound limits the connections to the address.
	Bound Bound
	// Accepting is done once the endpoint takes no more requests. If it has not acknowledged this one recallGrace
	// later, the request is recalled. It may be nil.
	Accepting context.Context
}

// Exchange is a request in flight and its answer.
type Exchange struct {
	*http.Response
	// Reused reports that the connection had carried another request before.
	Reused bool

	client     *Client
	conn       *conn
	bound      Bound
	stopCancel func() bool
	bodyWrite  *bodyWrite // nil if the body was written inline
	complete   bool
}

// bodyWrite is a write of a body that goes on while the answer is read.
type bodyWrite struct {
	ended chan struct{} // closed once err is set
	err   error
}

// Opened returns the number of connections made since the start.
func (c *Client) Opened() uint64 {
	return c.opened.Load()
}

// Undelivered returns the number of requests that ended while the endpoint had not acknowledged all of their
// bytes.
func (c *Client) Undelivered() uint64 {
	return c.undelivered.Load()
}

// Do sends a request and returns once the header of its answer has been received. Sent is called right
// before the first byte is written; if it returns false, nothing is sent. Errors wrap ErrUnsent,
// ErrBroken or ErrForeign. The caller must close the exchange.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, out *Outgoing, sent func() bool) (*Exchange, error) {
	cn, err := c.acquire(ctx, address, out)
	if err != nil {
		return nil, merry.Errorf("%w: %w", ErrUnsent, err)
	}
	if sent != nil && !sent() {
		c.release(cn, out.Bound)
		return nil, merry.Errorf("%w: %w", ErrUnsent, ErrWithdrawn)
	}
	x := &Exchange{client: c, conn: cn, bound: out.Bound, Reused: cn.reused}
	x.stopCancel = context.AfterFunc(ctx, func() {
		// A deadline in the past ends reads and writes at once; their error makes Close discard the connection.
		if err := cn.SetDeadline(time.Unix(1, 0)); err != nil {
			cn.Close()
		}
	})
	err = x.send(out)
	if err != nil {
		err = merry.Errorf("%w: %w", ErrBroken, err)
	} else {
		err = x.receiveUnlessRecalled(ctx, out)
	}
	if err == nil {
		return x, nil
	}
	if waiting := x.withdraw(); waiting > 0 {
		c.undelivered.Add(1)
		err = merry.Errorf("%w; the endpoint has not acknowledged %d bytes of the request", err, waiting)
	}
	x.Close()
	return nil, err
}

// send writes the request. The head and a short body are sent in one write.
func (x *Exchange) send(out *Outgoing) error {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(&head); err != nil {
		return err
	}
	if len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut || out.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(out.Body) <= maxInlineBody {
		head.Write(out.Body)
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return err
	}
	write := &bodyWrite{ended: make(chan struct{})}
	x.bodyWrite = write
	go func() {
		defer close(write.ended)
		_, write.err = x.conn.Write(out.Body)
	}()
	return nil
}

// receive reads answers until one belongs to the request.
func (x *Exchange) receive(out *Outgoing) error {
	request := &http.Request{Method: out.Method}
	for range maxForeign + 1 {
		answer, err := x.readHead(request) //nolint:bodyclose // Exchange.Close closes or keeps the connection
		if err != nil {
			return merry.Errorf("%w: %w", ErrBroken, err)
		}
		if x.client.Matches == nil || x.client.Matches(answer, out.ID) {
			x.Response = answer
			answer.Body = &body{inner: answer.Body, exchange: x, framing: framer.Of(out.Method, answer)}
			return nil
		}
		// A late answer to another request precedes the expected one.
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes || answer.Close {
			return merry.Errorf("%w, and the end of that answer was not found", ErrForeign)
		}
	}
	return merry.Errorf("%w several times", ErrForeign)
}

// readHead reads the head of the next final answer. Informational answers before it are skipped; their
// number is limited by their bytes, which count toward the same limit as the head.
func (x *Exchange) readHead(request *http.Request) (*http.Response, error) {
	x.conn.limiter.limit(maxHeadBytes)
	defer x.conn.limiter.lift()
	for {
		answer, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if !framer.Interim(answer) {
			return answer, framer.Check(answer)
		}
	}
}

// body records that an answer has been read to its end.
type body struct {
	inner    io.ReadCloser
	exchange *Exchange
	framing  framer.Framing
	reset    error // found at the end of an unframed answer
}

func (b *body) Read(buffer []byte) (int, error) {
	if b.reset != nil {
		return 0, b.reset
	}
	n, err := b.inner.Read(buffer)
	if errors.Is(err, io.EOF) && b.framing == framer.ByConnection {
		b.reset = b.exchange.hiddenReset()
		if b.reset != nil {
			return n, b.reset
		}
	}
	if errors.Is(err, io.EOF) {
		b.exchange.complete = true
	}
	return n, err
}

// hiddenReset returns the error of a reset that the concurrent write of the body has received. The system
// reports a reset only once: if the write gets it, reads end as at an ordinary close.
func (x *Exchange) hiddenReset() error {
	if x.bodyWrite == nil || x.complete {
		return nil
	}
	// The endpoint has closed its side, so that a write that is still blocked may not end by itself.
	if err := x.endBodyWrite(); errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	return nil
}

// endBodyWrite ends the concurrent write of the body, if there is one, and returns its error.
func (x *Exchange) endBodyWrite() error {
	if x.bodyWrite == nil {
		return nil
	}
	if err := x.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-x.bodyWrite.ended
	return x.bodyWrite.err
}

func (b *body) Close() error {
	return nil // Exchange.Close closes or keeps the connection
}

// Complete reports whether the answer was read to its end.
func (x *Exchange) Complete() bool {
	return x.complete
}

// Discard reads the body of an answer to its end, so that the connection can be reused, but less than limit
// bytes and no longer than wait. The error wraps os.ErrDeadlineExceeded if the end has not arrived in time,
// and otherwise ErrUndelimited; Close closes the connection after either.
func (x *Exchange) Discard(limit int64, wait time.Duration) error {
	if err := x.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Body, limit))
	switch {
	case n == limit:
		return ErrUndelimited
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case err != nil:
		return merry.Errorf("%w: %w", ErrUndelimited, err)
	}
	return x.conn.SetReadDeadline(time.Time{})
}

// Close ends the exchange. The connection is kept if the answer is complete and the connection reusable.
func (x *Exchange) Close() {
	interrupted := !x.stopCancel()
	if interrupted || !x.reusable() {
		x.withdraw()
		x.client.discard(x.conn)
		return
	}
	x.conn.reused = true
	x.conn.expires = x.client.Clock.Now().Add(idleTimeout(x.Header))
	x.client.release(x.conn, x.bound)
}

// reusable reports whether the connection can carry another request.
func (x *Exchange) reusable() bool {
	if x.Response == nil || !x.complete || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.bodyWrite == nil {
		return true
	}
	select {
	case <-x.bodyWrite.ended:
		return x.bodyWrite.err == nil
	default:
		return false // the endpoint answered before it had read the whole body
	}
}

// idleTimeout returns how long a connection may be idle, from the endpoint's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return DefaultIdle
}

// acquire returns an idle connection that is still open, or a new one.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, out *Outgoing) (*conn, error) {
	for {
		cn, evicted, err := c.takeOrReserve(address, out)
		if evicted != nil {
			evicted.Close()
		}
		switch {
		case err != nil:
			return nil, err
		case cn == nil:
			return c.dial(ctx, address)
		case c.Clock.Now().Before(cn.expires) && isIdle(cn.Conn):
			return cn, nil
		}
		c.discard(cn)
	}
}

// dial opens a new connection, which has been counted already.
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	dialer.KeepAlive = -1 // every wait is bounded by the deadline of its request
	made, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		c.count(address, -1)
		return nil, err
	}
	c.opened.Add(1)
	return newConn(made, address), nil
}

func newConn(made net.Conn, address netip.AddrPort) *conn {
	limiter := &readLimiter{inner: made}
	return &conn{Conn: made, reader: bufio.NewReaderSize(limiter, readBufferSize), limiter: limiter, address: address}
}

// count adds change to the number of open connections to an address.
func (c *Client) count(address netip.AddrPort, change int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(address)
	p.open += change
	if p.open == 0 && len(p.idle) == 0 {
		delete(c.pools, address)
	}
}

// pool returns the pool of an address. The caller holds the mutex.
func (c *Client) pool(address netip.AddrPort) *pool {
	if c.pools == nil {
		c.pools = make(map[netip.AddrPort]*pool)
	}
	p, found := c.pools[address]
	if !found {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// discard closes a connection that is not in the pool.
func (c *Client) discard(cn *conn) {
	cn.Close()
	c.count(cn.address, -1)
}

// Forget closes the idle connections to an address. The caller uses it when the process at that address
// has restarted: if an endpoint crashed behind a network partition, its connections seem open, and each
// would cost a request.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	var closing []*conn
	if p, found := c.pools[address]; found {
		closing, p.idle = p.idle, nil
	}
	c.mutex.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}

// Sweep closes the idle connections whose idle time has expired, and those beyond the even part that are not
// reused. The caller runs it periodically.
func (c *Client) Sweep() {
	now := c.Clock.Now()
	var closing []*conn
	c.mutex.Lock()
	for _, p := range c.pools {
		closing = append(closing, p.sweep(now)...)
	}
	c.mutex.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}
