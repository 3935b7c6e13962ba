package driver_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
)

// discardTransport is the transport of a single keeper, which has no peers.
type discardTransport struct{}

func (discardTransport) Send([]replicator.Message) {}

// openFolder opens a single keeper with its files in a folder.
func openFolder(b *testing.B, folder *recorder.Folder, snapshotEntries int, now time.Time) *driver.Driver {
	b.Helper()
	d, err := driver.Open(driver.Config{
		Files: folder, Limits: recorder.Limits{ReserveBytes: 1 << 20}, Transport: discardTransport{},
		Random: rand.New(rand.NewPCG(1, 1)), NewID: func() replicator.ID { return 1 },
		SnapshotEntries: snapshotEntries, SnapshotBytes: 1 << 40,
	}, now)
	require.NoError(b, err)
	return d
}

// becomeLeader founds a group of one keeper and waits until it leads. It returns
// the advanced time.
func becomeLeader(b *testing.B, d *driver.Driver, now time.Time) time.Time {
	b.Helper()
	require.NoError(b, d.Bootstrap(now, replicator.Group{{ID: 1, Name: "keeper", Role: replicator.Voter}}))
	for range 10 {
		now = now.Add(time.Second)
		d.Tick(now)
		require.NoError(b, d.Flush(now))
	}
	require.Equal(b, replicator.Leader, d.Status(now).State)
	return now
}

// BenchmarkSyncs compares claims with one sync each against batches that share a
// sync. It uses a single keeper, so that only the disk and the encoding matter.
func BenchmarkSyncs(b *testing.B) {
	for _, batch := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			folder, err := recorder.OpenFolder(b.TempDir())
			require.NoError(b, err)
			d := openFolder(b, folder, 1<<30, time.Now())
			now := becomeLeader(b, d, time.Now())
			granted := 0
			b.ResetTimer()
			for i := range b.N {
				d.Propose(now, claimCommand(fmt.Sprint(i)), func(_ applier.Result, err error) {
					require.NoError(b, err)
					granted++
				})
				if (i+1)%batch == 0 || i+1 == b.N {
					require.NoError(b, d.Flush(now))
				}
			}
			b.StopTimer()
			require.Equal(b, b.N, granted)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			require.NoError(b, d.Close())
			require.NoError(b, folder.Close())
		})
	}
}

// BenchmarkRestart measures the start of a keeper after a number of changes, from
// opening its folder until all accepted changes are in force, and its heap.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{10, 1000, 25000} {
		for name, snapshotEntries := range map[string]int{"with": driver.DefaultSnapshotEntries, "without": 1 << 30} {
			b.Run(fmt.Sprintf("changes=%d/%s-snapshot", changes, name), func(b *testing.B) {
				benchmarkRestart(b, changes, snapshotEntries)
			})
		}
	}
}

func benchmarkRestart(b *testing.B, changes, snapshotEntries int) {
	path := b.TempDir()
	fill(b, path, changes, snapshotEntries)
	heap := uint64(0)
	for b.Loop() {
		folder, err := recorder.OpenFolder(path)
		require.NoError(b, err)
		now := time.Now()
		d := openFolder(b, folder, 1<<30, now)
		require.NoError(b, d.Flush(now))
		require.EqualValues(b, changes, d.State().Configuration().Revision())
		b.StopTimer()
		heap = heapInUse(d)
		require.NoError(b, d.Close())
		require.NoError(b, folder.Close())
		b.StartTimer()
	}
	b.ReportMetric(float64(heap)/(1<<20), "MiB")
}

// heapInUse returns the live heap while the driver is alive.
func heapInUse(d *driver.Driver) uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(d)
	return stats.HeapAlloc
}

// fill accepts changes to 320 workspaces, and takes snapshots as a keeper does.
func fill(b *testing.B, path string, changes, snapshotEntries int) {
	b.Helper()
	folder, err := recorder.OpenFolder(path)
	require.NoError(b, err)
	d := openFolder(b, folder, snapshotEntries, time.Now())
	now := becomeLeader(b, d, time.Now())
	for i := range changes {
		d.Change(now, describer.Change{ID: fmt.Sprint("change-", i), Author: "operator", Edits: []describer.Edit{{
			Object: describer.Object{Kind: describer.Workspace, Name: fmt.Sprint("workspace-", i%320)},
		}}}, false, func(_ configurer.Result, err error) { require.NoError(b, err) })
		require.NoError(b, d.Flush(now))
		snapshot, err := d.TakeSnapshot()
		require.NoError(b, err)
		if snapshot != nil {
			require.NoError(b, d.SnapshotWritten(snapshot, snapshot.Write()))
		}
	}
	// An idle keeper writes the commit index of the last change to disk.
	now = now.Add(2 * time.Second)
	d.Tick(now)
	require.NoError(b, d.Flush(now))
	require.NoError(b, d.Close())
	require.NoError(b, folder.Close())
}
