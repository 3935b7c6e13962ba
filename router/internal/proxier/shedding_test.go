package proxier

import (
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

// sheddingFixture is a proxier of a router that a workspace floods. The guaranteed share of "flood" is
// spent here; "small" is within its share.
type sheddingFixture struct {
	*Proxier
	clock  *clockwork.FakeClock
	starts *pacer.Rate
	table  *resolver.Table
}

func newSheddingFixture(t *testing.T, floodServed uint64) *sheddingFixture {
	t.Helper()
	table, err := resolver.Compile(resolver.Plan{
		Version:  1,
		Services: []resolver.Service{{Name: "engines", Engine: &resolver.Engine{}}, {Name: "desk"}},
		Routes: []resolver.Route{
			{Name: "draft", Host: "h", Prefix: "/", Kind: resolver.Stream, Timeout: time.Second, Attempts: 1, Shares: []resolver.Share{{Service: "engines", Weight: 1}}},
		},
	})
	require.NoError(t, err)
	f := &sheddingFixture{clock: clockwork.NewFakeClock(), starts: &pacer.Rate{Initial: 100, Min: 100}, table: table}
	shares := &apportioner.Apportioner{}
	shares.SetCapacity(10_000)
	uses := map[string]apportioner.Use{"flood": {Demand: 1e6, Served: floodServed}, "small": {Demand: 10, Served: 10}}
	shares.SetFleetUse(f.clock.Now(), uses, 0)
	for shares.Admit(f.clock.Now(), "flood", 1000, false).Admitted {
	}
	f.Proxier = New(Options{
		Dialect: platform.Dialect{}, Shares: shares, Client: &forwarder.Client{Clock: f.clock},
		Clock: f.clock, Log: zerolog.Nop(), MaxRequests: 100, StartRate: f.starts,
	})
	return f
}

// request returns a request of a workspace that first arrived some time ago.
func (f *sheddingFixture) request(workspace, service string, age time.Duration) *request {
	now := f.clock.Now()
	return &request{
		received: now, firstReceived: now.Add(-age), workspace: workspace, service: service, table: f.table,
		route: &resolver.Route{Name: "draft", Target: 400 * time.Millisecond, Timeout: time.Second},
	}
}

// Guards against a small workspace being refused because another one floods its router, and against a
// full router that starts requests beyond the share, or late ones, before those that are owed, and
// against requests beyond the share being refused although the router has capacity for a few more.
func TestFullRouterRefusesBeyondShareFirst(t *testing.T) {
	const late = 300 * time.Millisecond
	tests := map[string]struct {
		workspace, service string
		age                time.Duration
		flood, small       int           // requests started
		since              time.Duration // time since then
		starved            bool
		running            int // requests in flight
		busy               bool
	}{
		"with capacity, the flood":             {workspace: "flood", service: "engines"},
		"a small burst, the flood":             {workspace: "flood", service: "engines", small: 5, flood: 1},
		"a small burst, the flood is late":     {workspace: "flood", service: "engines", small: 5, flood: 1, age: late},
		"full, the flood at half of its part":  {workspace: "flood", service: "engines", small: 10, flood: 40, since: 400 * time.Millisecond, busy: true},
		"full, the flood below half of it":     {workspace: "flood", service: "engines", small: 11, flood: 39, since: 400 * time.Millisecond},
		"exhausted by others, the flood":       {workspace: "flood", service: "engines", small: 13, flood: 1, busy: true},
		"too many in flight, the flood":        {workspace: "flood", service: "engines", running: 101, busy: true},
		"too many in flight, the flood's call": {workspace: "flood", service: "desk", running: 101},
		"too many in flight, small workspace":  {workspace: "small", service: "engines", running: 101},
		"starved, the flood":                   {workspace: "flood", service: "engines", starved: true},
		"starved, the flood is late":           {workspace: "flood", service: "engines", starved: true, age: late, busy: true},
		"full, the flood's plain calls":        {workspace: "flood", service: "desk", small: 5, flood: 1},
		"full, small workspace":                {workspace: "small", service: "engines", flood: 200},
		"full, small workspace is late":        {workspace: "small", service: "engines", flood: 5, age: late},
		"full, the small one's late requests":  {workspace: "small", service: "engines", flood: 5, small: 26, age: late, busy: true},
		"exhausted, small workspace":           {workspace: "small", service: "engines", flood: 200},
		"exhausted, small workspace is late":   {workspace: "small", service: "engines", flood: 200, age: late, busy: true},
		"starved, small workspace":             {workspace: "small", service: "engines", starved: true},
		"starved, small workspace is late":     {workspace: "small", service: "engines", starved: true, age: late, busy: true},
		"with capacity, late":                  {workspace: "small", service: "engines", age: late},
		"full, owed, but beyond its fair part": {workspace: "small", service: "engines", flood: 60, small: 60, busy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSheddingFixture(t, 1e6)
			f.options.CPUStarved = func() bool { return test.starved }
			f.starts.Available(f.clock.Now())
			for range test.flood {
				f.starts.Take(f.clock.Now(), "flood")
			}
			for range test.small {
				f.starts.Take(f.clock.Now(), "small")
			}
			f.clock.Advance(test.since)
			for range test.running {
				f.inFlight.enter()
			}
			require.Equal(t, test.busy, f.busy(f.request(test.workspace, test.service, test.age)))
		})
	}
}

// Guards against owed requests that are late after a refusal: their retries, which other routers could
// serve in time, were delayed for as long as those of the flood.
func TestOwedRequestsAreRetriedAtOnce(t *testing.T) {
	tests := map[string]struct {
		workspace string
		served    uint64 // tokens per second of the flood that the fleet serves
		atOnce    bool
	}{
		"small workspace":                      {workspace: "small", served: 1e6, atOnce: true},
		"flood that gets its share elsewhere":  {workspace: "flood", served: 1e6},
		"flood that gets less than its share":  {workspace: "flood", atOnce: true},
		"no workspace, and no share to exceed": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSheddingFixture(t, test.served)
			f.options.CPUStarved = func() bool { return true }
			for range minRefusalSamples {
				f.refusals.add(f.clock.Now(), true)
			}
			q := f.request(test.workspace, "engines", 0)
			f.busy(q)
			if test.atOnce {
				require.Equal(t, minRetryAfter, f.overloadRetryAfter(q))
				return
			}
			require.Equal(t, maxRetryAfter, f.overloadRetryAfter(q))
		})
	}
}

// Guards against a flood's requests that are being refused counting toward the hard limit, which
// holds for all workspaces.
func TestRefusedRequestsDoNotReachTheHardLimit(t *testing.T) {
	const limit = 10
	now := time.Unix(1000, 0)
	var f inFlight
	for range 5 * limit {
		f.enter()
	}
	require.False(t, f.overFairShare(now, "small", limit))
	for range hardLimitFactor*limit + 1 {
		f.enterWorkspace("flood")
	}
	require.True(t, f.overFairShare(now, "small", limit))
}
