package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
)

const waitTimeout = 10 * time.Second

// fakeKeeper serves a configuration with one workspace and one service, at revision 1.
type fakeKeeper struct {
	messenger.Keeping
}

func (fakeKeeper) Watch(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	if q.GetAfter() > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &messenger.WatchResponse{Revision: 1, Full: true, Objects: []*messenger.Object{
		{Kind: "workspace", Name: "club", Labels: map[string]string{"token": matcher.Digest("club-token")}},
		{Kind: "service", Name: "app", Labels: map[string]string{"type": "plain", "repeat": "safe"}},
	}}, nil
}

// startingKeeper is a keeper that has just started and has nothing to give, until it has caught up.
type startingKeeper struct {
	fakeKeeper
	caughtUp atomic.Bool
}

func (k *startingKeeper) Watch(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	if !k.caughtUp.Load() {
		return &messenger.WatchResponse{Stale: true}, nil
	}
	return k.fakeKeeper.Watch(ctx, q)
}

func (fakeKeeper) Status(context.Context, *messenger.KeeperStatusRequest) (*messenger.KeeperStatusResponse, error) {
	return &messenger.KeeperStatusResponse{Name: "keeper-1", Leader: "keeper-1", Quorum: true, Revision: 1}, nil
}

// freeAddress returns a local address with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// process is a running router with one endpoint, whose responses are blocked until
// releaseEndpoint.
type process struct {
	t       *testing.T
	base    string
	address string // of the endpoint
	release chan struct{}
	once    sync.Once
	started chan struct{}
	stop    context.CancelFunc
	exited  chan error
}

// startRouter starts a router with a fake keeper, waits until it is ready and announces
// the endpoint.
func startRouter(t *testing.T) *process {
	p := launchRouter(t, fakeKeeper{})
	require.Eventually(t, func() bool { return p.status("/readyz") == http.StatusOK }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, http.StatusNoContent, p.announce("endpoint").status)
	return p
}

// launchRouter starts a router with a keeper, and an endpoint that is not announced.
func launchRouter(t *testing.T, keeper messenger.Keeping) *process {
	keeping := messenger.NewKeepingServer(keeper)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := dialer.Server("secret", keeping)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })

	p := &process{t: t, release: make(chan struct{}), started: make(chan struct{}, 1), exited: make(chan error, 1)}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		w.Header().Set("X-Request-Id", h.Header.Get("X-Request-Id"))
		p.started <- struct{}{}
		<-p.release
		fmt.Fprint(w, "whole")
	}))
	t.Cleanup(endpoint.Close)
	t.Cleanup(p.releaseEndpoint) // Close waits for handlers, also after a failed test
	settings := Settings{
		Name: "router-a1", Zone: "trento-a", Listen: freeAddress(t), Control: freeAddress(t),
		Keepers: []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())},
		Secret:  "secret", EndpointToken: "endpoint", OperatorToken: "operator",
		Limits: Limits{StopTimeout: loader.Duration{Duration: waitTimeout}},
		Timing: Timing{Heartbeat: loader.Duration{Duration: 20 * time.Millisecond}},
	}
	p.base = "http://" + settings.Listen.String()
	router, err := New(t.Context(), settings, zerolog.Nop(), clockwork.NewRealClock())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	go func() { p.exited <- router.Run(ctx) }()
	p.address = endpoint.Listener.Addr().String()
	return p
}

// announce announces the endpoint with a token.
func (p *process) announce(token string) answer {
	body := fmt.Sprintf(`{"incarnation":1,"service":"app","address":%q,"slots":4,"ttl_ms":60000}`, p.address)
	return p.call(http.MethodPost, "/v1/endpoints/app-1", token, body)
}

// releaseEndpoint unblocks the endpoint's responses.
func (p *process) releaseEndpoint() {
	p.once.Do(func() { close(p.release) })
}

// answer is a response to a client.
type answer struct {
	status int
	body   string
}

