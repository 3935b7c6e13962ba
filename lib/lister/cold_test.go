package lister

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crowd of requests at an endpoint that has turned cold again: the news of it
// must pass another keeper's word that the heartbeat came.
func TestColdEndpointsAreTold(t *testing.T) {
	until := start.Add
	tests := map[string]struct {
		beats []Listing // of one life, after a first one that was warm
		heard uint64    // told by another keeper before them
		cold  time.Time
		news  bool // behind the first one
	}{
		"warm":                         {beats: []Listing{{Sequence: 2}}},
		"cold again":                   {beats: []Listing{{Sequence: 2, ColdUntil: until(3 * time.Second)}}, cold: until(3 * time.Second), news: true},
		"cold again, heard of already": {beats: []Listing{{Sequence: 2, ColdUntil: until(3 * time.Second)}}, heard: 2, cold: until(3 * time.Second), news: true},
		"a late one from before": {
			beats: []Listing{{Sequence: 3, ColdUntil: until(3 * time.Second)}, {Sequence: 4}},
			cold:  until(3 * time.Second), news: true,
		},
		"an older one": {beats: []Listing{{Sequence: 3}, {Sequence: 2, ColdUntil: until(3 * time.Second)}}},
		"a little later": {
			beats: []Listing{{Sequence: 2, ColdUntil: until(time.Second)}, {Sequence: 3, ColdUntil: until(time.Second + coldSlack)}},
			cold:  until(time.Second), news: true,
		},
		"for longer": {
			beats: []Listing{{Sequence: 2, ColdUntil: until(time.Second)}, {Sequence: 3, ColdUntil: until(4 * time.Second)}},
			cold:  until(4 * time.Second), news: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: time.Second}
			l.Beat(start, beat("a", 1, Ready))
			before := l.Revision()
			if test.heard > 0 {
				l.Heard(start, "a", time.Time{}, test.heard)
			}
			for _, b := range test.beats {
				told := beat("a", b.Sequence, Ready)
				told.ColdUntil = b.ColdUntil
				l.Beat(start, told)
			}
			listing, found := l.Find("a")
			require.True(t, found)
			require.Equal(t, test.cold, listing.ColdUntil)
			require.Equal(t, test.news, l.Revision() > before)
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

// Guards against a zone's endpoints being taken for warm that have got nothing for a while and
// have not said yet that they are cold.
func TestZoneIsTakenToBeCold(t *testing.T) {
	l := &List{Interval: time.Second}
	for id, zone := range map[string]string{"a": "hall", "b": "hall", "c": "barn"} {
		listing := beat(id, 1, Ready)
		listing.Zone = zone
		listing.Address = at(id[0])
		l.Beat(start, listing)
	}
	l.Leave(start, "b", time.Time{})
	length := func(string) time.Duration { return 3 * time.Second }
	require.False(t, l.Chill(start, "hall", func(string) time.Duration { return 0 }))
	require.True(t, l.Chill(start, "hall", length))
	cold := l.Cold(start.Add(time.Second))
	require.Len(t, cold, 1)
	require.Equal(t, "a", cold[0].ID)
	require.Equal(t, start.Add(3*time.Second), cold[0].ColdUntil)
	require.False(t, l.Chill(start, "hall", length), "it is known")
	require.True(t, l.InZone("barn"))
	require.False(t, l.InZone("loft"))
}
