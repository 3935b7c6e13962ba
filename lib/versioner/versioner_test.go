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
		"an unknown origin":               {reports: []report{{origin: Origin{Service: "desk"}}}},
		"one, and an unknown origin":      {reports: []report{{origin: one}, {origin: Origin{Service: "desk"}}}},
		"an unknown origin, and one":      {reports: []report{{origin: Origin{Service: "desk"}}, {origin: one}}},
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
			origin, recorded := m.Find(start.Add(test.at), stream)
			require.Equal(t, test.found, origin.Known())
			require.Equal(t, test.want, origin)
			require.Equal(t, len(test.reports) > 0 && test.at < 2*Retention || test.found, recorded, "what is ambiguous is recorded as that")
			_, found := m.Find(start.Add(test.at), StreamID{Request: "another"}.Hash())
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
				Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")),
				Version: rapid.SampledFrom([]string{"", "v1", "v2", "v3"}).Draw(t, "version"),
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

// Guards against a record that other keepers drop, although it outlasts those that they have.
func TestRenewedRecordsArePassedOn(t *testing.T) {
	var m Store
	require.True(t, m.Add(start, 1, one))
	require.False(t, m.Add(start.Add(time.Second), 1, one))
	require.True(t, m.Add(start.Add(Retention), 1, one), "other stores would drop it with their older generation")
	require.False(t, m.Add(start.Add(Retention), 1, one))
	require.True(t, m.Add(start.Add(Retention), 1, two))
	require.False(t, m.Add(start.Add(Retention), 1, one), "nothing more is known of it")
}

// Guards against records that a keeper does not get after its restart.
func TestRecordsAreListed(t *testing.T) {
	var m Store
	m.Add(start, 1, one)
	m.Add(start, 2, one)
	m.Add(start, 2, two)
	m.Add(start.Add(Retention), 3, two)
	m.Add(start.Add(Retention), 1, one)
	require.ElementsMatch(t, []Record{{Stream: 1, Origin: one}, {Stream: 2}, {Stream: 3, Origin: two}}, m.Records(start.Add(Retention)))
}
