package announcer_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/announcer"
)

// router is a fake router that records the requests it receives.
type router struct {
	*httptest.Server
	status int
	bodies chan map[string]any
	paths  chan string
}

func newRouter(t *testing.T, status int) *router {
	t.Helper()
	r := &router{status: status, bodies: make(chan map[string]any, 16), paths: make(chan string, 16)}
	r.Server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(r.Close)
	return r
}

func (r *router) serve(w http.ResponseWriter, q *http.Request) {
	var body map[string]any
	_ = json.NewDecoder(q.Body).Decode(&body)
	r.paths <- q.Method + " " + q.URL.RequestURI() + " " + q.Header.Get("Authorization")
	r.bodies <- body
	w.WriteHeader(r.status)
}

func (r *router) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(r.URL, "http://"))
}

func describe(cached ...uint64) func() announcer.Announcement {
	return func() announcer.Announcement {
		return announcer.Announcement{Incarnation: 7, Service: "modelli", Slots: 2, TTLMS: 3000, Cached: cached}
	}
}

// Guards against the loss of a lease while a router restarts and does not answer:
// an endpoint that waited for its next announcement would lose its lease after
// three, so it tries the next router at once.
func TestAnnounceTriesTheNextRouterAtOnce(t *testing.T) {
	broken, good := newRouter(t, http.StatusServiceUnavailable), newRouter(t, http.StatusNoContent)
	a := announcer.Announcer{
		ID: "m1", Token: "secret", Client: http.DefaultClient, Clock: clockwork.NewFakeClock(),
		Routers: []netip.AddrPort{broken.address(), good.address()}, Describe: describe(),
	}
	require.NoError(t, a.Announce(t.Context(), a.Describe()))
	require.Equal(t, "POST /v1/endpoints/m1 Bearer secret", <-good.paths)
	require.Len(t, broken.paths, 1)

	require.NoError(t, a.Withdraw(t.Context(), 7, time.Second))
	require.Equal(t, "DELETE /v1/endpoints/m1?incarnation=7 Bearer secret", <-good.paths)
	require.Len(t, broken.paths, 1, "the router that answered last is tried first")
}

func TestAnnounceNamesTheRemedyWithoutRouters(t *testing.T) {
	a := announcer.Announcer{ID: "m1", Client: http.DefaultClient, Describe: describe()}
	err := a.Announce(t.Context(), a.Describe())
	require.ErrorIs(t, err, announcer.ErrAnnounce)
	require.ErrorContains(t, err, "name the zone's routers")
}

// Guards against the loss of cache events in announcements that reach no router:
// engines publish each event once, so the next announcement must repeat it.
func TestRunRepeatsAndKeepsUndeliveredEvents(t *testing.T) {
	fake := newRouter(t, http.StatusServiceUnavailable)
	clock := clockwork.NewFakeClock()
	states := make(chan error, 4)
	events := [][]uint64{{18446744073709551615}, nil, nil}
	a := announcer.Announcer{
		ID: "m1", Client: http.DefaultClient, Clock: clock, Routers: []netip.AddrPort{fake.address()},
		OnChange: func(err error) { states <- err },
	}
	a.Describe = func() announcer.Announcement {
		announcement := describe(events[0]...)()
		events = events[1:]
		return announcement
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()

	require.Equal(t, []any{"18446744073709551615"}, (<-fake.bodies)["cached"])
	require.ErrorIs(t, <-states, announcer.ErrAnnounce)
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	fake.status = http.StatusNoContent
	clock.Advance(time.Second)
	require.Equal(t, []any{"18446744073709551615"}, (<-fake.bodies)["cached"])
	require.NoError(t, <-states)
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	clock.Advance(time.Second)
	require.NotContains(t, <-fake.bodies, "cached")
	cancel()
	<-done
}
