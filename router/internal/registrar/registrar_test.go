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

// fakeSchedulers stands in for the schedulers of a zone behind a registrar: it records the
// announcements that the registrar forwards. Announce returns err.
type fakeSchedulers struct {
	announcements []*messenger.Announcement
	err           error
	outdated      bool // newer tokens may exist than those that the registrar knows
	clock         *clockwork.FakeClock
	mux           *http.ServeMux
}

func (z *fakeSchedulers) Announce(_ context.Context, announcement *messenger.Announcement) error {
	z.announcements = append(z.announcements, announcement)
	return z.err
}

// newFakeSchedulers returns fake schedulers behind a registrar that also accepts the token
// "SERVICE-secret" of each service.
func newFakeSchedulers() *fakeSchedulers {
	z := &fakeSchedulers{clock: clockwork.NewFakeClock(), mux: http.NewServeMux()}
	registrar.New(registrar.Options{
		Announcer: z, Token: "secret", Zone: "trento-a", Clock: z.clock, Log: zerolog.Nop(),
		Current: func() bool { return !z.outdated },
		Scoped: func(token string) (string, bool) {
			service, found := strings.CutSuffix(token, "-secret")
			return service, found
		},
	}).Register(z.mux)
	return z
}

func (z *fakeSchedulers) call(method, path, body, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	z.mux.ServeHTTP(recorder, request)
	return recorder
}

const validAnnouncement = `{"incarnation":3,"service":"modelli","address":"10.0.0.7:9000","labels":{"gpu":"l4"},"models":["draft-7b"],
	"slots":8,"ttl_ms":3000,"load":2,"cached":["18446744073709551615"],"evicted":[],"leaving":false,"fenced":true,"loaded":["draft-7b"],"fence":4}`

func TestAnnouncementIsPassedOn(t *testing.T) {
	z := newFakeSchedulers()
	require.Equal(t, http.StatusNoContent, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "secret").Code)
	require.Len(t, z.announcements, 1)
	got := z.announcements[0]
	require.Equal(t, "worker-1", got.Id)
	require.Equal(t, "trento-a", got.Zone)
	require.Equal(t, []uint64{18446744073709551615}, got.Cached, "JSON numbers would lose digits")
	require.True(t, got.Fenced)
	require.EqualValues(t, 3000, got.TtlMs)
}

func TestMalformedAnnouncements(t *testing.T) {
	for name, test := range map[string]struct{ old, changed, want string }{
		"unknown key":         {`"load"`, `"laod"`, "laod"},
		"no address":          {`10.0.0.7:9000`, `worker:9000`, "IP number"},
		"unspecified address": {`10.0.0.7:9000`, `0.0.0.0:9000`, "IP number"},
		"no slots":            {`"slots":8`, `"slots":0`, "slots"},
		"many slots":          {`"slots":8`, `"slots":99999999`, "slots"},
		"no time":             {`"ttl_ms":3000`, `"ttl_ms":0`, "ttl_ms"},
		"endless":             {`"ttl_ms":3000`, `"ttl_ms":999999999`, "ttl_ms"},
		"no service":          {`"modelli"`, `""`, "service"},
		"another zone":        {`"gpu"`, `"zone"`, "set by the router"},
		"bad label":           {`"gpu"`, `"g p u"`, "label"},
		"bad hash":            {`18446744073709551615`, `x`, "hash"},
		"large":               {`"leaving"`, `"` + strings.Repeat("x", 300<<10) + `"`, "cache events"},
	} {
		t.Run(name, func(t *testing.T) {
			z := newFakeSchedulers()
			got := z.call("POST", "/v1/endpoints/worker-1", strings.Replace(validAnnouncement, test.old, test.changed, 1), "secret")
			require.Contains(t, []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge}, got.Code)
			require.Contains(t, got.Body.String(), test.want)
			require.Contains(t, got.Body.String(), "remedy")
			require.Empty(t, z.announcements)
		})
	}
}

// Guards against an id that no message to the pool's scheduler can carry.
func TestAnnouncedIDThatCannotBeEncodedIsRefused(t *testing.T) {
	z := newFakeSchedulers()
	got := z.call("POST", "/v1/endpoints/b%FF", validAnnouncement, "secret")
	require.Equal(t, http.StatusBadRequest, got.Code)
	require.Contains(t, got.Body.String(), "UTF-8")
	require.Empty(t, z.announcements)
}

func TestToken(t *testing.T) {
	z := newFakeSchedulers()
	for _, method := range []string{"POST", "DELETE"} {
		require.Equal(t, http.StatusUnauthorized, z.call(method, "/v1/endpoints/worker-1?incarnation=3", validAnnouncement, "wrong").Code)
	}
	require.Empty(t, z.announcements)
}

