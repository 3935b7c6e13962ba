package passer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/platform"
	"shallotkeel.example/router/internal/recaller"
)

const (
	idHeader       = "X-Shallotkeel-Request-Id"
	stampHeader    = "X-Shallotkeel-Response-Stamp"
	notRunHeader   = "X-Shallotkeel-Not-Executed"
	deadlineHeader = "X-Shallotkeel-Deadline-Ms"
	tenantHeader   = "X-Shallotkeel-Tenant"
	instanceHeader = "X-Shallotkeel-Expect-Instance"
)

// patience is how long a condition may take to come true before a test fails, and
// tick how often it is looked at; no test passes by waiting.
const (
	patience = 10 * time.Second
	tick     = time.Millisecond
)

// stub is the fleet's news as a test sets it.
type stub struct {
	begun       chan struct{}
	table       atomic.Pointer[resolver.Table]
	mutex       sync.Mutex
	crashed     []uint64
	quarantined map[uint64]bool
}

func (s *stub) Table() *resolver.Table { return s.table.Load() }

func (s *stub) Begun() <-chan struct{} { return s.begun }

func (s *stub) Quarantined(digest uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.quarantined[digest]
}

func (s *stub) Crashed(digest uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashed = append(s.crashed, digest)
}

func (s *stub) crashes() []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]uint64(nil), s.crashed...)
}

// bed is a router's pipeline before endpoints that tests script.
type bed struct {
	t       *testing.T
	news    *stub
	passer  *Passer
	balance *balancer.Balancer
	shares  *apportioner.Apportioner
	server  *http.Server
	address string
	client  *http.Client
	next    int
}

