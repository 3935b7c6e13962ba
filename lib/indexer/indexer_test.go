package indexer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

var start = time.Unix(1000, 0)

func holders(d *Directory, now time.Time, prefix uint64) []uint64 {
	var found []uint64
	d.Holders(now, prefix, func(endpoint uint64) { found = append(found, endpoint) })
	return found
}

func TestEntriesExpireAfterTheLastRefresh(t *testing.T) {
	var d Directory
	require.True(t, d.Merge(start, Holding{1, 10}))
	require.True(t, d.Merge(start, Holding{1, 11}))
	require.True(t, d.Merge(start.Add(4*time.Second), Holding{1, 11}))
	require.ElementsMatch(t, []uint64{10, 11}, holders(&d, start.Add(TTL-1), 1))
	require.Equal(t, []uint64{11}, holders(&d, start.Add(TTL), 1))
	require.Equal(t, 1, d.Len(start.Add(TTL)))
	require.Equal(t, start.Add(4*time.Second), d.newest.refreshed)
	require.Zero(t, d.Len(start.Add(4*time.Second+TTL)))
	require.Nil(t, d.newest)
	require.Empty(t, d.byPrefix)
}

// Guards against a hot prefix whose every use is passed on to every router.
func TestRecentEntriesAreNotRefreshed(t *testing.T) {
	var d Directory
	hot := Holding{1, 10}
	require.True(t, d.Due(start, hot))
	refreshes := 0
	for i := range 1000 {
		if d.Merge(start.Add(time.Duration(i)*10*time.Millisecond), hot) {
			refreshes++
		}
	}
	require.Equal(t, 7, refreshes, "in 10 s")
	_, revision := d.Since(start.Add(10*time.Second), 0)
	require.EqualValues(t, 7, revision)
	require.False(t, d.Due(start.Add(10*time.Second), hot))
	require.True(t, d.Due(start.Add(9*time.Second+RefreshInterval), hot))
}

func TestChangesSinceARevision(t *testing.T) {
	var d Directory
	for prefix := range uint64(5) {
		d.Merge(start, Holding{prefix, 10})
	}
	all, revision := d.Since(start, 0)
	require.Len(t, all, 5)
	none, same := d.Since(start, revision)
	require.Empty(t, none)
	require.Equal(t, revision, same)
	later := start.Add(mergeInterval)
	d.Merge(later, Holding{3, 10})
	d.Merge(later, Holding{7, 11})
	changed, revision := d.Since(later, revision)
	require.Equal(t, []Holding{{7, 11}, {3, 10}}, changed)
	again, _ := d.Since(later, revision+1000)
	require.Len(t, again, 6, "a revision of another directory")
	require.Equal(t, []Holding{{7, 11}, {3, 10}}, d.RefreshedSince(later, later))
	require.Empty(t, d.RefreshedSince(later, later.Add(1)))
	recent, _ := d.Since(start.Add(RefreshInterval), 0)
	require.Len(t, recent, 2, "old entries are not passed on as new ones")
	require.Len(t, d.RefreshedSince(start.Add(RefreshInterval), time.Time{}), 2)
}

// Guards against a receiver that falls behind and gets only entries that are about to expire.
func TestNewestEntriesAreReturned(t *testing.T) {
	var d Directory
	for prefix := range uint64(3 * MaxReported) {
		d.Merge(start, Holding{prefix, 10})
	}
	changed, revision := d.Since(start, 0)
	require.Len(t, changed, MaxReported)
	require.Equal(t, uint64(3*MaxReported-1), changed[0].Prefix)
	rest, _ := d.Since(start, revision)
	require.Empty(t, rest)
}

// Guards against a directory that fills the memory of a process when every prompt is new.
func TestDirectoryIsBounded(t *testing.T) {
	var d Directory
	for prefix := range uint64(3 * MaxEntries) {
		d.Merge(start, Holding{prefix, prefix % 140})
	}
	require.Equal(t, MaxEntries, d.Len(start))
	require.Len(t, d.byPrefix, MaxEntries)
	require.Empty(t, holders(&d, start, 0), "the oldest are removed")
	require.NotEmpty(t, holders(&d, start, 3*MaxEntries-1))
}

