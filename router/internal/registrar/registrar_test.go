package registrar_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/router/internal/registrar"
)

// zone takes announcements as a zone's schedulers do.
type zone struct {
	taken []*messenger.Announcement
	err   error
	clock *clockwork.FakeClock
	mux   *http.ServeMux
}

func (z *zone) Announce(_ context.Context, announcement *messenger.Announcement) error {
	z.taken = append(z.taken, announcement)
	return z.err
}

func newZone() *zone {
	z := &zone{clock: clockwork.NewFakeClock(), mux: http.NewServeMux()}
	registrar.New(registrar.Options{
		Announcer: z, Token: "secret", Zone: "trento-a", Clock: z.clock, Log: zerolog.Nop(),
		Scoped: func(token string) (string, bool) {
			service, found := strings.CutSuffix(token, "-secret")
			return service, found
		},
	}).Register(z.mux)
	return z
}

func (z *zone) call(method, path, body, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	z.mux.ServeHTTP(recorder, request)
	return recorder
}

const good = `{"incarnation":3,"service":"modelli","address":"10.0.0.7:9000","labels":{"gpu":"l4"},"models":["draft-7b"],
	"slots":8,"ttl_ms":3000,"load":2,"cached":["18446744073709551615"],"evicted":[],"leaving":false,"fenced":true,"loaded":["draft-7b"],"fence":4}`

func TestAnnouncementIsPassedOn(t *testing.T) {
	z := newZone()
	require.Equal(t, http.StatusNoContent, z.call("POST", "/v1/endpoints/worker-1", good, "secret").Code)
	require.Len(t, z.taken, 1)
	got := z.taken[0]
	require.Equal(t, "worker-1", got.Id)
	require.Equal(t, "trento-a", got.Zone)
	require.Equal(t, []uint64{18446744073709551615}, got.Cached, "JSON numbers would lose digits")
	require.True(t, got.Fenced)
	require.EqualValues(t, 3000, got.TtlMs)
}

func TestMalformedAnnouncements(t *testing.T) {
	for name, test := range map[string]struct{ old, now, names string }{
		"unknown key":  {`"load"`, `"laod"`, "laod"},
		"no address":   {`10.0.0.7:9000`, `worker:9000`, "IP number"},
		"any address":  {`10.0.0.7:9000`, `0.0.0.0:9000`, "IP number"},
		"no slots":     {`"slots":8`, `"slots":0`, "slots"},
		"many slots":   {`"slots":8`, `"slots":99999999`, "slots"},
		"no time":      {`"ttl_ms":3000`, `"ttl_ms":0`, "ttl_ms"},
		"endless":      {`"ttl_ms":3000`, `"ttl_ms":999999999`, "ttl_ms"},
		"no service":   {`"modelli"`, `""`, "service"},
		"another zone": {`"gpu"`, `"zone"`, "set by the router"},
		"bad label":    {`"gpu"`, `"g p u"`, "label"},
		"bad hash":     {`18446744073709551615`, `x`, "hash"},
		"large":        {`"leaving"`, `"` + strings.Repeat("x", 300<<10) + `"`, "cache events"},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone()
			got := z.call("POST", "/v1/endpoints/worker-1", strings.Replace(good, test.old, test.now, 1), "secret")
			require.Contains(t, []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge}, got.Code)
			require.Contains(t, got.Body.String(), test.names)
			require.Contains(t, got.Body.String(), "remedy")
			require.Empty(t, z.taken)
		})
	}
}

func TestToken(t *testing.T) {
	z := newZone()
	for _, method := range []string{"POST", "DELETE"} {
		require.Equal(t, http.StatusUnauthorized, z.call(method, "/v1/endpoints/worker-1?incarnation=3", good, "wrong").Code)
	}
	require.Empty(t, z.taken)
}

// A token without its scheme is no bearer token, however right it is.
func TestTokenNeedsItsScheme(t *testing.T) {
	z := newZone()
	request := httptest.NewRequest("POST", "/v1/endpoints/worker-1", strings.NewReader(good))
	request.Header.Set("Authorization", "secret")
	recorder := httptest.NewRecorder()
	z.mux.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusUnauthorized, recorder.Code)
	require.Empty(t, z.taken)
}

// Symptom: work of one service goes to an endpoint of another. Events: whoever
// holds the token of one service announces an endpoint for another, or withdraws
// one. Cause: a service's token that is not bound to its service.
func TestTokenOfAServiceIsGoodForThatOnly(t *testing.T) {
	z := newZone()
	require.Equal(t, http.StatusForbidden, z.call("POST", "/v1/endpoints/worker-1", good, "other-secret").Code)
	require.Empty(t, z.taken)
	require.Equal(t, http.StatusNoContent, z.call("POST", "/v1/endpoints/worker-1", good, "modelli-secret").Code)
	const path = "/v1/endpoints/worker-1?incarnation=3"
	require.Equal(t, http.StatusForbidden, z.call("DELETE", path, "", "other-secret").Code)
	require.Len(t, z.taken, 1)
	require.Equal(t, http.StatusNoContent, z.call("DELETE", path, "", "modelli-secret").Code)
}

// Symptom: an endpoint that has withdrawn gets work until its lease is over.
// Sequence: it announces itself and withdraws. Cause: a withdrawal that names
// only the endpoint cannot be passed on to its pool.
func TestWithdrawal(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		passed time.Duration
		status int
	}{
		"known":                {path: "worker-1?incarnation=3", status: http.StatusNoContent},
		"earlier life":         {path: "worker-1?incarnation=2", status: http.StatusNotFound},
		"never announced here": {path: "worker-2?incarnation=3", status: http.StatusNotFound},
		"lease over":           {path: "worker-1?incarnation=3", passed: time.Minute, status: http.StatusNotFound},
		"no incarnation":       {path: "worker-1", status: http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone()
			z.call("POST", "/v1/endpoints/worker-1", good, "secret")
			z.clock.Advance(test.passed)
			require.Equal(t, test.status, z.call("DELETE", "/v1/endpoints/"+test.path, "", "secret").Code)
			if test.status != http.StatusNoContent {
				require.Len(t, z.taken, 1)
				return
			}
			require.Equal(t, "modelli", z.taken[1].Service)
			require.True(t, z.taken[1].Leaving)
			require.Equal(t, http.StatusNotFound, z.call("DELETE", "/v1/endpoints/"+test.path, "", "secret").Code)
		})
	}
}

func TestNoSchedulerIsTold(t *testing.T) {
	z := newZone()
	z.err = errors.New("connection refused to 10.9.9.9")
	got := z.call("POST", "/v1/endpoints/worker-1", good, "secret")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "1", got.Header().Get("Retry-After"))
	require.NotContains(t, got.Body.String(), "10.9.9.9")
}

// FuzzAnnouncement: whatever an endpoint sends is refused, or passed on complete.
func FuzzAnnouncement(f *testing.F) {
	f.Add(good)
	f.Add(`{}`)
	f.Add(`{"cached":null,"slots":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		z := newZone()
		got := z.call("POST", "/v1/endpoints/worker-1", body, "secret")
		if got.Code != http.StatusNoContent {
			require.Empty(t, z.taken)
			return
		}
		require.NotEmpty(t, z.taken[0].Service)
		require.Positive(t, z.taken[0].Slots)
		require.Positive(t, z.taken[0].TtlMs)
	})
}
