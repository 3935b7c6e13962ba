package proxier

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/resolver"
)

func TestConnectionBound(t *testing.T) {
	for name, test := range map[string]struct {
		connections, routers int
		want                 forwarder.Bound
	}{
		"not configured":         {routers: 81},
		"even part":              {connections: 610, routers: 81, want: forwarder.Bound{Part: 7, Open: 305}},
		"more routers than room": {connections: 610, routers: 1000, want: forwarder.Bound{Part: 2, Open: 305}},
		"one router":             {connections: 610, routers: 1, want: forwarder.Bound{Part: 610, Open: 610}},
		"routers not known":      {connections: 610, want: forwarder.Bound{Part: 610, Open: 610}},
		"little room":            {connections: 1, routers: 81, want: forwarder.Bound{Part: 2, Open: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.bound(test.connections)
			f.proxier.SetRouterCount(test.routers)
			q := &request{table: f.fleetState.Table(), service: "desk"}
			require.Equal(t, test.want, f.proxier.connectionBound(q))
		})
	}
}

// bound sets the number of connections that each endpoint accepts.
func (f *fixture) bound(connections int) {
	compiled, err := resolver.Compile(resolver.Plan{
		Version: 2, Services: []resolver.Service{{Name: "desk", Connections: connections}},
		Limits: resolver.Limits{BodyBytes: 1 << 20},
		Routes: []resolver.Route{{
			Name: "book", Host: "h", Prefix: "/book/", Kind: resolver.AtMostOnce, Attempts: 1, Anonymous: true, Timeout: waitTimeout,
			Shares: []resolver.Share{{Service: "desk", Weight: 1}},
		}},
	})
	require.NoError(f.t, err)
	f.fleetState.table.Store(compiled)
}

// Guards against a request that waits for a connection, or is lost, where an endpoint has as many connections
// as one router may open: it goes to another endpoint, and is refused as not run if there is none.
func TestRequestBeyondTheConnectionsGoesElsewhere(t *testing.T) {
	const connections = 2
	f := newFixture(t)
	f.bound(connections)
	f.proxier.SetRouterCount(1)
	release := make(chan struct{})
	arrived := make(chan struct{}, connections)
	f.endpoint(func(conn net.Conn, request *http.Request) {
		arrived <- struct{}{}
		<-release
		reply(conn, request, http.StatusOK, "first")
	})
	bodies := make(chan string, connections)
	for range connections {
		go func() {
			body, err := f.fetch("POST", "/book/", "prompt")
			if err != nil {
				body = err.Error()
			}
			bodies <- body
		}()
		<-arrived
	}
	refused := f.do("POST", "/book/", "prompt")
	_, err := readText(refused)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	f.endpoint(answerWith("second"))
	body, err := f.fetch("POST", "/book/", "prompt")
	require.NoError(t, err)
	require.Equal(t, "second", body)
	close(release)
	for range connections {
		require.Equal(t, "first", <-bodies)
	}
}

// Guards against a request that is refused although an endpoint has room, because several others have as many
// connections as one router may open.
func TestCrowdedEndpointsHideNoneWithRoom(t *testing.T) {
	const crowded, requests = maxUnsentAttempts, 50
	f := newFixture(t)
	f.bound(1)
	bound := f.proxier.connectionBound(&request{table: f.fleetState.Table(), service: "desk"})
	for range crowded {
		address := f.listen(func(net.Conn, *http.Request) {})
		f.add(address)
		for range bound.Open {
			out := &forwarder.Outgoing{Method: http.MethodGet, Target: "/", Host: "h", Bound: bound}
			answered := make(chan struct{})
			t.Cleanup(func() { <-answered })
			sent := make(chan struct{})
			go func() {
				defer close(answered)
				_, err := f.proxier.options.Client.Do(t.Context(), address, out, func() bool { close(sent); return true })
				if err == nil {
					t.Error("an endpoint that does not answer answered")
				}
			}()
			<-sent
		}
	}
	f.endpoint(answerWith("whole"))
	for range requests {
		body, err := f.fetch("POST", "/book/", "prompt")
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
}
