package passer

import "sync/atomic"

// heldShare is the part of an instance's memory that requests' bodies may take together.
const heldShare = 0.25

// HeldBytes returns how many bytes of bodies a router may hold that has so many megabytes.
func HeldBytes(megabytes int) int64 {
	return int64(heldShare * float64(megabytes<<20))
}

// holding bounds the bytes of requests' bodies that are held at a time. Each body may be as
// large as the configuration allows, and all of them together are larger than the instance.
type holding struct {
	most int64 // 0 for any number
	held atomic.Int64
}

// take holds so many bytes more, and tells whether there was room for them.
func (h *holding) take(bytes int64) bool {
	if held := h.held.Add(bytes); h.most > 0 && held > h.most {
		h.held.Add(-bytes)
		return false
	}
	return true
}

// give holds so many bytes less.
func (h *holding) give(bytes int64) {
	h.held.Add(-bytes)
}
