package lister

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against overloading an endpoint that has become cold again: the change must be
// applied even if a Refresh from another keeper has already advanced the sequence.
func TestColdEndpointsAreReported(t *testing.T) {
	until := start.Add
	tests := map[string]struct {
		beats     []Listing // of one incarnation, after a first heartbeat that was warm
		refreshed uint64    // sequence refreshed by another keeper before them
		cold      time.Time
		changed   bool // after the first heartbeat
	}{
		"warm":                          {beats: []Listing{{Sequence: 2}}},
		"cold again":                    {beats: []Listing{{Sequence: 2, ColdUntil: until(3 * time.Second)}}, cold: until(3 * time.Second), changed: true},
		"cold again, refreshed already": {beats: []Listing{{Sequence: 2, ColdUntil: until(3 * time.Second)}}, refreshed: 2, cold: until(3 * time.Second), changed: true},
		"a delayed one from before": {
			beats: []Listing{{Sequence: 3, ColdUntil: until(3 * time.Second)}, {Sequence: 4}},
			cold:  until(3 * time.Second), changed: true,
		},
		"an older heartbeat": {beats: []Listing{{Sequence: 3}, {Sequence: 2, ColdUntil: until(3 * time.Second)}}},
		"a little later": {
			beats: []Listing{{Sequence: 2, ColdUntil: until(time.Second)}, {Sequence: 3, ColdUntil: until(time.Second + minColdExtension)}},
			cold:  until(time.Second), changed: true,
		},
		"for longer": {
			beats: []Listing{{Sequence: 2, ColdUntil: until(time.Second)}, {Sequence: 3, ColdUntil: until(4 * time.Second)}},
			cold:  until(4 * time.Second), changed: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: time.Second}
			l.ApplyHeartbeat(start, heartbeat("a", 1, Ready))
			before := l.Revision()
			if test.refreshed > 0 {
				l.Refresh(start, "a", time.Time{}, test.refreshed)
			}
			for _, b := range test.beats {
				received := heartbeat("a", b.Sequence, Ready)
				received.ColdUntil = b.ColdUntil
				l.ApplyHeartbeat(start, received)
			}
			listing, found := l.Find("a")
			require.True(t, found)
			require.Equal(t, test.cold, listing.ColdUntil)
			require.Equal(t, test.changed, l.Revision() > before)
			cold := l.Cold(start)
			if test.cold.IsZero() {
				require.Empty(t, cold)
				return
			}
			require.Equal(t, []Listing{listing}, cold)
			require.Empty(t, l.Cold(test.cold))
		})
	}
}

// Guards against treating endpoints of a zone as warm that got no requests for a while and
// have not yet reported that they are cold.
func TestZoneIsMarkedCold(t *testing.T) {
	l := &List{Interval: time.Second}
	for id, zone := range map[string]string{"a": "hall", "b": "hall", "c": "barn"} {
		listing := heartbeat(id, 1, Ready)
		listing.Zone = zone
		listing.Address = at(id[0])
		l.ApplyHeartbeat(start, listing)
	}
	l.Leave(start, "b", time.Time{})
	length := func(string) time.Duration { return 3 * time.Second }
	require.False(t, l.MarkZoneCold(start, "hall", func(string) time.Duration { return 0 }))
	require.True(t, l.MarkZoneCold(start, "hall", length))
	cold := l.Cold(start.Add(time.Second))
	require.Len(t, cold, 1)
	require.Equal(t, "a", cold[0].ID)
	require.Equal(t, start.Add(3*time.Second), cold[0].ColdUntil)
	require.False(t, l.MarkZoneCold(start, "hall", length), "the cold phase is known already")
	require.True(t, l.InZone("barn"))
	require.False(t, l.InZone("loft"))
}
