package proxier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
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
	"shallotkeel.example/lib/localizer"
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

// waitTimeout is how long a condition may take to become true before a test fails, and
// pollInterval how often it is checked; no test passes by waiting.
const (
	waitTimeout  = 10 * time.Second
	pollInterval = time.Millisecond
)

// stubFleetState is a FleetState that tests set.
type stubFleetState struct {
	ready   chan struct{}
	table   atomic.Pointer[resolver.Table]
	listAge time.Duration
	// outOfTouch is set while the table may be older than the newest one.
	outOfTouch bool
}

func (s *stubFleetState) Current() bool { return !s.outOfTouch }

func (s *stubFleetState) Table() *resolver.Table { return s.table.Load() }

func (s *stubFleetState) Ready() <-chan struct{} { return s.ready }

func (s *stubFleetState) ListAge() time.Duration { return s.listAge }

// fixture is a proxier with its dependencies behind an HTTP server, in front of endpoints that tests script.
type fixture struct {
	t          *testing.T
	fleetState *stubFleetState
	crashes    *localizer.Observer
	proxier    *Proxier
	balancer   *balancer.Balancer
	shares     *apportioner.Apportioner
	server     *http.Server
	address    string
	client     *http.Client
	lastID     int
}

var routes = []resolver.Route{
	{Name: "book", Prefix: "/book/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true},
	{Name: "bid", Prefix: "/bid/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true, Target: 150 * time.Millisecond},
	{Name: "read", Prefix: "/read/", Kind: resolver.Repeatable, Attempts: 2, Anonymous: true},
	{Name: "draft", Prefix: "/draft/", Kind: resolver.Stream, Attempts: 1},
	{Name: "list", Prefix: "/list/", Kind: resolver.Stream, Resumable: true, Attempts: 2},
	{Name: "digest", Prefix: "/digest/", Kind: resolver.Stream, Resumable: true, Attempts: 3},
	{Name: "brief", Prefix: "/brief/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true, Timeout: 80 * time.Millisecond},
}

func newTable(t *testing.T, version uint64) *resolver.Table {
	t.Helper()
	return tableOf(t, version, routes)
}

// tableOf returns a table with routes to one plain service.
func tableOf(t *testing.T, version uint64, routes []resolver.Route) *resolver.Table {
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

// engineTable returns a table with one route to a service of engines.
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

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureAt(t, clockwork.NewRealClock())
}

// newFixtureAt returns a fixture that uses the test's clock.
func newFixtureAt(t *testing.T, clock clockwork.Clock) *fixture {
	t.Helper()
	f := &fixture{
		t: t, fleetState: &stubFleetState{ready: make(chan struct{})}, crashes: &localizer.Observer{}, balancer: &balancer.Balancer{}, shares: &apportioner.Apportioner{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	f.fleetState.table.Store(newTable(t, 1))
	f.proxier = New(Options{
		Dialect: platform.Dialect{}, FleetState: f.fleetState, Crashes: f.crashes, Streams: recaller.New(recaller.Options{Clock: clock}), Balancer: f.balancer, Shares: f.shares,
		Budget: &budgeter.Budgeter{Bound: budgeter.Bound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}},
		// The default timeout of dials is too short for connections within a busy machine.
		Client: &forwarder.Client{Clock: clock, DialTimeout: waitTimeout}, Clock: clock, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: f.proxier, ConnContext: framer.WithConn, ReadHeaderTimeout: time.Minute}
	go f.server.Serve(listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() { f.server.Close() })
	return f
}

// endpoint starts an endpoint that runs a script for each request, and lists it.
func (f *fixture) endpoint(serve func(conn net.Conn, request *http.Request)) string {
	f.t.Helper()
	return f.add(f.listen(serve))
}

// add lists a new endpoint at an address and returns its id.
func (f *fixture) add(address netip.AddrPort) string {
	f.lastID++
	id := fmt.Sprint("i-", f.lastID)
	f.balancer.Update(lister.Listing{ID: id, Service: "desk", State: lister.Ready, Slots: 6, Address: address, Version: "v1"})
	return id
}

// remove marks endpoints as gone.
func (f *fixture) remove(ids ...string) {
	for _, id := range ids {
		f.balancer.Update(lister.Listing{ID: id, Service: "desk", State: lister.Gone})
	}
}

// listen runs a script at an address that is not listed yet.
func (f *fixture) listen(serve func(conn net.Conn, request *http.Request)) netip.AddrPort {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, serve)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serveScript calls a script for each request of a connection, with the body already read.
func serveScript(conn net.Conn, serve func(conn net.Conn, request *http.Request)) {
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

// answerWith returns a script that answers as a healthy endpoint does.
func answerWith(body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		reply(conn, request, http.StatusOK, body)
	}
}

func reply(conn net.Conn, request *http.Request, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), idHeader, request.Header.Get(idHeader), stampHeader, len(body), body)
}

func decline(conn net.Conn, request *http.Request) {
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		idHeader, request.Header.Get(idHeader), notRunHeader)
}

// resetConn resets the connection, as after a crash.
func resetConn(conn net.Conn, _ *http.Request) {
	conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it is a TCP connection
	conn.Close()
}

// decliningEndpoint starts an endpoint that declines every request, and counts the requests.
func (f *fixture) decliningEndpoint() (id string, arrivals *atomic.Int64) {
	arrivals = &atomic.Int64{}
	id = f.endpoint(func(conn net.Conn, request *http.Request) {
		arrivals.Add(1)
		decline(conn, request)
	})
	return id, arrivals
}

// beginStream sends a stream's head and the events numbered from..to.
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

func eventsUpTo(last int) string {
	var all strings.Builder
	for i := 1; i <= last; i++ {
		all.WriteString(event(i))
	}
	return all.String()
}

func endStream(conn net.Conn) {
	fmt.Fprint(conn, "0\r\n\r\n")
}

// do sends a client's request and requires an answer.
func (f *fixture) do(method, path, body string, header ...string) *http.Response {
	f.t.Helper()
	response, err := f.send(f.t.Context(), method, path, body, header...)
	require.NoError(f.t, err)
	return response
}

func (f *fixture) send(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	request.Header.Set(idHeader, fmt.Sprint("id-", time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return f.client.Do(request)
}

// fetch sends a client's request and returns the body of the answer.
func (f *fixture) fetch(method, path, body string, header ...string) (string, error) {
	f.t.Helper()
	response := f.do(method, path, body, header...)
	defer response.Body.Close()
	return readText(response)
}

// readText returns the body of a response.
func readText(response *http.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
