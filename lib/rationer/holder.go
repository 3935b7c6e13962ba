package rationer

import (
	"net/netip"
	"time"
)

// Holder keeps a router's leases on one endpoint, at most one of each keeper. The zero value has no
// leases. It is not safe for concurrent use.
type Holder struct {
	held map[netip.AddrPort]*heldLease
}

// heldLease is a lease of one keeper's part.
type heldLease struct {
	expires time.Time
	next    time.Time // earliest time of the next request
	pause   time.Duration
}

// RecordGrant records that a keeper has granted or renewed a lease for which the router asked at
// requestedAt. The first request under a new lease waits for a pause, because the previous
// holder of the part may have used it just before.
func (h *Holder) RecordGrant(now, requestedAt time.Time, keeper netip.AddrPort, pause, term time.Duration) {
	if h.held == nil {
		h.held = make(map[netip.AddrPort]*heldLease)
	}
	lease, found := h.held[keeper]
	if !found {
		lease = &heldLease{}
		h.held[keeper] = lease
	}
	if !now.Before(lease.expires) {
		lease.next = now.Add(pause)
	}
	lease.expires, lease.pause = requestedAt.Add(term), pause
}

// Ready reports whether a request may be sent now.
func (h *Holder) Ready(now time.Time) bool {
	return h.oldestReady(now) != nil
}

// Use records that a request is sent. It may be called only if Ready returns true.
func (h *Holder) Use(now time.Time) {
	oldest := h.oldestReady(now)
	if oldest == nil {
		return
	}
	early := time.Duration(earlyCredit * float64(oldest.pause))
	oldest.next = oldest.next.Add(oldest.pause)
	if earliest := now.Add(oldest.pause - early); oldest.next.Before(earliest) {
		oldest.next = earliest
	}
}

// oldestReady returns the lease that has been ready for the longest time, nil if none is ready.
func (h *Holder) oldestReady(now time.Time) *heldLease {
	var oldest *heldLease
	for keeper, lease := range h.held {
		switch {
		case !now.Before(lease.expires):
			delete(h.held, keeper)
		case now.Before(lease.next):
		case oldest == nil || lease.next.Before(oldest.next):
			oldest = lease
		}
	}
	return oldest
}
