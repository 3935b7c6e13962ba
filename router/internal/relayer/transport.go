package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/forwarder"
)

const (
	// endpointIdle is how long an idle connection to an endpoint is kept for reuse. It is short, so
	// that a router seldom writes to a connection that the endpoint is about to close, which cannot
	// be distinguished from a crash.
	endpointIdle = 5 * time.Second
	// endpointIdleConns is the maximum number of idle connections kept per endpoint.
	endpointIdleConns = 16
	// maxEndpointHeaders is the maximum size in bytes of the headers of an endpoint's answer.
	maxEndpointHeaders = 64 << 10
)

// errUnreachable is the kind of error of an attempt for which no connection was made, so that no byte
// of the request can have reached the endpoint.
var errUnreachable = merry.Sentinel("no connection to the endpoint")

// newTransport returns a transport for endpoints. With singleUse it is for non-repeatable requests and uses
// each connection for a single request: when a reused connection is closed while a request is sent,
// it is unknown whether the endpoint has read the request.
func newTransport(dialTimeout time.Duration, singleUse bool) *http.Transport {
	dial := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial.DialContext(ctx, network, address)
			if err != nil {
				return nil, merry.Errorf("%w: %w", errUnreachable, err)
			}
			return &revocable{Conn: conn}, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		IdleConnTimeout:        endpointIdle,
		MaxIdleConnsPerHost:    endpointIdleConns,
		MaxResponseHeaderBytes: maxEndpointHeaders,
	}
}

// revocable is a connection to an endpoint. The transport closes it when a request is given up; nothing of the request
// arrives after that.
//
// The system reports a reset only once. If the write of a long body gets it, reads end as at an ordinary close, and an
// answer without framing that was broken off would look whole: here reads fail, too.
type revocable struct {
	net.Conn
	writing sync.Mutex // held during a write; protects reset
	reset   bool       // a write has received a reset
}

// Write writes to the connection.
func (c *revocable) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// Read reads from the connection.
func (c *revocable) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// wasReset reports whether a write has received a reset. The endpoint has closed its side, and a write that
// is still blocked might not end by itself.
func (c *revocable) wasReset() bool {
	if !c.writing.TryLock() {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return true
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.reset
}

// Close closes the connection.
func (c *revocable) Close() error {
	forwarder.Withdraw(c.Conn)
	return c.Conn.Close()
}

// opaque hides the type of a body from the transport. If a connection breaks, the transport itself
// resends a request with an Idempotency-Key whose body it can rewind or whose body is empty, and a
// non-repeatable request would run twice unnoticed.
type opaque struct {
	io.Reader
}

// Close does nothing; the reader stays with its owner.
func (opaque) Close() error {
	return nil
}
