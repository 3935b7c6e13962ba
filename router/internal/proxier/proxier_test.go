package proxier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
)

// Guards against a request that is altered on its way: target, host, body and headers reach the endpoint
// unchanged, except for those that the router sets or removes.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	seen := make(chan *http.Request, 1)
	id := f.endpoint(func(conn net.Conn, request *http.Request) {
		seen <- request
		reply(conn, request, http.StatusCreated, "booked")
	})
	response := f.do("POST", "/book/a//b%2Fc?x=1&y", "the body", deadlineHeader, "4000", "X-Own", "kept", tenantHeader, "forged")
	body, err := readText(response)
	require.NoError(t, err)
	require.Equal(t, "booked", body)
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, "stamp", response.Header.Get(stampHeader))
	got := <-seen
	require.Equal(t, "/book/a//b%2Fc?x=1&y", got.RequestURI)
	require.Equal(t, "h", got.Host)
	sent, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "the body", string(sent))
	require.Equal(t, "kept", got.Header.Get("X-Own"))
	require.Equal(t, "club", got.Header.Get(tenantHeader))
	require.Equal(t, id, got.Header.Get(instanceHeader))
	require.Empty(t, got.Header.Get("Authorization"))
	left, err := strconv.Atoi(got.Header.Get(deadlineHeader))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 4000)
	require.Greater(t, left, 3000)
}

// Guards against requests that reach an endpoint although a rule, the key or the missing configuration
// forbids it, and against plain services being limited by shares.
func TestRequestsThatAreNotForwarded(t *testing.T) {
	tests := map[string]struct {
		path   string
		key    string
		body   string
		setUp  func(f *fixture)
		status int
	}{
		"no route":         {path: "/nowhere/", status: http.StatusNotFound},
		"unknown key":      {path: "/draft/", key: "none", status: http.StatusUnauthorized},
		"too large":        {path: "/book/", body: strings.Repeat("x", 1<<20+1), status: http.StatusRequestEntityTooLarge},
		"no configuration": {path: "/book/", setUp: func(f *fixture) { f.fleetState.table.Store(nil) }, status: http.StatusServiceUnavailable},
		"share used up":    {path: "/book/", status: http.StatusOK}, // plain services have no shares
		"crashes endpoints": {path: "/book/", status: http.StatusServiceUnavailable, setUp: func(f *fixture) {
			whole := fingerprint(&request{http: &http.Request{Host: "h"}, target: "/book/", in: forwarder.Incoming{Key: "key"}, body: []byte{}})
			f.crashes.SetQuarantines(time.Now(), []localizer.Quarantine{{Feature: localizer.Feature(whole), Left: time.Minute}})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(answerWith("served"))
			if test.setUp != nil {
				test.setUp(f)
			}
			key := test.key
			if key == "" {
				key = "key"
			}
			response := f.do("POST", test.path, test.body, "Authorization", "Bearer "+key)
			_, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

// Guards against a booking that is confirmed twice, and a client that gets the answer "not run" to a
// request that ran: an endpoint fails in each possible way while a second endpoint is available.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		serve  func(net.Conn, *http.Request)
		status int
	}{
		"it crashes":                 {serve: resetConn, status: http.StatusBadGateway},
		"it sends an invalid answer": {serve: func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, "nonsense\r\n\r\n") }, status: http.StatusBadGateway},
		"it truncates its answer": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: 9\r\n\r\npart", stampHeader)
			conn.Close()
		}, status: http.StatusBadGateway},
		"it answers with an error": {serve: func(conn net.Conn, r *http.Request) { reply(conn, r, 500, "no") }, status: http.StatusInternalServerError},
		"its answer has the status 000": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 000 None\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", stampHeader)
		}, status: http.StatusBadGateway},
		"its answer has the status 999": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 999 Beyond\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", stampHeader)
		}, status: http.StatusBadGateway},
		"its success is not signed": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, status: http.StatusBadGateway},
		"it declines": {serve: decline, status: http.StatusServiceUnavailable},
		"another instance has its address": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sent atomic.Int64
			count := func(conn net.Conn, request *http.Request) {
				sent.Add(1)
				test.serve(conn, request)
			}
			f.endpoint(count)
			f.endpoint(count)
			response := f.do("POST", "/book/", "bid")
			_, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.EqualValues(t, 1, sent.Load())
			if response.StatusCode == http.StatusServiceUnavailable {
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
			if test.status != http.StatusInternalServerError {
				require.Empty(t, response.Header.Get(stampHeader), "the router's own error is not signed")
			}
		})
	}
}

// Guards against a repeatable request that fails with its first endpoint while another one can serve it.
func TestRepeatableRequestIsRetriedElsewhere(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *http.Request){
		"it crashes":               resetConn,
		"it answers with an error": func(conn net.Conn, r *http.Request) { reply(conn, r, 500, "no") },
		"it declines":              decline,
		"it truncates its answer": func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: 9\r\n\r\npart", stampHeader)
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(serve)
			f.endpoint(answerWith("served"))
			for range 4 {
				body, err := f.fetch("GET", "/read/", "")
				require.NoError(t, err)
				require.Equal(t, "served", body)
			}
		})
	}
}

// Guards against failing endpoints that get twice the load because every failure is retried,
// beyond the fleet's retry budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int64
	for range 2 {
		f.endpoint(func(conn net.Conn, request *http.Request) {
			sent.Add(1)
			reply(conn, request, 500, "no")
		})
	}
	for range 100 {
		response := f.do("GET", "/read/", "")
		_, err := readText(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, response.StatusCode)
		require.Equal(t, "stamp", response.Header.Get(stampHeader), "the endpoint's own error is relayed")
	}
	require.LessOrEqual(t, sent.Load(), int64(100+100*0.2+20))
	require.Greater(t, sent.Load(), int64(110))
}

