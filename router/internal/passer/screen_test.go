package passer

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

// Symptom: all clients of one router are late by a second, and some of their requests
// reach endpoints after they have left. Sequence: a workspace floods a small router; each
// of its requests is taken, read and refused behind the server, or closed unread and sent
// again at once. Cause: nothing was refused before the server took it, and what was had no
// regard for who asked.
func TestFloodIsScreenedAndNobodyElse(t *testing.T) {
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
		full      bool // the flood has taken all starts
		used      bool // the flood has used its share
		status    int  // 0 is let in
		by        verdict
	}{
		"nothing presses":                {key: "flood", path: "/draft/x"},
		"no room, and it floods":         {key: "flood", path: "/draft/x", full: true, status: http.StatusServiceUnavailable, by: byRouter},
		"no room, plain service":         {key: "flood", path: "/book/x", full: true, status: http.StatusServiceUnavailable, by: byRouter},
		"no room, and another asks":      {key: "small", path: "/draft/x", full: true},
		"share used up":                  {key: "flood", path: "/draft/x", used: true, status: http.StatusTooManyRequests, by: byShare},
		"share used up, plain service":   {key: "flood", path: "/book/x", used: true},
		"share used up, another asks":    {key: "small", path: "/draft/x", used: true},
		"an unknown key is the server's": {key: "nobody", path: "/draft/x", full: true},
		"an unknown route as well":       {key: "flood", path: "/none/x", full: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			now := clock.Now()
			news, shares := &stub{}, &apportioner.Apportioner{}
			news.table.Store(compiled)
			shares.SetCapacity(10_000)
			starts := &pacer.Rate{Initial: 100, Min: 100}
			p := New(Options{
				Dialect: platform.Dialect{}, News: news, Shares: shares, Client: &forwarder.Client{Clock: clock},
				Clock: clock, Log: zerolog.Nop(), Most: 100, Starts: starts,
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
			require.False(t, p.Screens())
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
			require.True(t, p.Screens(), "more of them come")
			require.Equal(t, 1, len(p.ledger.entries))
			require.Positive(t, p.ledger.entries["flood"].refused[test.by])
			if test.path == "/draft/x" {
				require.Greater(t, shares.Uses(now)["flood"].Demand, asked.Demand, "the fleet hears of it")
			}
			clock.Advance(screenFor + 1)
			require.False(t, p.Screens(), "nobody was refused of late")
		})
	}
}