// Guards against an endpoint that is told for good that its token is wrong, or belongs to another service,
// by a router that has just started. The token of the settings is valid at once.
func TestTokenIsNotJudgedBeforeTheConfigurationIsKnown(t *testing.T) {
	z := newFakeSchedulers()
	z.outdated = true
	for _, token := range []string{"modelli-token", "app-secret"} {
		for _, method := range []string{"POST", "DELETE"} {
			got := z.call(method, "/v1/endpoints/worker-1?incarnation=3", validAnnouncement, token)
			if method == "DELETE" && token == "app-secret" {
				require.Equal(t, http.StatusNotFound, got.Code, "a valid token, and no such endpoint")
				continue
			}
			require.Equal(t, http.StatusServiceUnavailable, got.Code)
			require.Equal(t, "1", got.Header().Get("Retry-After"))
			require.Contains(t, got.Body.String(), `"type":"not_run"`)
		}
	}
	require.Empty(t, z.announcements)
	require.Equal(t, http.StatusUnauthorized, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "").Code)
	require.Equal(t, http.StatusNoContent, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "secret").Code)
	z.outdated = false
	require.Equal(t, http.StatusUnauthorized, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "modelli-token").Code)
	require.Equal(t, http.StatusForbidden, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "app-secret").Code)
}

// A valid token without the Bearer scheme is refused.
func TestTokenNeedsItsScheme(t *testing.T) {
	z := newFakeSchedulers()
	request := httptest.NewRequest("POST", "/v1/endpoints/worker-1", strings.NewReader(validAnnouncement))
	request.Header.Set("Authorization", "secret")
	recorder := httptest.NewRecorder()
	z.mux.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusUnauthorized, recorder.Code)
	require.Empty(t, z.announcements)
}

// Guards against a service's token that is not bound to its service: its holder could
// announce an endpoint for another service, or withdraw one, and work of one service
// would go to an endpoint of another.
func TestServiceTokenIsLimitedToItsService(t *testing.T) {
	z := newFakeSchedulers()
	require.Equal(t, http.StatusForbidden, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "other-secret").Code)
	require.Empty(t, z.announcements)
	require.Equal(t, http.StatusNoContent, z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "modelli-secret").Code)
	const path = "/v1/endpoints/worker-1?incarnation=3"
	require.Equal(t, http.StatusForbidden, z.call("DELETE", path, "", "other-secret").Code)
	require.Len(t, z.announcements, 1)
	require.Equal(t, http.StatusNoContent, z.call("DELETE", path, "", "modelli-secret").Code)
}

// Guards against a withdrawal that cannot be forwarded to its pool because it names only
// the endpoint: an endpoint that has announced itself and withdrawn would get work until
// its lease expires.
func TestWithdrawal(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		elapsed time.Duration
		status  int
	}{
		"known":                {path: "worker-1?incarnation=3", status: http.StatusNoContent},
		"earlier incarnation":  {path: "worker-1?incarnation=2", status: http.StatusNotFound},
		"never announced here": {path: "worker-2?incarnation=3", status: http.StatusNotFound},
		"lease over":           {path: "worker-1?incarnation=3", elapsed: time.Minute, status: http.StatusNotFound},
		"no incarnation":       {path: "worker-1", status: http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			z := newFakeSchedulers()
			z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "secret")
			z.clock.Advance(test.elapsed)
			require.Equal(t, test.status, z.call("DELETE", "/v1/endpoints/"+test.path, "", "secret").Code)
			if test.status != http.StatusNoContent {
				require.Len(t, z.announcements, 1)
				return
			}
			require.Equal(t, "modelli", z.announcements[1].Service)
			require.True(t, z.announcements[1].Leaving)
			require.Equal(t, http.StatusNotFound, z.call("DELETE", "/v1/endpoints/"+test.path, "", "secret").Code)
		})
	}
}

func TestUnreachableSchedulerAnswersUnavailable(t *testing.T) {
	z := newFakeSchedulers()
	z.err = errors.New("connection refused to 10.9.9.9")
	got := z.call("POST", "/v1/endpoints/worker-1", validAnnouncement, "secret")
	require.Equal(t, http.StatusServiceUnavailable, got.Code)
	require.Equal(t, "1", got.Header().Get("Retry-After"))
	require.NotContains(t, got.Body.String(), "10.9.9.9")
}

// FuzzAnnouncement sends arbitrary bodies: each must be refused, or forwarded as a
// complete announcement.
func FuzzAnnouncement(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{}`)
	f.Add(`{"cached":null,"slots":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		z := newFakeSchedulers()
		got := z.call("POST", "/v1/endpoints/worker-1", body, "secret")
		if got.Code != http.StatusNoContent {
			require.Empty(t, z.announcements)
			return
		}
		require.NotEmpty(t, z.announcements[0].Service)
		require.Positive(t, z.announcements[0].Slots)
		require.Positive(t, z.announcements[0].TtlMs)
	})
}
