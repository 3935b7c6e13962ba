package director

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
)

const waitTimeout = 10 * time.Second

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func validSettings(t *testing.T) Settings {
	t.Helper()
	return Settings{
		Name: "router", Zone: "hall", Listen: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
		Seeds: []netip.AddrPort{freeAddress(t)}, Port: 7400, Secret: "s", Memory: 128, Processors: 0.4, Descriptors: 4000,
		Grace: loader.Duration{Duration: 8 * time.Second}, Pass: loader.Duration{Duration: 120 * time.Millisecond},
		Retry: Retry{Ratio: 0.2, Slack: 50, Window: loader.Duration{Duration: 10 * time.Second}},
	}
}

func TestSettingsAreChecked(t *testing.T) {
	tests := map[string]func(*Settings){
		"name":        func(s *Settings) { s.Name = "" },
		"zone":        func(s *Settings) { s.Zone = "" },
		"listen":      func(s *Settings) { s.Listen = netip.AddrPort{} },
		"ready":       func(s *Settings) { s.Ready = netip.AddrPort{} },
		"metrics":     func(s *Settings) { s.Metrics = netip.AddrPort{} },
		"seeds":       func(s *Settings) { s.Seeds = nil },
		"port":        func(s *Settings) { s.Port = 0 },
		"secret":      func(s *Settings) { s.Secret = "" },
		"memory":      func(s *Settings) { s.Memory = 0 },
		"processors":  func(s *Settings) { s.Processors = 0 },
		"descriptors": func(s *Settings) { s.Descriptors = 0 },
		"grace":       func(s *Settings) { s.Grace.Duration = time.Second },
		"retry":       func(s *Settings) { s.Retry.Window.Duration = 0 },
	}
	valid := validSettings(t)
	require.Empty(t, valid.Check())
	for key, spoil := range tests {
		t.Run(key, func(t *testing.T) {
			s := valid
			spoil(&s)
			problems := s.Check()
			require.Len(t, problems, 1)
			require.Equal(t, key, problems[0].Key)
			require.NotEmpty(t, problems[0].Remedy)
		})
	}
}

// Guards against a planned stop that cuts requests, or that lets clients come until the process is
// killed. The router is stopped while a request is in flight, and its client has an idle connection
// as well.
func TestPlannedStopCutsNothing(t *testing.T) {
	settings := validSettings(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	clock := newTimerClock()
	d := New(settings, path, zerolog.Nop(), clock)
	plan := `{"version":1,"services":[{"name":"desk"}],"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"non_idempotent","timeout_ms":60000,"service":"desk"}]}`
	d.planning[netip.MustParseAddrPort("127.0.0.1:1")] = stubKeeper{plan: plan}
	d.reader.Update(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), &messenger.FollowResponse{Plan: 1})
	started, end := make(chan struct{}), make(chan struct{})
	endpoint := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Shallotkeel-Response-Stamp", "s")
		if r.URL.Path == "/slow" {
			close(started)
			<-end
		}
		io.WriteString(w, "whole") //nolint:errcheck // the test sees what arrives
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go endpoint.Serve(listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() { require.NoError(t, endpoint.Close()) })
	d.balancer.Update(lister.Listing{ID: "a", Service: "desk", State: lister.Ready, Address: netip.MustParseAddrPort(listener.Addr().String())})

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	get := func(address netip.AddrPort, path string) (status int, body string, closes bool) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String()+path, http.NoBody)
		require.NoError(t, err)
		request.Host = "h"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, "", false
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(text), response.Close
	}
	require.Eventually(t, func() bool { status, _, _ := get(settings.Ready, "/api/ready"); return status == http.StatusOK }, waitTimeout, time.Millisecond)
	status, body, closes := get(settings.Listen, "/fast")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
	require.False(t, closes)
	_, text, _ := get(settings.Metrics, "/metrics")
	require.True(t, strings.Contains(text, "shallotkeel_direct_plan_version 1"))

	slow := make(chan string, 1)
	go func() {
		_, body, _ := get(settings.Listen, "/slow")
		slow <- body
	}()
	<-started
	cancel()
	require.Eventually(t, func() bool {
		status, _, _ := get(settings.Ready, "/api/ready")
		return status == http.StatusServiceUnavailable
	}, waitTimeout, time.Millisecond)
	status, body, closes = get(settings.Listen, "/fast")
	require.Equal(t, http.StatusOK, status, "new requests are served while the router drains")
	require.Equal(t, "whole", body)
	require.True(t, closes, "and their connections are closed")
	clock.awaitDrainTimer(t)
	clock.Advance(drainTime)
	require.Eventually(t, func() bool { status, _, _ := get(settings.Listen, "/fast"); return status == 0 }, waitTimeout, time.Millisecond)
	close(end)
	require.Equal(t, "whole", <-slow)
	require.NoError(t, <-ended)
}

// stubKeeper is a keeper that returns a fixed configuration.
type stubKeeper struct {
	messenger.Planning
	plan string
}

func (f stubKeeper) Fetch(context.Context, *messenger.CurrentRequest) (*messenger.Plan, error) {
	return &messenger.Plan{Version: 1, Text: []byte(f.plan)}, nil
}

func TestReloadTakesSeedsAndRefusesTheRest(t *testing.T) {
	d := New(validSettings(t), "settings.json", zerolog.Nop(), clockwork.NewFakeClock())
	for name, text := range map[string]string{
		"no JSON":     `{`,
		"no platform": `{}`,
		"unknown key": `{"platform":{"nam":"x"}}`,
		"incomplete":  `{"platform":{"name":"x"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, d.reload([]byte(text)), loader.ErrSettings)
		})
	}
}
