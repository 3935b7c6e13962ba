package versioner

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkNote notes streams as a keeper gets them, and tells what each costs in memory.
func BenchmarkNote(b *testing.B) {
	var before, behind runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := &Memory{}
	now := time.Unix(1000, 0)
	noted := 0
	for b.Loop() {
		if noted < most {
			m.Note(now, uint64(noted)*0x9e3779b97f4a7c15, one)
			noted++
			continue
		}
		m.Find(now, uint64(noted))
	}
	runtime.GC()
	runtime.ReadMemStats(&behind)
	b.ReportMetric(float64(behind.HeapAlloc-before.HeapAlloc)/float64(max(m.Size(), 1)), "B/record")
}
