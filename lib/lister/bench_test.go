package lister

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkSince queries a list of 3,000 endpoints for the only one that has changed, as each
// of hundreds of followers does at each wake-up. A scan of the whole list takes 32.8
// microseconds, with the changes kept in order 0.11.
func BenchmarkSince(b *testing.B) {
	l := List{Interval: time.Second}
	for i := range 3000 {
		l.ApplyHeartbeat(time.Unix(1000, 0), Listing{
			ID: fmt.Sprint("i-", i), Service: "engines", State: Ready, Sequence: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	after := l.Revision()
	l.Leave(time.Unix(1001, 0), "i-1500", time.Time{})
	for b.Loop() {
		l.Since(after)
	}
}
