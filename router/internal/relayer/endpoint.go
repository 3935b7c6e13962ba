package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// endpointIdle is how long a kept connection to an endpoint is reused. It is
	// short, so that a router seldom writes into a connection that the endpoint
	// is about to close, which looks like a crash.
	endpointIdle       = 5 * time.Second
	endpointIdleConns  = 16
	maxEndpointHeaders = 64 << 10
)

// errUnreachable is the kind of an attempt for which no connection was made, so
// that surely no byte of the request reached the endpoint.
var errUnreachable = merry.Sentinel("no connection to the endpoint")

// newTransport returns the transport of repeatable requests, or of requests
// that may not repeat. The latter use each connection once: when a kept
// connection closes under a request, nobody knows whether the endpoint read it.
func newTransport(dialTimeout time.Duration, once bool) *http.Transport {
	dial := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial.DialContext(ctx, network, address)
			if err != nil {
				return nil, merry.Errorf("%w: %w", errUnreachable, err)
			}
			return conn, nil
		},
		DisableKeepAlives:      once,
		DisableCompression:     true,
		IdleConnTimeout:        endpointIdle,
		MaxIdleConnsPerHost:    endpointIdleConns,
		MaxResponseHeaderBytes: maxEndpointHeaders,
	}
}

// opaque hides the kind of a body from the transport. For a body that it knows
// how to rewind, or that is empty, the transport sends requests with an
// Idempotency-Key a second time by itself when a connection breaks, and a
// request that may not repeat would run twice without anybody noticing.
type opaque struct {
	io.Reader
}

// Close leaves the reader to its owner.
func (opaque) Close() error {
	return nil
}
