package proxier

import "sync/atomic"

// bodyMemoryFraction is the fraction of an instance's memory that the bodies of all requests may take together.
const bodyMemoryFraction = 0.25

// MaxTotalBodyBytes returns how many bytes of request bodies a router with that many megabytes of memory may hold.
func MaxTotalBodyBytes(megabytes int) int64 {
	return int64(bodyMemoryFraction * float64(megabytes<<20))
}

// bodyMemory limits the bytes of request bodies held at a time. Each body may be as large as the
// configuration allows, so that all bodies together could exceed the instance's memory.
type bodyMemory struct {
	limit    int64 // bytes; 0 for no limit
	reserved atomic.Int64
}

// reserve reserves memory, and reports whether it was available.
func (m *bodyMemory) reserve(bytes int64) bool {
	if reserved := m.reserved.Add(bytes); m.limit > 0 && reserved > m.limit {
		m.reserved.Add(-bytes)
		return false
	}
	return true
}

// release releases reserved memory.
func (m *bodyMemory) release(bytes int64) {
	m.reserved.Add(-bytes)
}
