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

// Guards against a stream whose origin is reported wrongly, and against one that is dropped while
// it could still be resumed.
func TestStreamsAreRememberedOrUnknown(t *testing.T) {
	type report struct {
		at     time.Duration
		origin Origin
	}
	for name, test := range map[string]struct {
		reports []report
		at      time.Duration
		want    Origin
		found   bool
	}{
		"never recorded":                  {},
		"told":                            {reports: []report{{origin: one}}, want: one, found: true},
		"recorded twice":                  {reports: []report{{origin: one}, {origin: one}}, want: one, found: true},
		"at the end of a generation":      {reports: []report{{origin: one}}, at: Retention, want: one, found: true},
		"long ago":                        {reports: []report{{origin: one}}, at: 2 * Retention},
		"recorded again since":            {reports: []report{{origin: one}, {at: Retention, origin: one}}, at: 2*Retention + 1, want: one, found: true},
		"two origins":                     {reports: []report{{origin: one}, {origin: two}}},
		"two origins, and one again":      {reports: []report{{origin: one}, {origin: two}, {origin: two}}},
		"two origins, in two generations": {reports: []report{{origin: one}, {at: Retention, origin: two}}, at: Retention},
		"clock steps back":                {reports: []report{{at: time.Second, origin: one}}, want: one, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			var m Store
			stream := StreamID{Request: "request"}.Hash()
			for _, report := range test.reports {
				m.Add(start.Add(report.at), stream, report.origin)
			}
			origin, found := m.Find(start.Add(test.at), stream)
			require.Equal(t, test.found, found)
			require.Equal(t, test.want, origin)
			_, found = m.Find(start.Add(test.at), StreamID{Request: "another"}.Hash())
			require.False(t, found)
		})
	}
}

func TestStoreIsBounded(t *testing.T) {
	var m Store
	for i := range maxRecords {
		require.True(t, m.Add(start, uint64(i), one))
	}
	require.False(t, m.Add(start, maxRecords, one), "a stream that cannot be recorded is not reported as a change")
	_, found := m.Find(start, maxRecords)
	require.False(t, found)
	require.Equal(t, maxRecords, m.Size())
}

// Records of any streams and origins survive the conversion to a message and back.
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