// Guards against a request that is refused as not run and still runs: an endpoint that cannot be
// reached must not count as one that declined the request.
func TestRequestWithoutEndpointIsRefusedAsNotRun(t *testing.T) {
	tests := map[string]func(f *fixture){
		"there is none": func(*fixture) {},
		"it does not listen": func(f *fixture) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(f.t, err)
			require.NoError(f.t, listener.Close())
			f.add(netip.MustParseAddrPort(listener.Addr().String()))
		},
		"it has left": func(f *fixture) { f.remove(f.endpoint(answerWith("never"))) },
	}
	for name, setUp := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			setUp(f)
			response := f.do("POST", "/book/", "bid")
			_, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		})
	}
}

// Guards against a request without a final answer, and against an attempt that outlives it, when the
// endpoint does not answer within the timeout of the route.
func TestTimeoutIsAnsweredWithGatewayTimeout(t *testing.T) {
	f := newFixture(t)
	closed := make(chan struct{})
	f.endpoint(func(conn net.Conn, _ *http.Request) {
		io.Copy(io.Discard, conn) //nolint:errcheck // blocks until the connection ends
		close(closed)
	})
	begin := time.Now()
	response := f.do("POST", "/brief/", "")
	_, err := readText(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode, "the request may have run, so it is not answered as not run")
	require.Less(t, time.Since(begin), 5*time.Second)
	<-closed
}

// Guards against endpoints that run requests of clients that have disconnected: the client closes its
// connection while its request runs.
func TestClientDisconnectEndsTheAttempt(t *testing.T) {
	for name, path := range map[string]string{"a call": "/read/", "a stream": "/draft/"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			running, closed := make(chan struct{}), make(chan struct{})
			f.endpoint(func(conn net.Conn, request *http.Request) {
				if path == "/draft/" {
					beginStream(conn, request, 1, 1)
				}
				close(running)
				io.Copy(io.Discard, conn) //nolint:errcheck // blocks until the connection ends
				close(closed)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-running
				cancel()
			}()
			response, err := f.send(ctx, "GET", path, "")
			if err == nil {
				_, err = readText(response)
			}
			require.Error(t, err)
			<-closed
			broken, _ := f.crashes.Lifetimes()
			require.Zero(t, broken, "a disconnect is not a crash")
		})
	}
}

// Guards against endpoints that get requests of clients that disconnected seconds ago: a connection
// waits in the accept queue while its client sends, waits and disconnects; then the request was
// read and forwarded before the server noticed the end.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int64
	f.endpoint(func(conn net.Conn, request *http.Request) {
		sent.Add(1)
		reply(conn, request, http.StatusOK, "")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	fmt.Fprintf(conn, "GET /read/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\n\r\n", idHeader)
	conn.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)

	time.Sleep(20 * time.Millisecond) // lets the end of the connection arrive behind the request, where the server does not notice it
	served := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnContext: framer.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		defer close(served)
		f.proxier.ServeHTTP(w, h)
	})}
	accepting := &acceptedListener{conns: make(chan net.Conn, 1), listener: listener}
	accepting.conns <- accepted
	go server.Serve(accepting) //nolint:errcheck // it ends with the test
	defer func() { require.NoError(t, server.Close()) }()
	<-served
	require.Zero(t, sent.Load())
}

// acceptedListener is a listener that returns connections accepted before.
type acceptedListener struct {
	conns    chan net.Conn
	once     sync.Once
	listener net.Listener
}

func (s *acceptedListener) Accept() (net.Conn, error) {
	conn, open := <-s.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (s *acceptedListener) Close() error {
	s.once.Do(func() { close(s.conns) })
	return s.listener.Close()
}

func (s *acceptedListener) Addr() net.Addr { return s.listener.Addr() }

// Guards against a flood that uses up descriptors and memory: clients retry on new connections and
// leave the old ones idle. When too many clients are connected, each connection is closed after its
// answer, whatever the answer is.
func TestConnectionsAreClosedWhenCrowded(t *testing.T) {
	for name, crowded := range map[string]bool{"crowd": true, "room": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.proxier.options.DisablesKeepAlive = func() bool { return crowded }
			refused := f.do("POST", "/book/", "")
			_, err := readText(refused)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
			require.Equal(t, crowded, refused.Close)
			f.endpoint(answerWith("served"))
			served := f.do("POST", "/book/", "")
			_, err = readText(served)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, served.StatusCode)
			require.Equal(t, crowded, served.Close)
		})
	}
}

// Guards against requests that are lost during a planned stop: they are served, and their connections closed.
func TestStoppingRouterServesAndCloses(t *testing.T) {
	f := newFixture(t)
	f.endpoint(answerWith("served"))
	f.proxier.Stop()
	response := f.do("POST", "/book/", "")
	body, err := readText(response)
	require.NoError(t, err)
	require.Equal(t, "served", body)
	require.True(t, response.Close)
	require.Eventually(t, func() bool { return f.proxier.Running() == 0 }, waitTimeout, pollInterval)
}

// Guards against an answer to HEAD that claims an empty body, whatever length its endpoint stated.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		length int64
	}{
		"told":     {header: "Content-Length: 1234\r\n", length: 1234},
		"not told": {length: -1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(func(conn net.Conn, _ *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\n%s\r\n", stampHeader, test.header)
			})
			for range 2 { // the second one shows that the connection can be reused
				response := f.do("HEAD", "/read/", "")
				response.Body.Close()
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, test.length, response.ContentLength)
			}
		})
	}
}
