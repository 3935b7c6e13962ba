// Package screener refuses requests on new connections before an HTTP server accepts them.
//
// In a flood, each request arrives on a connection of its own. If the server accepts the connection,
// each refusal costs two goroutines, their buffers and a dozen allocations; on a small instance 2,000
// refusals per second leave no processor time for the requests that are to be served. If connections
// are closed unread instead, their clients retry at once, and the load rises. The screener reads a
// request once into a shared buffer, judges it, and writes the refusal itself.
//
// When the listener is closed, the requests that wait here are refused, too.
//
// Invariants: a connection is either answered here or handed to the server with every byte that was
// read from it, never both; a request that is refused here has not run and will not run; a
// connection that sends nothing is closed within a bounded time, and the number of connections that
// wait for a request is bounded.
package screener

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/forwarder"
)

const (
	// requestTimeout is how long the first bytes of a request are awaited while connections are screened.
	// Clients give a router a second to read a request.
	requestTimeout = 500 * time.Millisecond
	// drainTimeout is how long the rest of a refused request's body is read. Closing a connection with
	// unread bytes resets it, and the client may lose the answer.
	drainTimeout = 200 * time.Millisecond
	// acceptPause is the pause after a transient accept error, such as a lack of descriptors.
	acceptPause = 10 * time.Millisecond
	// acceptBatch is the number of connections that are accepted before the goroutine yields. While
	// connections arrive faster than they are closed, accepting never blocks, so nothing else makes its
	// goroutine yield: requests that have been read then make no progress, and reach endpoints after
	// their clients have disconnected. With too small a batch the queue of new connections grows until
	// the clients of all accepted connections have disconnected.
	acceptBatch = 32
	// acceptQueue is the number of connections that may wait for the server to accept them.
	acceptQueue = 64
	// maxCapacityLogsPerSecond bounds the log lines on changing capacity.
	maxCapacityLogsPerSecond = 2
)

// Refusal is the answer to a request that has not run and will not run.
type Refusal struct {
	Status int
	Reason string
	Retry  time.Duration // sent to the client as Retry-After
}

// StopRefusal is the refusal of requests that a planned stop does not serve. Another router can serve them
// at once.
var StopRefusal = Refusal{Status: http.StatusServiceUnavailable, Reason: "this router stops", Retry: 100 * time.Millisecond}

// Judge returns the refusal of a request whose head has been read, or nil if it is to be served. It
// must not read the body.
type Judge func(h *http.Request) *Refusal

// Options configures a Listener.
type Options struct {
	// Admit reports whether one more connection may be accepted at all. It is called once for each
	// connection, so it may count them.
	Admit func() bool
	// ScreeningActive reports whether requests on new connections are judged now.
	ScreeningActive func() bool
	Judge           Judge
	// Identify returns the id of a request for log lines. It may be nil.
	Identify func(h *http.Request) string
	// MaxWaiting is the maximum number of connections that wait for their first request.
	MaxWaiting int
	Clock      clockwork.Clock
	Log        zerolog.Logger
}

// Listener is a net.Listener that returns only connections that are not refused.
type Listener struct {
	net.Listener
	options      Options
	accepted     chan net.Conn
	acceptError  chan error
	done         chan struct{}
	closeOnce    sync.Once
	closeError   error
	waiting      atomic.Int64
	full         bool // used by the accept goroutine only, as is logDamper
	logDamper    damper.Damper
	closedUnread atomic.Uint64
	refused      atomic.Uint64
	abandoned    atomic.Uint64
	silent       atomic.Uint64
	turnedAway   atomic.Uint64
}

// New returns a listener that screens the connections of inner.
func New(inner net.Listener, options Options) *Listener {
	l := &Listener{
		Listener: inner, options: options,
		accepted: make(chan net.Conn, acceptQueue), acceptError: make(chan error, 1), done: make(chan struct{}),
		logDamper: damper.Damper{LinesPerSecond: maxCapacityLogsPerSecond},
	}
	go l.accept()
	return l
}

// ClosedUnread returns the number of connections closed unread for lack of capacity.
func (l *Listener) ClosedUnread() uint64 {
	return l.closedUnread.Load()
}

// Refused returns the number of requests refused by this listener.
func (l *Listener) Refused() uint64 {
	return l.refused.Load()
}

// Abandoned returns the number of connections closed because their clients had closed them.
func (l *Listener) Abandoned() uint64 {
	return l.abandoned.Load()
}