func (p *process) call(method, path, token, body string) answer {
	request, err := http.NewRequestWithContext(p.t.Context(), method, p.base+path, strings.NewReader(body))
	require.NoError(p.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	require.NoError(p.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(p.t, err)
	return answer{status: response.StatusCode, body: string(text)}
}

func (p *process) status(path string) int {
	response, err := http.Get(p.base + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a planned stop (SIGTERM) that cuts off a request in progress because the
// process exits, or that reports not ready too late, so that the load balancer sends
// requests to a router that is about to close.
func TestPlannedStopFinishesRunningRequests(t *testing.T) {
	p := startRouter(t)
	require.Equal(t, http.StatusOK, p.status("/healthz"))
	answered := make(chan answer, 1)
	go func() { answered <- p.call(http.MethodGet, "/v1/services/app/slow", "club-token", "") }()
	<-p.started
	p.stop()
	require.Eventually(t, func() bool { return p.status("/readyz") == http.StatusServiceUnavailable }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, p.status("/healthz"), "the router still serves until the load balancer has noticed")
	select {
	case err := <-p.exited:
		require.Fail(t, "the router exited with a request in progress", "%v", err)
	case <-time.After(2 * loadBalancerDelay):
	}
	p.releaseEndpoint()
	require.Equal(t, answer{status: http.StatusOK, body: "whole"}, <-answered)
	require.NoError(t, <-p.exited)
}

// Guards against a router that refuses valid tokens for good, or counts as ready, while the only keeper that it
// reaches has just started.
func TestRouterIsNotReadyBeforeItsKeeperHasCaughtUp(t *testing.T) {
	keeper := &startingKeeper{}
	p := launchRouter(t, keeper)
	p.releaseEndpoint()
	polled := func() bool {
		response := p.call(http.MethodGet, "/metrics", "", "")
		return strings.Contains(response.body, "shallotkeel_configuration_stale 1")
	}
	require.Eventually(t, func() bool { return p.status("/healthz") == http.StatusOK && polled() }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, p.status("/readyz"))
	for name, got := range map[string]answer{
		"workspace": p.call(http.MethodGet, "/v1/services/app/x", "club-token", ""),
		"endpoint":  p.announce("app-token"),
		"operator":  p.call(http.MethodGet, "/admin/status", "anna-token", ""),
	} {
		require.Equal(t, http.StatusServiceUnavailable, got.status, name)
		require.Contains(t, got.body, `"code":"stopping"`, name)
	}
	require.Equal(t, http.StatusNoContent, p.announce("endpoint").status)
	require.Equal(t, http.StatusOK, p.call(http.MethodGet, "/admin/status", "operator", "").status)
	keeper.caughtUp.Store(true)
	require.Eventually(t, func() bool { return p.status("/readyz") == http.StatusOK }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, p.call(http.MethodGet, "/v1/services/app/x", "club-token", "").status)
	require.Equal(t, http.StatusUnauthorized, p.call(http.MethodGet, "/v1/services/app/x", "wrong", "").status)
	require.Equal(t, http.StatusUnauthorized, p.announce("wrong").status)
	require.Equal(t, http.StatusUnauthorized, p.call(http.MethodGet, "/admin/status", "wrong", "").status)
	p.stop()
	require.NoError(t, <-p.exited)
}

func TestStatusAndMetrics(t *testing.T) {
	p := startRouter(t)
	p.releaseEndpoint()
	require.Equal(t, http.StatusOK, p.call(http.MethodGet, "/v1/services/app/x", "club-token", "").status)
	var status reporter.Status
	require.NoError(t, json.Unmarshal([]byte(p.call(http.MethodGet, "/admin/status", "operator", "").body), &status))
	require.Empty(t, status.Warnings)
	require.Equal(t, uint64(1), status.Revision)
	require.Equal(t, "leader", status.Keepers[0].Role)
	require.Equal(t, uint64(1), status.Routers[0].InForce)
	require.Equal(t, "app-1", status.Endpoints[0].ID)
	require.Equal(t, "trento-a", status.Endpoints[0].Labels["zone"])
	require.Equal(t, "router-a1", status.Pools[0].Scheduler)
	require.Equal(t, 4, status.Pools[0].Slots)
	metrics := p.call(http.MethodGet, "/metrics", "", "").body
	for _, name := range []string{
		"shallotkeel_control_sent_bytes_total", "shallotkeel_control_received_bytes_total",
		"shallotkeel_revision_in_force 1", `shallotkeel_pool_slots{service="app"} 4`, "shallotkeel_live_routers 1", "shallotkeel_grants_total 1",
	} {
		require.Contains(t, metrics, name)
	}
	p.stop()
	require.NoError(t, <-p.exited)
}
