package passer

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/platform"
)

// Guards against a flood that is told to come back at once, again and again, to a router that
// lets one in twenty in.
func TestRoomPauseFollowsTheOdds(t *testing.T) {
	tests := map[string]struct {
		asked, refused int
		age            time.Duration // of what was seen
		want           time.Duration
	}{
		"nobody asks":          {want: retrySoon},
		"too few to tell":      {asked: leastAsking - 1, refused: leastAsking - 1, want: retrySoon},
		"all are let in":       {asked: 1000, want: retrySoon},
		"half are refused":     {asked: 1000, refused: 500, want: 2 * retrySoon},
		"nine in ten":          {asked: 1000, refused: 900, want: 10 * retrySoon},
		"nineteen in twenty":   {asked: 1000, refused: 950, want: longestRoomPause},
		"everybody is refused": {asked: 1000, refused: 1000, want: longestRoomPause},
		"a span ago":           {asked: 1000, refused: 500, age: oddsSpan, want: 2 * retrySoon},
		"long ago":             {asked: 1000, refused: 500, age: 2 * oddsSpan, want: retrySoon},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Options{Dialect: platform.Dialect{}, Client: &forwarder.Client{Clock: clock}, Clock: clock})
			now := clock.Now()
			for i := range test.asked {
				p.odds.add(now, i < test.refused)
			}
			require.InDelta(t, test.want.Seconds(), p.roomPause(now.Add(test.age)).Seconds(), 1e-6)
		})
	}
}

// Guards against clients that stay with a flooded router on the connections that they have, while
// new ones reach routers with room.
func TestAwayRouterClosesBehindItsRefusals(t *testing.T) {
	tests := map[string]struct {
		away, full bool
		status     int
		closes     bool
	}{
		"full":                  {full: true, status: http.StatusServiceUnavailable},
		"full and away":         {full: true, away: true, status: http.StatusServiceUnavailable, closes: true},
		"away, but it has room": {away: true, status: http.StatusOK},
		"neither full nor away": {status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.endpoint(answering("served"))
			b.passer.options.Away = func() bool { return test.away }
			b.passer.options.Most = 1
			b.passer.options.Lags = func() bool { return test.full }
			b.passer.drain.enterFor("club")
			b.passer.drain.enterFor("club")
			response, err := b.try(t.Context(), http.MethodPost, "/book/", "")
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.closes, response.Close)
		})
	}
}