// Guards against fetches from an engine that has lost its cache.
func TestEndOfAnEndpointRemovesItsEntries(t *testing.T) {
	var d Directory
	for prefix := range uint64(100) {
		d.Merge(start, Holding{prefix, 10})
		d.Merge(start, Holding{prefix, 11})
	}
	d.RemoveEndpoint(10)
	require.Equal(t, 100, d.Len(start))
	require.Equal(t, []uint64{11}, holders(&d, start, 7))
	d.RemoveEndpoint(11)
	require.Zero(t, d.Len(start))
	require.Nil(t, d.newest)
	require.Nil(t, d.oldest)
	require.True(t, d.Merge(start, Holding{1, 10}), "a removed entry may come back")
}

// Guards against a list, a map and an index of one directory that disagree, over random sequences of
// calls that are compared with a simple model.
func TestDirectoryAgreesWithAModel(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		var d Directory
		model := make(map[Holding]time.Time)
		now := start
		for range 1000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			for holding, at := range model {
				if now.Sub(at) >= TTL {
					delete(model, holding)
				}
			}
			holding := Holding{random.Uint64N(20), 1 + random.Uint64N(5)}
			switch {
			case random.IntN(200) == 0:
				d.RemoveEndpoint(holding.Endpoint)
				for other := range model {
					if other.Endpoint == holding.Endpoint {
						delete(model, other)
					}
				}
			default:
				at, found := model[holding]
				refreshes := !found || now.Sub(at) >= mergeInterval
				require.Equal(t, refreshes, d.Merge(now, holding))
				if refreshes {
					model[holding] = now
				}
			}
			require.Equal(t, len(model), d.Len(now))
			for _, endpoint := range holders(&d, now, holding.Prefix) {
				require.Contains(t, model, Holding{holding.Prefix, endpoint})
			}
			recent := 0
			for _, at := range model {
				if now.Sub(at) < RefreshInterval {
					recent++
				}
			}
			require.Len(t, d.RefreshedSince(now, time.Time{}), recent)
		}
	}
}

func TestWire(t *testing.T) {
	require.Nil(t, ToWire(nil))
	holdings := []Holding{{5, 11}, {7, 10}, {6, 11}, {5, 10}}
	wire := ToWire(holdings)
	require.Zero(t, wire[1].GetEndpoint(), "as the entry before")
	require.Equal(t, []Holding{{5, 10}, {7, 10}, {5, 11}, {6, 11}}, FromWire(wire))
	require.Empty(t, FromWire([]*messenger.Holding{{Prefix: 5}}), "without an engine")
	require.Empty(t, FromWire(make([]*messenger.Holding, MaxReported+1)))
	long := make([]*messenger.Holding, 3*MaxReported)
	for i := range long {
		long[i] = &messenger.Holding{Prefix: uint64(i), Endpoint: 7}
	}
	require.Len(t, FromWire(long), MaxReported, "a faulty peer may send any number")
}

// Guards against answers whose size exceeds the bound on control traffic: a router has 29 KB/s.
func TestAnswerSize(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{32, 64, 158, 316, MaxReported} {
		holdings := make([]Holding, count)
		for i := range holdings {
			holdings[i] = Holding{random.Uint64(), 1 + mixed(random.Uint64N(140))}
		}
		size := proto.Size(&messenger.FollowResponse{Holdings: ToWire(holdings)})
		t.Logf("%d entries of 140 engines: %d bytes, %.1f each", count, size, float64(size)/float64(count))
		require.LessOrEqual(t, size, 22*count)
	}
}

func mixed(number uint64) uint64 { return number * 0x9e3779b97f4a7c15 }

// BenchmarkDirectory measures what a router does for each request, with 2,000 prefixes at three engines
// each: it looks up three prefixes and records one.
func BenchmarkDirectory(b *testing.B) {
	var x Exchange
	now := start
	i := uint64(0)
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		prefix := i % 2000
		for level := range uint64(3) {
			x.Holders(now, prefix+level, func(uint64) {})
		}
		x.Add(now, Holding{prefix, 1 + i%3}, true)
	}
}
