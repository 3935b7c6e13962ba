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

// Guards against a router, or a keeper after a restart, that takes one of several reported versions for
// the instance's: only the list that got the heartbeats knew that they differed.
func TestDisputedVersionReachesOtherLists(t *testing.T) {
	now := time.Unix(1000, 0)
	source := &List{Interval: time.Second}
	source.ApplyHeartbeat(now, versionHeartbeat(1, 1, "v1"))
	source.ApplyHeartbeat(now, versionHeartbeat(1, 2, "v2"))
	disputed, _ := source.Find("a")
	for name, test := range map[string]struct {
		before  []Listing
		after   []Listing
		want    string
		ignored bool // the listing of the former incarnation changes nothing
	}{
		"nothing is known":              {},
		"the first is known":            {before: []Listing{versionHeartbeat(1, 1, "v1")}},
		"the second is known":           {before: []Listing{versionHeartbeat(1, 2, "v2")}},
		"a later heartbeat is known":    {before: []Listing{versionHeartbeat(1, 4, "v2")}},
		"a heartbeat follows":           {after: []Listing{versionHeartbeat(1, 3, "v2")}},
		"the next incarnation is known": {before: []Listing{versionHeartbeat(2, 1, "v2")}, want: "v2", ignored: true},
		"the next incarnation is told":  {after: []Listing{versionHeartbeat(2, 1, "v2")}, want: "v2"},
		"known without a version":       {before: []Listing{versionHeartbeat(1, 2, "")}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: time.Second}
			for _, heartbeat := range test.before {
				l.ApplyHeartbeat(now, heartbeat)
			}
			received, err := FromWire(ToWire(disputed, now), now)
			require.NoError(t, err)
			before := l.Revision()
			changed := l.ApplyHeartbeat(now, received)
			require.Equal(t, !test.ignored, changed, "followers are told")
			require.Equal(t, changed, l.Revision() > before)
			for _, heartbeat := range test.after {
				l.ApplyHeartbeat(now, heartbeat)
			}
			known, found := l.Find("a")
			require.True(t, found)
			require.Equal(t, test.want, known.Version)
		})
	}
}
