package passer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

func TestRequestsArePassedOnAsTheyCame(t *testing.T) {
	b := newBed(t)
	seen := make(chan *http.Request, 1)
	id := b.endpoint(func(conn net.Conn, request *http.Request) {
		seen <- request
		reply(conn, request, http.StatusCreated, "booked")
	})
	response := b.ask("POST", "/book/a//b%2Fc?x=1&y", "the body", deadlineHeader, "4000", "X-Own", "kept", tenantHeader, "forged")
	body, err := text(response)
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

func TestRequestsThatAreNotPassedOn(t *testing.T) {
	tests := map[string]struct {
		path   string
		key    string
		body   string
		spoil  func(b *bed)
		status int
	}{
		"no route":          {path: "/nowhere/", status: http.StatusNotFound},
		"no key":            {path: "/draft/", key: "none", status: http.StatusUnauthorized},
		"no key, anonymous": {path: "/read/", key: "none", status: http.StatusOK},
		"too large":         {path: "/book/", body: strings.Repeat("x", 1<<20+1), status: http.StatusRequestEntityTooLarge},
		"no configuration":  {path: "/book/", spoil: func(b *bed) { b.news.table.Store(nil) }, status: http.StatusServiceUnavailable},
		"share used up":     {path: "/book/", status: http.StatusOK}, // plain services know no shares
		"crashes what runs it": {path: "/book/", status: http.StatusServiceUnavailable, spoil: func(b *bed) {
			b.news.quarantined[fingerprint(&request{
				http: &http.Request{Host: "h"}, target: "/book/", in: forwarder.Incoming{Key: "key"}, body: []byte{},
			})] = true
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.endpoint(answering("served"))
			if test.spoil != nil {
				test.spoil(b)
			}
			key := test.key
			if key == "" {
				key = "key"
			}
			response := b.ask("POST", test.path, test.body, "Authorization", "Bearer "+key)
			_, err := text(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

// Symptom: a booking is confirmed twice, or a caller is told "not run" of one that
// ran. Sequence: an endpoint fails in each way that there is, with a second one
// at hand.
func TestWhatMustNotRepeatIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		serve  func(net.Conn, *http.Request)
		status int
	}{
		"it crashes":        {serve: cut, status: http.StatusBadGateway},
		"it sends nonsense": {serve: func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, "nonsense\r\n\r\n") }, status: http.StatusBadGateway},
		"it breaks off": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: 9\r\n\r\npart", stampHeader)
			conn.Close()
		}, status: http.StatusBadGateway},
		"it fails": {serve: func(conn net.Conn, r *http.Request) { reply(conn, r, 500, "no") }, status: http.StatusInternalServerError},
		"a success unsigned": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, status: http.StatusBadGateway},
		"it did not run it": {serve: shed, status: http.StatusServiceUnavailable},
		"another has its place": {serve: func(conn net.Conn, _ *http.Request) {
			fmt.Fprint(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			var sent atomic.Int64
			count := func(conn net.Conn, request *http.Request) {
				sent.Add(1)
				test.serve(conn, request)
			}
			b.endpoint(count)
			b.endpoint(count)
			response := b.ask("POST", "/book/", "bid")
			_, err := text(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.EqualValues(t, 1, sent.Load())
			if response.StatusCode == http.StatusServiceUnavailable {
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
			if test.status != http.StatusInternalServerError {
				require.Empty(t, response.Header.Get(stampHeader), "the router's own failure bears no signature")
			}
		})
	}
}

func TestWhatMayRepeatGoesToAnother(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *http.Request){
		"it crashes":        cut,
		"it fails":          func(conn net.Conn, r *http.Request) { reply(conn, r, 500, "no") },
		"it did not run it": shed,
		"it breaks off": func(conn net.Conn, _ *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: 9\r\n\r\npart", stampHeader)
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.endpoint(serve)
			b.endpoint(answering("served"))
			for range 4 {
				body, err := b.fetch("GET", "/read/", "")
				require.NoError(t, err)
				require.Equal(t, "served", body)
			}
		})
	}
}

// Symptom: endpoints that fail get twice the load. Cause: every failure was tried
// again, whatever the fleet's bound.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	b := newBed(t)
	var sent atomic.Int64
	for range 2 {
		b.endpoint(func(conn net.Conn, request *http.Request) {
			sent.Add(1)
			reply(conn, request, 500, "no")
		})
	}
	for range 100 {
		response := b.ask("GET", "/read/", "")
		_, err := text(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, response.StatusCode)
		require.Equal(t, "stamp", response.Header.Get(stampHeader), "the endpoint's own failure is passed on")
	}
	require.LessOrEqual(t, sent.Load(), int64(100+100*0.2+20))
	require.Greater(t, sent.Load(), int64(110))
}

