package versioner

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkAdd records streams as a keeper does and reports the memory per record.
func BenchmarkAdd(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := &Store{}
	now := time.Unix(1000, 0)
	added := 0
	for b.Loop() {
		if added < maxRecords {
			m.Add(now, uint64(added)*0x9e3779b97f4a7c15, one)
			added++
			continue
		}
		m.Find(now, uint64(added))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(m.Size(), 1)), "B/record")
}
