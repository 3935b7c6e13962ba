// Package dialer provides the connections between shallotkeel's own processes: unencrypted
// HTTP/2 on persistent connections, authenticated by a shared secret, with all bytes counted.
//
// Invariants:
//   - a call without the secret reaches no handler;
//   - a call is sent at most once; only the caller decides on retries;
//   - the secret is compared in constant time;
//   - head and body of an answer are bounded;
//   - counters count the bytes on the wire, including framing, so that control traffic is
//     measured rather than estimated.
package dialer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of control connections.
const (
	DialTimeout   = 500 * time.Millisecond
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	pingAfter     = 2 * time.Second
	pingTimeout   = 1 * time.Second
	// minSilence is how long a call must have waited before it closes a silent connection: a peer that lags answers
	// within it, and the calls beside it would end with the connection.
	minSilence        = 600 * time.Millisecond
	maxControlHeaders = 16 << 10
	// maxAnswerBytes bounds the body of an answer, which its reader holds in memory. The longest answers
	// contain a configuration, whose command is bounded by 4 MB, beside the lists of endpoints.
	maxAnswerBytes = 32 << 20
)

// Counter counts the bytes of a set of connections in both directions.
type Counter struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Client returns an HTTP client for calls to other processes of the fleet. It detects an
// unresponsive peer by pings on the persistent connection, because a network partition causes no
// reset and the next call would hang. A call that times out closes its connection if that is silent.
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
			return &countingConn{Conn: conn, counter: counter}, nil
		},
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxControlHeaders,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	return &http.Client{Transport: &authenticator{secret: "Bearer " + secret, next: transport}}
}

// authenticator adds the shared secret to every call. It omits headers that cost bytes and have no
// use between shallotkeel's own processes.
type authenticator struct {
	secret string
	next   http.RoundTripper
}

func (s *authenticator) RoundTrip(r *http.Request) (*http.Response, error) {
	var used usedConn
	authenticated := r.Clone(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: used.note}))
	authenticated.Header.Set("Authorization", s.secret)
	authenticated.Header.Set("User-Agent", "")
	authenticated.Header.Set("Accept-Encoding", "identity")
	// Without GetBody the transport does not retry a call that a stopping peer did not process.
	// It would start the retry while the first attempt may still be reading the body.
	authenticated.GetBody = nil
	answer, err := s.next.RoundTrip(authenticated)
	if errors.Is(err, context.DeadlineExceeded) {
		used.closeIfSilent()
	}
	if err != nil {
		return nil, err
	}
	answer.Body = http.MaxBytesReader(nil, answer.Body, maxAnswerBytes)
	return answer, nil
}

// usedConn is the connection that a call was sent on. A zero usedConn is none.
type usedConn struct {
	mutex    sync.Mutex
	conn     *countingConn
	received uint64 // bytes before the call
	at       time.Time
}

// note implements httptrace.ClientTrace.GotConn.
func (u *usedConn) note(info httptrace.GotConnInfo) {
	conn, counted := info.Conn.(*countingConn)
	if !counted {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.conn, u.received, u.at = conn, conn.received.Load(), time.Now()
}

// closeIfSilent closes the connection if nothing has arrived on it since the call was sent, minSilence ago or more. A
// connection that went silent without a reset would take each further call until a ping on it has failed, for three
// seconds in which a new connection may work.
func (u *usedConn) closeIfSilent() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.conn != nil && u.conn.received.Load() == u.received && time.Since(u.at) >= minSilence {
		u.conn.Close()
	}
}

// Server returns a server for control calls. Only calls with the secret reach its handler.
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

// Guard passes on only requests that carry the secret as bearer token, and answers others with
// status 401.
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

// Listener returns a listener that counts the bytes of the connections it accepts.
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
	return &countingConn{Conn: conn, counter: l.counter}, nil
}

// countingConn is a connection that adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	counter  *Counter
	received atomic.Uint64 // bytes read on this connection
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.Received.Add(uint64(n))
	c.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.Sent.Add(uint64(n))
	return n, err
}
