// Package drainer closes the client connections of an HTTP/1 server in a planned stop.
//
// http.Server.Shutdown drops requests: one whose head is read after the shutdown has begun is closed
// without an answer, and so is one that has arrived on a kept connection and waits to be read. On a
// busy machine connections wait for a second to be read. A Drainer closes only connections on which
// nothing has arrived; on all others the server reads the request and its handler answers it.
//
// Invariants: once the drain has begun, a connection without a request in progress is closed as soon
// as nothing can be read from it; a connection on which anything has arrived is left to the server.
package drainer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/forwarder"
)

// newConnectionTime is how long, after the listener has been closed, the first request of an accepted
// connection is awaited.
const newConnectionTime = 500 * time.Millisecond

// Drainer tracks the client connections of a server. The server must accept them from Listener, and
// report their states to SetState.
type Drainer struct {
	draining  atomic.Bool
	endingNew atomic.Bool

	mutex     sync.Mutex
	conns     map[*conn]struct{}
	accepting bool
	done      chan struct{} // closed once the drain has begun and no connection is left
	finished  bool          // done is closed
}

// New returns a Drainer.
func New() *Drainer {
	return &Drainer{conns: make(map[*conn]struct{}), done: make(chan struct{})}
}

// Listener returns a listener whose connections the Drainer tracks.
func (d *Drainer) Listener(inner net.Listener) net.Listener {
	return d.LimitedListener(inner, 0)
}

// LimitedListener is like Listener, and accepts at most limit connections at a time; 0 is no limit.
func (d *Drainer) LimitedListener(inner net.Listener, limit int) net.Listener {
	d.accepting = true
	l := &listener{Listener: inner, drainer: d, closed: make(chan struct{})}
	if limit > 0 {
		l.slots = make(chan struct{}, limit)
	}
	return l
}

// Begin begins the drain: connections on which no request has arrived are closed from now on, except
// those that have never had a request. The listener is to be closed as well.
func (d *Drainer) Begin() {
	d.mutex.Lock()
	d.draining.Store(true)
	d.finish()
	d.mutex.Unlock()
	d.endQuiet()
}

// EndNew closes the connections that have never had a request, too.
func (d *Drainer) EndNew() {
	d.endingNew.Store(true)
	d.endQuiet()
}

// Done returns a channel that is closed once the drain has begun, the listener is closed and no
// connection is left.
func (d *Drainer) Done() <-chan struct{} {
	return d.done
}

// Wait waits until no connection is left, after Begin and the close of the listener. It returns false if
// over is received from or closed before that.
func Wait[T any](d *Drainer, clock clockwork.Clock, over <-chan T) bool {
	endNew := clock.After(newConnectionTime)
	for {
		select {
		case <-d.Done():
			return true
		case <-endNew:
			d.EndNew()
		case <-over:
			return false
		}
	}
}

// Interrupt ends the reads that wait for clients. Answers can still be written.
func (d *Drainer) Interrupt() {
	for _, c := range d.open() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails if the connection has just been closed
	}
}

// SetState records the state of a connection, as http.Server.ConnState reports it.
func (d *Drainer) SetState(cn net.Conn, state http.ConnState) {
	c, ok := cn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(busy)
	case http.StateIdle:
		c.setPhase(kept)
	}
}

// open returns the open connections.
func (d *Drainer) open() []*conn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	conns := make([]*conn, 0, len(d.conns))
	for c := range d.conns {
		conns = append(conns, c)
	}
	return conns
}

// endQuiet ends the reads of connections on which nothing has arrived.
func (d *Drainer) endQuiet() {
	for _, c := range d.open() {
		c.endIfQuiet()
	}
}

// ends reports whether connections in a phase are closed if nothing has arrived on them.
func (d *Drainer) ends(p phase) bool {
	return p == kept && d.draining.Load() || p == fresh && d.endingNew.Load()
}

func (d *Drainer) add(c *conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.conns[c] = struct{}{}
}

func (d *Drainer) remove(c *conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.conns, c)
	d.finish()
}

func (d *Drainer) stopAccepting() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.accepting = false
	d.finish()
}

// finish closes done once the drain is complete. The mutex must be held.
func (d *Drainer) finish() {
	if !d.draining.Load() || d.accepting || len(d.conns) > 0 || d.finished {
		return
	}
	d.finished = true
	close(d.done)
}

// listener accepts connections and adds them to a Drainer.
type listener struct {
	net.Listener
	drainer   *Drainer
	slots     chan struct{} // holds a value for each open connection; nil if there is no limit
	closed    chan struct{}
	closeOnce sync.Once
}

// acquire waits for a slot. It returns false if the listener is closed.
func (l *listener) acquire() bool {
	if l.slots == nil {
		return true
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.closed:
		return false
	}
}

func (l *listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// Close closes the listener, and ends an Accept that waits for a slot.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		l.drainer.stopAccepting()
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		l.release()
		if temporary := net.Error(nil); !errors.As(err, &temporary) || !temporary.Temporary() { //nolint:staticcheck // the server decides by it, too
			l.drainer.stopAccepting()
		}
		return nil, err
	}
	c := &conn{Wrapped: forwarder.Wrapped{Conn: inner}, drainer: l.drainer, release: sync.OnceFunc(l.release)}
	if begun, ok := inner.(interface{ HasUnread() bool }); ok && begun.HasUnread() {
		c.phase = busy
	}
	l.drainer.add(c)
	return c, nil
}

// phase is what a connection is used for.
type phase uint8

const (
	fresh phase = iota // accepted, and nothing read from it yet
	busy               // a request is being read or answered
	kept               // open for another request
)

// conn is a client connection.
type conn struct {
	forwarder.Wrapped
	drainer *Drainer
	release func()

	mutex   sync.Mutex
	phase   phase
	reading bool // the server waits in Read
	ended   bool // nothing has arrived, and the server's reads end
}

// Read reads from the connection. It reports the end of the connection if the connection is to be
// closed and nothing has arrived on it.
func (c *conn) Read(into []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(into)
	c.endRead(n)
	return n, err
}

// beginRead reports whether the server may read from the connection.
func (c *conn) beginRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.drainer.ends(c.phase) && !forwarder.HasArrived(c.Conn) {
		c.ended = true
	}
	c.reading = !c.ended
	return c.reading
}

// endRead records that n bytes have been read. Bytes that were read while the connection was being
// closed may be a request, so that the connection stays open.
func (c *conn) endRead(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	if n == 0 {
		return
	}
	c.phase = busy
	if c.ended {
		c.ended = false
		_ = c.SetReadDeadline(time.Time{}) // it fails if the connection has just been closed
	}
}

// endIfQuiet ends the server's read if the connection is to be closed and nothing has arrived on it. If
// the server is not reading, its next Read decides.
func (c *conn) endIfQuiet() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.reading || !c.drainer.ends(c.phase) || forwarder.HasArrived(c.Conn) {
		return
	}
	c.ended = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails if the connection has just been closed
}

func (c *conn) setPhase(p phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = p
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.drainer.remove(c)
	defer c.release()
	return c.Conn.Close()
}