// Silent returns the number of connections closed because no request arrived on them in time, or before
// the listener was closed.
func (l *Listener) Silent() uint64 {
	return l.silent.Load()
}

// TurnedAway returns the number of requests refused because the listener was closed.
func (l *Listener) TurnedAway() uint64 {
	return l.turnedAway.Load()
}

// Waiting returns the number of connections that wait for their first request.
func (l *Listener) Waiting() int {
	return int(l.waiting.Load())
}

// Accept returns the next connection for the server.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case err := <-l.acceptError:
		return nil, err
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It refuses the requests on connections that the server has not accepted,
// and closes those on which none has arrived.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.acceptPending()
		l.closeError = l.Listener.Close()
	})
	l.turnAwayQueued()
	return l.closeError
}

// maxPending bounds the connections that are taken from the system's queue at the close.
const maxPending = 4096

// acceptPending turns away the connections in the system's queue. Closing the socket would reset them, and
// with them requests that the system has acknowledged.
func (l *Listener) acceptPending() {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for range maxPending {
		conn, err := acceptNow(raw)
		if err != nil {
			l.options.Log.Warn().Err(err).Msg("connections that wait for the system to accept them are reset")
		}
		if conn == nil {
			return
		}
		group.Go(func() { l.turnAway(conn) })
	}
}

// turnAwayQueued turns away the connections that wait for the server, and returns once all have been.
func (l *Listener) turnAwayQueued() {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case conn := <-l.accepted:
			group.Go(func() { l.turnAway(conn) })
		default:
			return
		}
	}
}

// turnAway refuses the request that has arrived on a connection that the server will not accept. A client
// whose request was read and whose connection is closed without an answer cannot tell whether it ran.
func (l *Listener) turnAway(conn net.Conn) {
	b := newBuffer()
	read := 0
	raw := conn
	if prefixed, ok := conn.(*prefixedConn); ok {
		read, raw = copy(b.bytes, prefixed.prefix), prefixed.Conn
	}
	if read == 0 {
		read = readAvailable(raw, b.bytes)
	}
	if read == 0 {
		l.silent.Add(1)
		conn.Close()
		return
	}
	h, rest := b.parse(read)
	l.refused.Add(1)
	l.turnedAway.Add(1)
	id := ""
	if h != nil && l.options.Identify != nil {
		id = l.options.Identify(h)
	}
	l.options.Log.Info().Str("id", id).Str("cause", "stop").Int("read", read).Msg("request refused because its connection was not accepted before the stop")
	l.refuse(raw, b, &StopRefusal, rest)
}

// accept accepts connections until the listener is closed or fails.
func (l *Listener) accept() {
	b := newBuffer()
	for accepted := 1; ; accepted++ {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.dispatch(conn, b)
		case isTransient(err):
			l.options.Log.Warn().Err(err).Msg("accepting a connection failed; retrying after a pause")
			<-l.options.Clock.After(acceptPause)
		default:
			l.acceptError <- err
			return
		}
		if accepted%acceptBatch == 0 {
			runtime.Gosched()
		}
	}
}

// transientErrors are the accept errors after which the next accept may succeed. If one of them ended
// the listener, the router would report ready and accept no further connection.
var transientErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(known error) bool { return errors.Is(err, known) })
}

// dispatch closes a connection unread, screens it, or hands it to the server.
func (l *Listener) dispatch(conn net.Conn, b *buffer) {
	screening := l.options.ScreeningActive()
	switch {
	case !l.admit(screening):
		l.closedUnread.Add(1)
		conn.Close()
	case screening:
		l.screen(conn, b)
	default:
		l.handOver(conn)
	}
}

// admit reports whether there is capacity for one more connection.
func (l *Listener) admit(screening bool) bool {
	admitted := l.options.Admit() && (!screening || l.Waiting() < l.options.MaxWaiting)
	if admitted == l.full && l.logDamper.Admit(l.options.Clock.Now(), l.options.Log) {
		l.full = !admitted
		l.options.Log.Warn().Bool("full", l.full).Msg("capacity for client connections changed")
	}
	return admitted
}

// screen refuses a request at once, without a goroutine, if it has arrived completely. All other
// connections are passed to screenWaiting.
func (l *Listener) screen(conn net.Conn, b *buffer) {
	read := readAvailable(conn, b.bytes)
	if read > 0 && forwarder.Ended(conn) {
		l.abandoned.Add(1)
		conn.Close()
		return
	}
	if refusal := l.judgeComplete(b, read); refusal != nil {
		l.refused.Add(1)
		l.refuse(conn, b, refusal, 0)
		return
	}
	l.waiting.Add(1)
	go l.screenWaiting(conn, bytes.Clone(b.bytes[:read]))
}

