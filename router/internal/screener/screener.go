// Package screener refuses requests on connections that have just been made, before an
// HTTP server takes them.
//
// A flood's requests come on connections of their own. Taken by the server, each
// refusal costs two goroutines, their buffers and a dozen allocations; on a small instance
// 2,000 a second leave no processor time for the requests that are to be served. Closed
// unread instead, each comes back at once, so that more come than before. Here a request
// is read once into a shared buffer, judged, and answered.
//
// Invariants: a connection is answered here or handed on with every byte that was read
// of it, never both; what is answered here has not run and will not; a connection that
// says nothing is closed within a bounded time, and as many wait as are allowed.
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

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/forwarder"
)

const (
	// firstWait is how long a request may be on its way while connections are
	// screened. Clients give a router a second to read a request.
	firstWait = 500 * time.Millisecond
	// restWait is how long the rest of a refused request's body is read. A connection
	// that is closed with bytes unread is reset, and its client may lose the answer.
	restWait = 200 * time.Millisecond
	// acceptPause is the pause after an accept that failed for a cause that passes, such as
	// a lack of descriptors.
	acceptPause = 10 * time.Millisecond
	// turn is how many connections are taken before all other work has its turn. While
	// connections come faster than they are closed, accepting them never waits, and
	// nothing makes its goroutine yield: requests that have been read then stand
	// still, and endpoints get them after their clients have left. Too few of them let the
	// queue of new connections grow until all that are accepted have been left.
	turn = 32
	// handed is how many connections may wait for the server to take them.
	handed = 64
	// mostRoomLines bounds the lines a second on room that comes and goes.
	mostRoomLines = 2
)

// Refusal is the answer to a request that has not run and will not.
type Refusal struct {
	Status int
	Reason string
	Retry  time.Duration // when its client may come back
}

// Judge returns the refusal of a request of which the head has been read, nil if it is to
// be served. It must not read the body.
type Judge func(h *http.Request) *Refusal

// Options are what a Listener is made of.
type Options struct {
	// Room tells whether one more connection may be taken at all. It is asked once for each.
	Room func() bool
	// Screens tells whether requests on new connections are judged now.
	Screens func() bool
	Judge   Judge
	// Most is how many connections may be waited for at once.
	Most  int
	Clock clockwork.Clock
	Log   zerolog.Logger
}

// Listener is a net.Listener whose connections have passed.
type Listener struct {
	net.Listener
	options Options
	passed  chan net.Conn
	failed  chan error
	done    chan struct{}
	close   sync.Once
	waiting atomic.Int64
	full    bool // used by accept only, as is lines
	lines   damper.Damper
	unread  atomic.Uint64
	refused atomic.Uint64
	left    atomic.Uint64
}

// New screens what a listener accepts.
func New(inner net.Listener, options Options) *Listener {
	l := &Listener{
		Listener: inner, options: options,
		passed: make(chan net.Conn, handed), failed: make(chan error, 1), done: make(chan struct{}),
		lines: damper.Damper{LinesPerSecond: mostRoomLines},
	}
	go l.accept()
	return l
}

// Unread returns how many connections were closed unread, for want of room.
func (l *Listener) Unread() uint64 {
	return l.unread.Load()
}

// Refused returns how many requests were refused here.
func (l *Listener) Refused() uint64 {
	return l.refused.Load()
}

// Left returns how many connections were closed because their clients had left.
func (l *Listener) Left() uint64 {
	return l.left.Load()
}

// Waiting returns how many connections are waited for.
func (l *Listener) Waiting() int {
	return int(l.waiting.Load())
}

// Accept returns the next connection for the server.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.passed:
		return conn, nil
	case err := <-l.failed:
		return nil, err
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. Connections that the server has not taken are closed: their
// clients learn at once that nobody reads their requests.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.done) })
	err := l.Listener.Close()
	for {
		select {
		case conn := <-l.passed:
			conn.Close()
		default:
			return err
		}
	}
}

// accept takes connections until the listener ends.
func (l *Listener) accept() {
	b := newBuffer()
	for taken := 1; ; taken++ {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.take(conn, b)
		case passes(err):
			l.options.Log.Warn().Err(err).Msg("a connection was not accepted; the next one is tried")
			<-l.options.Clock.After(acceptPause)
		default:
			l.failed <- err
			return
		}
		if taken%turn == 0 {
			runtime.Gosched()
		}
	}
}

// passing are the errors of an accept that say nothing of the next one. A router whose
// listener ended with one of them would say that it is ready and take no connection more.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET}

func passes(err error) bool {
	return slices.ContainsFunc(passing, func(known error) bool { return errors.Is(err, known) })
}

// take decides what becomes of a connection.
func (l *Listener) take(conn net.Conn, b *buffer) {
	screens := l.options.Screens()
	switch {
	case !l.room(screens):
		l.unread.Add(1)
		conn.Close()
	case screens:
		l.screen(conn, b)
	default:
		l.pass(conn)
	}
}

