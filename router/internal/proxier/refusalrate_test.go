package proxier

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/platform"
)

// Guards against a flood that is repeatedly told to retry at once, at a router that admits one
// request in twenty.
func TestRetryAfterFollowsTheRefusalRate(t *testing.T) {
	tests := map[string]struct {
		asked, refused int
		age            time.Duration // of the samples
		want           time.Duration
	}{
		"no requests":        {want: minRetryAfter},
		"too few samples":    {asked: minRefusalSamples - 1, refused: minRefusalSamples - 1, want: minRetryAfter},
		"all are admitted":   {asked: 1000, want: minRetryAfter},
		"half are refused":   {asked: 1000, refused: 500, want: 2 * minRetryAfter},
		"nine in ten":        {asked: 1000, refused: 900, want: 10 * minRetryAfter},
		"nineteen in twenty": {asked: 1000, refused: 950, want: maxRetryAfter},
		"all are refused":    {asked: 1000, refused: 1000, want: maxRetryAfter},
		"a span ago":         {asked: 1000, refused: 500, age: refusalRateSpan, want: 2 * minRetryAfter},
		"long ago":           {asked: 1000, refused: 500, age: 2 * refusalRateSpan, want: minRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Options{Dialect: platform.Dialect{}, Client: &forwarder.Client{Clock: clock}, Clock: clock})
			now := clock.Now()
			for i := range test.asked {
				p.refusals.add(now, i < test.refused)
			}
			require.InDelta(t, test.want.Seconds(), p.overloadRetryAfter(&request{received: now.Add(test.age)}).Seconds(), 1e-6)
		})
	}
}

// Guards against clients that keep their connections to a flooded router, while new clients reach
// routers with free capacity.
func TestDivertingRouterClosesRefusedConnections(t *testing.T) {
	tests := map[string]struct {
		diverting, full bool
		status          int
		closes          bool
	}{
		"full":                       {full: true, status: http.StatusServiceUnavailable},
		"full and diverting":         {full: true, diverting: true, status: http.StatusServiceUnavailable, closes: true},
		"diverting, not full":        {diverting: true, status: http.StatusOK},
		"neither full nor diverting": {status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoint(answerWith("served"))
			f.proxier.options.Diverting = func() bool { return test.diverting }
			f.proxier.options.MaxRequests = 1
			f.proxier.options.CPUStarved = func() bool { return test.full }
			f.proxier.inFlight.enterWorkspace("club")
			f.proxier.inFlight.enterWorkspace("club")
			response, err := f.send(t.Context(), http.MethodPost, "/book/", "")
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.closes, response.Close)
		})
	}
}

// Guards against clients that are told to return when their answers can only be late, although another
// router might admit them at once.
func TestRetryAfterAShareRefusalCanBeInTime(t *testing.T) {
	tests := map[string]struct {
		target, age, pause, want time.Duration
	}{
		"share is refilled soon":    {target: 800 * time.Millisecond, pause: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"share is refilled late":    {target: 800 * time.Millisecond, pause: time.Second, want: 200 * time.Millisecond},
		"a part of the time passed": {target: 800 * time.Millisecond, age: 400 * time.Millisecond, pause: time.Second, want: 100 * time.Millisecond},
		"short target":              {target: 120 * time.Millisecond, pause: time.Second, want: minRetryAfter},
		"late already":              {target: 800 * time.Millisecond, age: 700 * time.Millisecond, pause: time.Second, want: time.Second},
		"no target":                 {pause: time.Second, want: time.Second},
		"no pause":                  {target: 800 * time.Millisecond, want: minRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			q := &request{route: &resolver.Route{Target: test.target}, received: now, firstReceived: now.Add(-test.age)}
			require.Equal(t, test.want, q.retryInTime(test.pause))
		})
	}
}
