package proxier

import "sync/atomic"

const (
	// bodyMemoryFraction is the fraction of an instance's memory that the bodies of all requests may take together.
	bodyMemoryFraction = 0.25
	// answerMemoryFraction is the fraction of an instance's memory that the buffered parts of all answers may
	// take together. They have a bound of their own: otherwise clients that send much and wait could cut off
	// the answers of others.
	answerMemoryFraction = 0.125
)

// MaxTotalBodyBytes returns how many bytes of request bodies a router with that many megabytes of memory may hold.
func MaxTotalBodyBytes(megabytes int) int64 {
	return int64(bodyMemoryFraction * float64(megabytes<<20))
}

// MaxTotalAnswerBytes returns how many bytes of answers a router with that many megabytes of memory may hold.
func MaxTotalAnswerBytes(megabytes int) int64 {
	return int64(answerMemoryFraction * float64(megabytes<<20))
}

// memory limits the bytes that requests hold at a time, either of their bodies or of their answers. Each of
// them is bounded, but all together could exceed the instance's memory.
type memory struct {
	limit    int64 // bytes; 0 for no limit
	reserved atomic.Int64
}

// reserve reserves memory, and reports whether it was available. The sum never includes a reservation that
// fails: a large one would make small ones beside it fail.
func (m *memory) reserve(bytes int64) bool {
	for {
		reserved := m.reserved.Load()
		if m.limit > 0 && reserved+bytes > m.limit {
			return false
		}
		if m.reserved.CompareAndSwap(reserved, reserved+bytes) {
			return true
		}
	}
}

// release releases reserved memory.
func (m *memory) release(bytes int64) {
	m.reserved.Add(-bytes)
}
