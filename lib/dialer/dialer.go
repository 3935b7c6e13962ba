// Package dialer makes the connections between shallotkeel's own processes:
// unencrypted HTTP/2 on kept connections, authenticated by a shared secret,
// with every byte counted.
//
// Invariants: a call without the secret reaches no handler; a call is begun once, and
// whoever makes it decides whether it is made again; the secret is compared in constant
// time; counters see the bytes on the wire, framing
// included, so that control traffic is measured and not estimated.
package dialer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of control connections.
const (
	DialTimeout       = 500 * time.Millisecond
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	pingAfter         = 2 * time.Second
	pingTimeout       = 1 * time.Second
	maxControlHeaders = 16 << 10
)

// Counter counts the bytes of a set of connections, both directions.
type Counter struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Client returns an HTTP client for calls to other processes of the fleet.
// A peer that stops answering is noticed by pings on the kept connection,
// because a cut network sends no reset and the next call would hang.
func Client(secret string, counter *Counter) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dial := net.Dialer{Timeout: DialTimeout}
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &counted{Conn: conn, counter: counter}, nil
		},
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	return &http.Client{Transport: &signer{secret: "Bearer " + secret, next: transport}}
}

// signer adds the shared secret to every call. It leaves out headers that
// cost bytes and carry nothing between our own processes.
type signer struct {
	secret string
	next   http.RoundTripper
}

func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	signed.Header.Set("Authorization", s.secret)
	signed.Header.Set("User-Agent", "")
	signed.Header.Set("Accept-Encoding", "identity")
	// Without a way to read the body anew the transport does not repeat what a peer that stops
	// did not take. It would begin again while the first try may still read the body.
	signed.GetBody = nil
	return s.next.RoundTrip(signed)
}

// Server returns a server for control calls whose handler only sees callers
// that know the secret.
func Server(secret string, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           Guard(secret, handler),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxControlHeaders,
	}
}

// Guard lets only requests through that carry the secret as bearer token.
func Guard(secret string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte("Bearer " + secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "set the fleet's secret in the settings of both processes", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Listener counts the bytes of the connections that it accepts.
func Listener(inner net.Listener, counter *Counter) net.Listener {
	return &listener{Listener: inner, counter: counter}
}

type listener struct {
	net.Listener
	counter *Counter
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{Conn: conn, counter: l.counter}, nil
}

type counted struct {
	net.Conn
	counter *Counter
}

func (c *counted) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.Received.Add(uint64(n))
	return n, err
}

func (c *counted) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.Sent.Add(uint64(n))
	return n, err
}