// Symptom: a request is refused as not run and runs all the same. Cause: an
// endpoint that cannot be reached was taken for one that refused.
func TestUnreachableEndpointsAreNotRun(t *testing.T) {
	b := newBed(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.endpoint(answering("never"))
	b.balance = nil
	listener.Close()
	empty := newBed(t)
	response := empty.ask("POST", "/book/", "bid")
	_, err = text(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestTimeoutHasItsFinalAnswer(t *testing.T) {
	b := newBed(t)
	closed := make(chan struct{})
	b.endpoint(func(conn net.Conn, _ *http.Request) {
		io.Copy(io.Discard, conn) //nolint:errcheck // it waits for the end
		close(closed)
	})
	begin := time.Now()
	response := b.ask("POST", "/brief/", "")
	_, err := text(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode, "it may have run: nothing is promised")
	require.Less(t, time.Since(begin), 5*time.Second)
	<-closed
}

// Symptom: endpoints work for clients that have left. Sequence: the client closes
// its connection while its request runs.
func TestClientThatLeavesEndsTheWork(t *testing.T) {
	for name, path := range map[string]string{"a call": "/read/", "a stream": "/draft/"} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			running, closed := make(chan struct{}), make(chan struct{})
			b.endpoint(func(conn net.Conn, request *http.Request) {
				if path == "/draft/" {
					beginStream(conn, request, 1, 1)
				}
				close(running)
				io.Copy(io.Discard, conn) //nolint:errcheck // it waits for the end
				close(closed)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-running
				cancel()
			}()
			response, err := b.try(ctx, "GET", path, "")
			if err == nil {
				_, err = text(response)
			}
			require.Error(t, err)
			<-closed
			require.Empty(t, b.news.crashes(), "nothing crashed")
		})
	}
}

// Symptom: endpoints get requests of clients that left seconds ago. Sequence: a
// connection waits to be accepted, its client sends, waits and leaves; then the
// request is read and passed on before the end is noticed.
func TestClientThatLeftBeforeItWasReadIsNotServed(t *testing.T) {
	b := newBed(t)
	var sent atomic.Int64
	b.endpoint(func(conn net.Conn, request *http.Request) {
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

	time.Sleep(20 * time.Millisecond) // the end stands behind the request, where nothing shows it
	served := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnContext: framer.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		defer close(served)
		b.passer.ServeHTTP(w, h)
	})}
	one := &single{conns: make(chan net.Conn, 1), listener: listener}
	one.conns <- accepted
	go server.Serve(one) //nolint:errcheck // it ends with the test
	defer func() { require.NoError(t, server.Close()) }()
	<-served
	require.Zero(t, sent.Load())
}

// single is a listener of connections that were accepted before.
type single struct {
	conns    chan net.Conn
	once     sync.Once
	listener net.Listener
}

func (s *single) Accept() (net.Conn, error) {
	conn, open := <-s.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (s *single) Close() error {
	s.once.Do(func() { close(s.conns) })
	return s.listener.Close()
}

func (s *single) Addr() net.Addr { return s.listener.Addr() }

// Symptom: one request takes down one endpoint after the other. Its crashes are
// told to the fleet under one name, whatever its id.
func TestCrashesAreReportedUnderOneName(t *testing.T) {
	b := newBed(t)
	b.endpoint(cut)
	b.endpoint(cut)
	for range 2 {
		_, err := b.fetch("POST", "/book/", "poison")
		require.NoError(t, err)
	}
	_, err := b.fetch("POST", "/book/", "another")
	require.NoError(t, err)
	crashes := b.news.crashes()
	require.Len(t, crashes, 3)
	require.Equal(t, crashes[0], crashes[1])
	require.NotEqual(t, crashes[0], crashes[2])
}

// Symptom: a flood uses up descriptors and memory. Sequence: clients come back on
// new connections and leave the old ones idle. In a crowd each is closed behind its
// answer, whatever that is.
func TestConnectionsAreClosedInACrowd(t *testing.T) {
	for name, crowded := range map[string]bool{"crowd": true, "room": false} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.passer.options.Crowded = func() bool { return crowded }
			refused := b.ask("POST", "/book/", "")
			_, err := text(refused)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
			require.Equal(t, crowded, refused.Close)
			b.endpoint(answering("served"))
			served := b.ask("POST", "/book/", "")
			_, err = text(served)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, served.StatusCode)
			require.Equal(t, crowded, served.Close)
		})
	}
}

func TestStoppingRouterServesAndCloses(t *testing.T) {
	b := newBed(t)
	b.endpoint(answering("served"))
	b.passer.Stop()
	response := b.ask("POST", "/book/", "")
	body, err := text(response)
	require.NoError(t, err)
	require.Equal(t, "served", body)
	require.True(t, response.Close)
	require.Eventually(t, func() bool { return b.passer.Running() == 0 }, patience, tick)
}

// The answer to a HEAD told that there is nothing, whatever its endpoint said.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		length int64
	}{
		"told":     {header: "Content-Length: 1234\r\n", length: 1234},
		"not told": {length: -1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.endpoint(func(conn net.Conn, _ *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: stamp\r\n%s\r\n", stampHeader, test.header)
			})
			for range 2 { // the second one shows that the connection is still good
				response := b.ask("HEAD", "/read/", "")
				response.Body.Close()
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, test.length, response.ContentLength)
			}
		})
	}
}
