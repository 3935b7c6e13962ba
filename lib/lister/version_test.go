package lister

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func versionHeartbeat(number int, sequence uint64, version string) Listing {
	b := incarnationHeartbeat("a", number, sequence, Ready)
	b.Version = version
	return b
}

// Guards against resuming a stream on a different software version than it started on, after a
// delayed heartbeat, or a process that does not pass the version on, has changed the listing.
func TestVersionIsThatOfTheIncarnationOrUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		beats []Listing
		want  string
	}{
		"told":                            {beats: []Listing{versionHeartbeat(1, 1, "v1")}, want: "v1"},
		"not reported":                    {beats: []Listing{versionHeartbeat(1, 1, "")}},
		"reported later":                  {beats: []Listing{versionHeartbeat(1, 1, ""), versionHeartbeat(1, 2, "v1")}, want: "v1"},
		"omitted by another process":      {beats: []Listing{versionHeartbeat(1, 1, "v1"), versionHeartbeat(1, 2, "")}, want: "v1"},
		"the next life's":                 {beats: []Listing{versionHeartbeat(1, 9, "v1"), versionHeartbeat(2, 1, "v2")}, want: "v2"},
		"the next life reports none":      {beats: []Listing{versionHeartbeat(1, 9, "v1"), versionHeartbeat(2, 1, "")}},
		"of a former life, delayed":       {beats: []Listing{versionHeartbeat(2, 1, "v2"), versionHeartbeat(1, 10, "v1")}, want: "v2"},
		"of this life, delayed":           {beats: []Listing{versionHeartbeat(1, 4, "v1"), versionHeartbeat(1, 3, "v2")}, want: "v1"},
		"two in one life":                 {beats: []Listing{versionHeartbeat(1, 1, "v1"), versionHeartbeat(1, 2, "v2")}},
		"two in one life, and one again":  {beats: []Listing{versionHeartbeat(1, 1, "v1"), versionHeartbeat(1, 2, "v2"), versionHeartbeat(1, 3, "v2")}},
		"two in one life, then a new one": {beats: []Listing{versionHeartbeat(1, 1, "v1"), versionHeartbeat(1, 2, "v2"), versionHeartbeat(2, 1, "v2")}, want: "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := &List{Interval: time.Second}
			for _, beat := range test.beats {
				l.ApplyHeartbeat(now, beat)
			}
			known, found := l.Find("a")
			require.True(t, found)
			require.Equal(t, test.want, known.Version)
			decoded, err := FromWire(ToWire(known, now), now)
			require.NoError(t, err)
			require.Equal(t, test.want, decoded.Version)
		})
	}
}
