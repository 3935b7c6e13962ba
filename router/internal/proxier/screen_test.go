package proxier

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/platform"
)

// Guards against all clients of one router being late by a second, and requests that reach endpoints after
// their clients have disconnected. A workspace floods a small router; each of its requests is accepted,
// read and refused by the server, or closed unread and retried at once. Requests must be refused
// before the server accepts them, and only those of the workspace that floods.
func TestScreenRefusesOnlyTheFlood(t *testing.T) {
	plan := resolver.Plan{
		Version:  1,
		Services: []resolver.Service{{Name: "engines", Engine: &resolver.Engine{}}, {Name: "desk"}},
		Routes: []resolver.Route{
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: resolver.Stream, Timeout: time.Second, Attempts: 1, Shares: []resolver.Share{{Service: "engines", Weight: 1}}},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: resolver.AtMostOnce, Timeout: time.Second, Attempts: 1, Shares: []resolver.Share{{Service: "desk", Weight: 1}}},
		},
		Workspaces: []resolver.Workspace{{Name: "flood", Keys: []string{"flood"}}, {Name: "small", Keys: []string{"small"}}},
	}
	compiled, err := resolver.Compile(plan)
	require.NoError(t, err)
	tests := map[string]struct {
		key, path string
		full      bool // the flood has used up the start rate
		used      bool // the flood has used up its share
		status    int  // 0 if the request is admitted
		by        refusalCause
	}{
		"neither full nor used up":                  {key: "flood", path: "/draft/x"},
		"full, the flood":                           {key: "flood", path: "/draft/x", full: true, status: http.StatusServiceUnavailable, by: byRouter},
		"full, plain service":                       {key: "flood", path: "/book/x", full: true, status: http.StatusServiceUnavailable, by: byRouter},
		"full, another workspace":                   {key: "small", path: "/draft/x", full: true},
		"share used up":                             {key: "flood", path: "/draft/x", used: true, status: http.StatusTooManyRequests, by: byShare},
		"share used up, plain service":              {key: "flood", path: "/book/x", used: true},
		"share used up, another workspace":          {key: "small", path: "/draft/x", used: true},
		"full, unknown key is left to the server":   {key: "nobody", path: "/draft/x", full: true},
		"full, unknown route is left to the server": {key: "flood", path: "/none/x", full: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			now := clock.Now()
			fleetState, shares := &stubFleetState{}, &apportioner.Apportioner{}
			fleetState.table.Store(compiled)
			shares.SetCapacity(10_000)
			starts := &pacer.Rate{Initial: 100, Min: 100}
			p := New(Options{
				Dialect: platform.Dialect{}, FleetState: fleetState, Shares: shares, Client: &forwarder.Client{Clock: clock},
				Clock: clock, Log: zerolog.Nop(), MaxRequests: 100, StartRate: starts,
			})
			if test.full {
				for range 200 {
					starts.Take(now, "flood")
				}
			}
			if test.used {
				shares.SetFleetUse(now, map[string]apportioner.Use{"flood": {Demand: 1e6}, "small": {Demand: 10}}, time.Second)
				for shares.Admit(now, "flood", 1000, false).Admitted {
				}
			}
			require.False(t, p.ScreeningActive())
			h, err := http.NewRequest(http.MethodPost, test.path, http.NoBody)
			require.NoError(t, err)
			h.Host, h.RequestURI = "h", test.path
			h.Header.Set("Authorization", "Bearer "+test.key)
			h.Header.Set("X-Shallotkeel-Token-Counts", "1000,10")
			asked := shares.Uses(now)["flood"]
			refusal := p.Screen(h)
			if test.status == 0 {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, test.status, refusal.Status)
			require.Positive(t, refusal.Retry)
			require.True(t, p.ScreeningActive(), "more requests of the flood are expected")
			require.Equal(t, 1, len(p.workspaces.entries))
			require.Positive(t, p.workspaces.entries["flood"].refused[test.by])
			if test.path == "/draft/x" {
				require.Greater(t, shares.Uses(now)["flood"].Demand, asked.Demand, "refused requests count as demand")
			}
			clock.Advance(screeningPeriod + 1)
			require.False(t, p.ScreeningActive(), "no request was refused within the period")
		})
	}
}