var routes = []resolver.Route{
	{Name: "book", Prefix: "/book/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true},
	{Name: "bid", Prefix: "/bid/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true, Target: 150 * time.Millisecond},
	{Name: "read", Prefix: "/read/", Kind: resolver.Repeatable, Attempts: 2, Anonymous: true},
	{Name: "draft", Prefix: "/draft/", Kind: resolver.Stream, Attempts: 1},
	{Name: "list", Prefix: "/list/", Kind: resolver.Stream, Resumable: true, Attempts: 2},
	{Name: "brief", Prefix: "/brief/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true, Timeout: 80 * time.Millisecond},
}

func table(t *testing.T, version uint64) *resolver.Table {
	t.Helper()
	plan := resolver.Plan{
		Version: version, Services: []resolver.Service{{Name: "desk"}},
		Workspaces: []resolver.Workspace{{Name: "club", Keys: []string{"key"}}},
		Limits:     resolver.Limits{BodyBytes: 1 << 20},
	}
	for _, r := range routes {
		r.Host, r.Shares = "h", []resolver.Share{{Service: "desk", Weight: 1}}
		if r.Timeout == 0 {
			r.Timeout = 10 * time.Second
		}
		plan.Routes = append(plan.Routes, r)
	}
	compiled, err := resolver.Compile(plan)
	require.NoError(t, err)
	return compiled
}

// engineTable has one route to a service of engines.
func engineTable(t *testing.T) *resolver.Table {
	t.Helper()
	compiled, err := resolver.Compile(resolver.Plan{
		Version: 1, Services: []resolver.Service{{Name: "desk", Engine: &resolver.Engine{Slots: 4, Tokens: 1e6}}},
		Workspaces: []resolver.Workspace{{Name: "club", Keys: []string{"key"}}}, Limits: resolver.Limits{BodyBytes: 1 << 20},
		Routes: []resolver.Route{{
			Name: "draft", Host: "h", Prefix: "/draft/", Kind: resolver.Stream, Attempts: 1, Timeout: time.Minute,
			Shares: []resolver.Share{{Service: "desk", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	return compiled
}

func newBed(t *testing.T) *bed {
	t.Helper()
	return newBedAt(t, clockwork.NewRealClock())
}

// newBedAt returns a bed with a clock of the test.
func newBedAt(t *testing.T, clock clockwork.Clock) *bed {
	t.Helper()
	b := &bed{
		t: t, news: &stub{begun: make(chan struct{}), quarantined: make(map[uint64]bool)}, balance: &balancer.Balancer{}, shares: &apportioner.Apportioner{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	b.news.table.Store(table(t, 1))
	b.passer = New(Options{
		Dialect: platform.Dialect{}, News: b.news, Streams: recaller.New(recaller.Options{Clock: clock}), Balancer: b.balance, Shares: b.shares,
		Budget: &budgeter.Budgeter{Bound: budgeter.Bound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}},
		Client: &forwarder.Client{Clock: clock}, Clock: clock, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = listener.Addr().String()
	b.server = &http.Server{Handler: b.passer, ConnContext: framer.WithConn, ReadHeaderTimeout: time.Minute}
	go b.server.Serve(listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() { b.server.Close() })
	return b
}

// endpoint starts an endpoint with a script and lists it.
func (b *bed) endpoint(serve func(conn net.Conn, request *http.Request)) string {
	b.t.Helper()
	return b.add(b.listen(serve))
}

// add lists a new endpoint at an address.
func (b *bed) add(address netip.AddrPort) string {
	b.next++
	id := fmt.Sprint("i-", b.next)
	b.balance.Update(lister.Listing{ID: id, Service: "desk", State: lister.Ready, Slots: 6, Address: address, Version: "v1"})
	return id
}

// remove takes endpoints off the list.
func (b *bed) remove(ids ...string) {
	for _, id := range ids {
		b.balance.Update(lister.Listing{ID: id, Service: "desk", State: lister.Gone})
	}
}

// listen serves a script at an address that no list holds yet.
func (b *bed) listen(serve func(conn net.Conn, request *http.Request)) netip.AddrPort {
	b.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	b.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.converse(conn, serve)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// converse hands each request of a connection to a script, with its body read.
func (b *bed) converse(conn net.Conn, serve func(conn net.Conn, request *http.Request)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		serve(conn, request)
	}
}

// answering answers as a sound endpoint does.
func answering(body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		reply(conn, request, http.StatusOK, body)
	}
}

func reply(conn net.Conn, request *http.Request, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), idHeader, request.Header.Get(idHeader), stampHeader, len(body), body)
}

func shed(conn net.Conn, request *http.Request) {
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		idHeader, request.Header.Get(idHeader), notRunHeader)
}

// cut ends the connection as a crash does.
func cut(conn net.Conn, _ *http.Request) {
	conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it is a TCP connection
	conn.Close()
}

// shedding starts an endpoint that turns everything away, and counts what reaches it.
func (b *bed) shedding() (id string, arrivals *atomic.Int64) {
	arrivals = &atomic.Int64{}
	id = b.endpoint(func(conn net.Conn, request *http.Request) {
		arrivals.Add(1)
		shed(conn, request)
	})
	return id, arrivals
}

// beginStream sends a stream's head and events from one number up to another.
func beginStream(conn net.Conn, request *http.Request, from, to int) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		idHeader, request.Header.Get(idHeader), stampHeader)
	for i := from; i <= to; i++ {
		sendEvent(conn, i)
	}
}

func sendEvent(conn net.Conn, number int) {
	text := event(number)
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

func event(number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
}

func events1to(last int) string {
	var all strings.Builder
	for i := 1; i <= last; i++ {
		all.WriteString(event(i))
	}
	return all.String()
}

func endStream(conn net.Conn) {
	fmt.Fprint(conn, "0\r\n\r\n")
}

// ask sends a client's request.
func (b *bed) ask(method, path, body string, header ...string) *http.Response {
	b.t.Helper()
	response, err := b.try(b.t.Context(), method, path, body, header...)
	require.NoError(b.t, err)
	return response
}

func (b *bed) try(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	request.Header.Set(idHeader, fmt.Sprint("id-", time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return b.client.Do(request)
}

// fetch sends a client's request and reads the answer to its end.
func (b *bed) fetch(method, path, body string, header ...string) (string, error) {
	b.t.Helper()
	response := b.ask(method, path, body, header...)
	defer response.Body.Close()
	return text(response)
}

// text reads a response to its end.
func text(response *http.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