// room tells whether there is room for one more connection.
func (l *Listener) room(screens bool) bool {
	room := l.options.Room() && (!screens || l.Waiting() < l.options.Most)
	if room == l.full && l.lines.Admit(l.options.Clock.Now(), l.options.Log) {
		l.full = !room
		l.options.Log.Warn().Bool("full", l.full).Msg("room for clients' connections changed")
	}
	return room
}

// screen refuses a request that has come whole at once, which takes no goroutine. All others are
// waited for.
func (l *Listener) screen(conn net.Conn, b *buffer) {
	read := readNow(conn, b.bytes)
	if read > 0 && forwarder.Ended(conn) {
		l.left.Add(1)
		conn.Close()
		return
	}
	if refusal := l.judgeWhole(b, read); refusal != nil {
		l.refused.Add(1)
		l.refuse(conn, b, refusal, 0)
		return
	}
	l.waiting.Add(1)
	go l.meet(conn, bytes.Clone(b.bytes[:read]))
}

// judgeWhole returns the refusal of a request that has come whole, nil of any other.
func (l *Listener) judgeWhole(b *buffer, read int) *Refusal {
	h, rest := b.parse(read)
	if h == nil || rest > 0 {
		return nil
	}
	return l.options.Judge(h)
}

// pass hands a connection to the server, or closes it if the listener has ended.
func (l *Listener) pass(conn net.Conn) {
	select {
	case <-l.done:
		conn.Close()
		return
	default:
	}
	select {
	case l.passed <- conn:
	case <-l.done:
		conn.Close()
	}
}

// meet reads a connection's first request, of which some may have been read, and has it judged.
func (l *Listener) meet(conn net.Conn, first []byte) {
	defer l.waiting.Add(-1)
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	read, err := copy(b.bytes, first), error(nil)
	if read == 0 {
		read, err = l.first(conn, b)
	}
	if read == 0 {
		if err != nil {
			l.options.Log.Debug().Err(err).Msg("a new connection said nothing; it is closed")
		}
		conn.Close()
		return
	}
	if forwarder.Ended(conn) {
		// It waited for longer than its client did. Behind the server it would cost as much
		// as one that is served.
		l.left.Add(1)
		conn.Close()
		return
	}
	refusal, rest := l.judge(b, read)
	if refusal == nil {
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			l.options.Log.Debug().Err(err).Msg("a new connection has ended; it is closed")
			conn.Close()
			return
		}
		l.pass(&begun{Conn: conn, first: bytes.Clone(b.bytes[:read])})
		return
	}
	l.refused.Add(1)
	l.refuse(conn, b, refusal, rest)
}

// first reads what has come of a request.
func (l *Listener) first(conn net.Conn, b *buffer) (int, error) {
	if err := conn.SetReadDeadline(l.options.Clock.Now().Add(firstWait)); err != nil {
		return 0, err
	}
	return conn.Read(b.bytes)
}

// judge parses what has been read. A request whose head is not whole yet, or whose body
// has no known length, is for the server.
func (l *Listener) judge(b *buffer, read int) (refusal *Refusal, rest int64) {
	h, rest := b.parse(read)
	if h == nil {
		return nil, 0
	}
	return l.options.Judge(h), rest
}

// refuse answers, and reads what is still to come of the body.
func (l *Listener) refuse(conn net.Conn, b *buffer, refusal *Refusal, rest int64) {
	defer conn.Close()
	if _, err := conn.Write(refusal.text()); err != nil {
		return // its client has left, and nobody hears of it
	}
	if rest <= 0 {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			return
		}
	}
	if err := conn.SetReadDeadline(l.options.Clock.Now().Add(restWait)); err != nil {
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

// text is the whole answer.
func (r *Refusal) text() []byte {
	text := make([]byte, 0, 256)
	text = append(text, "HTTP/1.1 "...)
	text = strconv.AppendInt(text, int64(r.Status), 10)
	text = append(text, ' ')
	text = append(text, http.StatusText(r.Status)...)
	text = append(text, "\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: "...)
	text = strconv.AppendFloat(text, r.Retry.Seconds(), 'f', 3, 64)
	text = append(text, "\r\nContent-Length: "...)
	text = strconv.AppendInt(text, int64(len(r.Reason)), 10)
	text = append(text, "\r\n\r\n"...)
	return append(text, r.Reason...)
}

// begun is a connection of which the begin has been read.
type begun struct {
	net.Conn
	first []byte
}

// Read returns what was read before, and then what comes.
func (b *begun) Read(into []byte) (int, error) {
	if len(b.first) == 0 {
		return b.Conn.Read(into)
	}
	n := copy(into, b.first)
	b.first = b.first[n:]
	return n, nil
}

// errNoSocket tells that a connection has no descriptor.
var errNoSocket = merry.Sentinel("the connection has no socket")

// SyscallConn gives access to the socket, which tells whether the client has left.
func (b *begun) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := b.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errNoSocket
}
