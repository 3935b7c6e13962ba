package proxier

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/messenger"
)

const fetchHeader = "Kv-Fetch"

// Guards against an engine that prefills a prefix which another one has cached, against a client that
// names the source itself, and against a source that is blamed when the engine that fetches breaks.
func TestEngineIsToldWhereToFetch(t *testing.T) {
	f := newFixture(t)
	f.fleetState.table.Store(engineTable(t))
	f.balancer.Prefixes = &indexer.Exchange{}
	f.balancer.SetTransferTime("desk", time.Microsecond)
	registry := prometheus.NewRegistry()
	f.proxier.options.Metrics = NewMetrics(registry)
	sources := make(chan string, 10)
	broken := false
	serve := func(conn net.Conn, request *http.Request) {
		sources <- request.Header.Get(fetchHeader)
		if broken {
			resetConn(conn, request)
			return
		}
		beginStream(conn, request, 1, 3)
		endStream(conn)
	}
	send := func(parts string) (string, error) {
		return f.fetch(http.MethodPost, "/draft/", "", "X-Shallotkeel-Model", "m", "X-Shallotkeel-Token-Counts", "6000,10",
			"X-Shallotkeel-Prefix-Hash", parts, fetchHeader, "10.0.0.66:1")
	}
	holder := f.listen(serve)
	first := f.add(holder)
	text, err := send("a:5000,b:1000")
	require.NoError(t, err)
	require.Equal(t, eventsUpTo(3), text)
	require.Empty(t, <-sources, "nobody holds the prefix")
	f.endpoint(serve)
	// Many requests run at the first engine, so that the other one is chosen.
	for i := range 40 {
		slot := f.balancer.Pick(time.Now(), "desk", &balancer.Work{}, func(id string) bool { return id != first })
		require.NotNil(t, slot, i)
	}
	text, err = send("a:5000,c:1000")
	require.NoError(t, err)
	require.Equal(t, eventsUpTo(3), text)
	source := <-sources
	require.Equal(t, holder, netip.MustParseAddrPort(source))
	require.EqualValues(t, 1, counterValue(t, registry, "shallotkeel_passed_fetches_total"))
	require.EqualValues(t, 5000, counterValue(t, registry, "shallotkeel_passed_fetch_tokens_total"))
	broken = true
	f.endpoint(serve)
	f.remove("i-2")
	_, _ = send("a:5000,d:1000") // the engine breaks the connection
	require.Equal(t, source, <-sources)
	slot := f.balancer.Pick(time.Now(), "desk", &balancer.Work{}, func(id string) bool { return id != first })
	require.Equal(t, "none", slot.HealthPenalty, "the source did not fail")
}

// Guards against fetches from an engine that answered with an error, and that may have prefilled nothing.
func TestOnlySuccessShowsThatAnEngineHoldsAPrefix(t *testing.T) {
	answerStatus := func(status int) func(net.Conn, *http.Request) {
		return func(conn net.Conn, request *http.Request) { reply(conn, request, status, "text") }
	}
	tests := map[string]struct {
		serve func(conn net.Conn, request *http.Request)
		held  bool
	}{
		"stream": {serve: func(conn net.Conn, request *http.Request) {
			beginStream(conn, request, 1, 3)
			endStream(conn)
		}, held: true},
		"other success": {serve: answerStatus(http.StatusCreated), held: true},
		"redirect":      {serve: answerStatus(http.StatusSeeOther)},
		"bad request":   {serve: answerStatus(http.StatusBadRequest)},
		"error":         {serve: answerStatus(http.StatusInternalServerError)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.fleetState.table.Store(engineTable(t))
			f.balancer.Prefixes = &indexer.Exchange{}
			f.balancer.SetTransferTime("desk", time.Microsecond)
			f.endpoint(test.serve)
			_, err := f.fetch(http.MethodPost, "/draft/", "", "X-Shallotkeel-Model", "m", "X-Shallotkeel-Token-Counts", "6000,10",
				"X-Shallotkeel-Prefix-Hash", "a:5000,b:1000")
			require.NoError(t, err)
			report := &messenger.FollowRequest{}
			f.balancer.Prefixes.AddReport(time.Now(), netip.AddrPort{}, report)
			require.Equal(t, test.held, len(report.GetHoldings()) > 0)
		})
	}
}

// counterValue returns the value of a counter without labels.
func counterValue(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.Fail(t, "no such metric", name)
	return 0
}
