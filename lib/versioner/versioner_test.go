package versioner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	one   = Origin{Service: "desk", Version: "v1"}
	two   = Origin{Service: "desk", Version: "v2"}
)

// A stream was believed to have begun at another version, or was forgotten while it could still be
// taken up.
func TestStreamsAreRememberedOrUnknown(t *testing.T) {
	type told struct {
		at     time.Duration
		origin Origin
	}
	for name, test := range map[string]struct {
		told  []told
		at    time.Duration
		want  Origin
		found bool
	}{
		"never told":                 {},
		"told":                       {told: []told{{origin: one}}, want: one, found: true},
		"told twice":                 {told: []told{{origin: one}, {origin: one}}, want: one, found: true},
		"at the end of a span":       {told: []told{{origin: one}}, at: Span, want: one, found: true},
		"long ago":                   {told: []told{{origin: one}}, at: 2 * Span},
		"told again since":           {told: []told{{origin: one}, {at: Span, origin: one}}, at: 2*Span + 1, want: one, found: true},
		"two origins":                {told: []told{{origin: one}, {origin: two}}},
		"two origins, and one again": {told: []told{{origin: one}, {origin: two}, {origin: two}}},
		"two origins, spans apart":   {told: []told{{origin: one}, {at: Span, origin: two}}, at: Span},
		"clock steps back":           {told: []told{{at: time.Second, origin: one}}, want: one, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			var m Memory
			stream := Name{Request: "request"}.Stream()
			for _, told := range test.told {
				m.Note(start.Add(told.at), stream, told.origin)
			}
			origin, found := m.Find(start.Add(test.at), stream)
			require.Equal(t, test.found, found)
			require.Equal(t, test.want, origin)
			_, found = m.Find(start.Add(test.at), Name{Request: "another"}.Stream())
			require.False(t, found)
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var m Memory
	for i := range most {
		require.True(t, m.Note(start, uint64(i), one))
	}
	require.False(t, m.Note(start, most, one), "it cannot be remembered, and is not told on")
	_, found := m.Find(start, most)
	require.False(t, found)
	require.Equal(t, most, m.Size())
}

// Whatever is told in which groups, a message says the same of each stream.
func TestRecordsSurviveAMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		want := make(map[Record]int)
		for i := range rapid.IntRange(0, 20).Draw(t, "records") {
			record := Record{Stream: uint64(i + 1), Origin: Origin{
				Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), Version: fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version")),
			}}
			records = append(records, record)
			want[record]++
		}
		got := make(map[Record]int)
		for _, record := range FromWire(ToWire(records)) {
			got[record]++
		}
		require.Equal(t, want, got)
	})
}

func TestRecordsWithoutAVersionSayNothing(t *testing.T) {
	require.Empty(t, FromWire(ToWire([]Record{{Stream: 1, Origin: Origin{Service: "desk"}}})))
}
