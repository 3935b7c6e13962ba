package proxier

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/pacer"
)

// Guards against clients of a flood that stay connected to the router that refuses them, against clients
// within their share being sent away, and against a router that spends its time on connections.
func TestFloodsConnectionsAreClosedBehindRefusals(t *testing.T) {
	const perSecond = 100
	tests := map[string]struct {
		beyondShare bool
		refused     bool // most requests are refused for lack of capacity
		unbounded   bool // no rate is set
		closes      bool
	}{
		"the flood, under pressure":    {beyondShare: true, refused: true, closes: true},
		"the flood, without pressure":  {beyondShare: true},
		"within the share":             {refused: true},
		"closing is not enabled":       {beyondShare: true, refused: true, unbounded: true},
		"within the share, no refusal": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSheddingFixture(t, 1e6)
			if !test.unbounded {
				f.options.CloseRate = &pacer.Rate{Initial: perSecond, Min: perSecond}
			}
			for range minRefusalSamples {
				f.refusals.add(f.clock.Now(), test.refused)
			}
			q := f.request("flood", "engines", 0)
			q.standing.Owed = !test.beyondShare
			recorder := httptest.NewRecorder()
			q.writer = recorder
			f.refuse(q, byRouter, http.StatusServiceUnavailable, reasonRouterBusy, minRetryAfter)
			require.Equal(t, test.closes, recorder.Header().Get("Connection") == "close")
			for range 1000 {
				f.clock.Advance(time.Millisecond)
				f.refusals.add(f.clock.Now(), test.refused)
				f.closesBehind(f.clock.Now(), test.beyondShare)
			}
			if !test.closes {
				require.Zero(t, f.ClosedBehind())
				return
			}
			require.InDelta(t, perSecond, float64(f.ClosedBehind()), perSecond/5)
		})
	}
}