// judgeComplete returns the refusal of a request that has arrived completely, nil for any other.
func (l *Listener) judgeComplete(b *buffer, read int) *Refusal {
	h, rest := b.parse(read)
	if h == nil || rest > 0 {
		return nil
	}
	return l.options.Judge(h)
}

// handOver queues a connection for the server, or turns it away if the listener is closed.
func (l *Listener) handOver(conn net.Conn) {
	select {
	case l.accepted <- conn:
	case <-l.done:
		l.turnAway(conn)
		return
	}
	select {
	case <-l.done:
		l.turnAwayQueued() // Close may have emptied the queue before
	default:
	}
}

// screenWaiting reads the first request of a connection, of which first has been read already, and
// refuses it or hands the connection to the server.
func (l *Listener) screenWaiting(conn net.Conn, first []byte) {
	defer l.waiting.Add(-1)
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	read, err := copy(b.bytes, first), error(nil)
	if read == 0 {
		read, err = l.readFirst(conn, b)
	}
	if read == 0 {
		l.silent.Add(1)
		if err != nil {
			l.options.Log.Debug().Err(err).Msg("new connection sent no request in time; it is closed")
		}
		conn.Close()
		return
	}
	if forwarder.Ended(conn) {
		// The client disconnected while its connection waited. In the server, the request would
		// cost as much as one that is served.
		l.abandoned.Add(1)
		conn.Close()
		return
	}
	refusal, rest := l.judge(b, read)
	if refusal == nil {
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			l.options.Log.Debug().Err(err).Msg("new connection failed before its request was handed to the server; it is closed")
			conn.Close()
			return
		}
		l.handOver(&prefixedConn{Wrapped: forwarder.Wrapped{Conn: conn}, prefix: bytes.Clone(b.bytes[:read])})
		return
	}
	l.refused.Add(1)
	l.refuse(conn, b, refusal, rest)
}

// readFirst waits for the first bytes of a request.
func (l *Listener) readFirst(conn net.Conn, b *buffer) (int, error) {
	if err := conn.SetReadDeadline(l.options.Clock.Now().Add(requestTimeout)); err != nil {
		return 0, err
	}
	return conn.Read(b.bytes)
}

// judge parses what has been read and judges it. A request with an incomplete head, or with a body of
// unknown length, is left to the server.
func (l *Listener) judge(b *buffer, read int) (refusal *Refusal, rest int64) {
	h, rest := b.parse(read)
	if h == nil {
		return nil, 0
	}
	return l.options.Judge(h), rest
}

// refuse writes the refusal and reads the rest of the body.
func (l *Listener) refuse(conn net.Conn, b *buffer, refusal *Refusal, rest int64) {
	defer conn.Close()
	if _, err := conn.Write(refusal.response()); err != nil {
		return // the client has disconnected; there is nothing to report
	}
	if rest <= 0 {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			return
		}
	}
	if err := conn.SetReadDeadline(l.options.Clock.Now().Add(drainTimeout)); err != nil {
		return
	}
	for rest > 0 {
		n, err := conn.Read(b.bytes)
		if err != nil {
			return
		}
		rest -= int64(n)
	}
}

// response returns the complete HTTP response.
func (r *Refusal) response() []byte {
	response := make([]byte, 0, 256)
	response = append(response, "HTTP/1.1 "...)
	response = strconv.AppendInt(response, int64(r.Status), 10)
	response = append(response, ' ')
	response = append(response, http.StatusText(r.Status)...)
	response = append(response, "\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: "...)
	response = strconv.AppendFloat(response, r.Retry.Seconds(), 'f', 3, 64)
	response = append(response, "\r\nContent-Length: "...)
	response = strconv.AppendInt(response, int64(len(r.Reason)), 10)
	response = append(response, "\r\n\r\n"...)
	return append(response, r.Reason...)
}

// prefixedConn is a connection whose first bytes have been read already.
type prefixedConn struct {
	forwarder.Wrapped
	prefix []byte
}

// Read returns the bytes that were read before, then those of the connection.
func (b *prefixedConn) Read(into []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.Conn.Read(into)
	}
	n := copy(into, b.prefix)
	b.prefix = b.prefix[n:]
	return n, nil
}

// HasUnread reports whether there are bytes that were read before.
func (b *prefixedConn) HasUnread() bool {
	return len(b.prefix) > 0
}
