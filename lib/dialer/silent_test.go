package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay passes connections on to a server. Those that are open when it is silenced stay open and carry nothing more.
type relay struct {
	listener net.Listener
	server   string
	silenced atomic.Pointer[chan struct{}] // of the current connections; closed when they are silenced
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &relay{listener: listener, server: server}
	r.reset()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r
}

func (r *relay) reset() {
	silenced := make(chan struct{})
	if before := r.silenced.Swap(&silenced); before != nil {
		close(*before)
	}
}

func (r *relay) pass(conn net.Conn) {
	silenced := *r.silenced.Load()
	other, err := net.Dial("tcp", r.server)
	if err != nil {
		conn.Close()
		return
	}
	copyUntil := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 4<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-silenced:
				continue
			default:
			}
			if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
				return
			}
		}
	}
	go copyUntil(other, conn)
	copyUntil(conn, other)
}

// Guards against a router that hears no keeper for seconds although new connections work: its connections went silent
// without a reset, and each call is sent on the same one until a ping on it has failed.
func TestCallAfterATimeoutUsesANewConnection(t *testing.T) {
	server := serve(t, "fleet", &Counter{})
	r := newRelay(t, server[len("http://"):])
	client := Client("fleet", &Counter{})
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listener.Addr().String(), nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	require.NoError(t, call(10*time.Second))
	r.reset()
	require.Error(t, call(minSilence/4))
	require.Error(t, call(minSilence/4), "a peer that lags keeps its connection")
	require.Error(t, call(minSilence+minSilence/4))
	require.NoError(t, call(pingTimeout), "before a ping has failed")
}

// Guards against a call that takes long and ends the calls beside it on the same connection.
func TestTimeoutLeavesAConnectionThatCarriesOtherCalls(t *testing.T) {
	held, answered := make(chan struct{}), make(chan struct{})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var accepted atomic.Int64
	server := Server("fleet", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			close(held)
			<-r.Context().Done()
		case "/beside":
			<-answered
		}
	}))
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted.Add(1)
		}
	}
	go func() { _ = server.Serve(inner) }()
	t.Cleanup(func() { _ = server.Close() })
	client := Client("fleet", &Counter{})
	get := func(ctx context.Context, path string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inner.Addr().String()+path, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	require.NoError(t, get(t.Context(), "/"))
	beside, slow := make(chan error, 1), make(chan error, 1)
	go func() { beside <- get(t.Context(), "/beside") }()
	ctx, cancel := context.WithTimeout(t.Context(), minSilence+minSilence/4)
	defer cancel()
	go func() { slow <- get(ctx, "/slow") }()
	<-held
	require.NoError(t, get(t.Context(), "/"), "an answer beside the slow call")
	require.Error(t, <-slow)
	close(answered)
	require.NoError(t, <-beside)
	require.EqualValues(t, 1, accepted.Load())
}
