package rationer

import (
	"net/netip"
	"time"
)

// Holder holds a router's leases on one endpoint, one for each keeper that has given it its
// part. The zero value has none. It is not safe for concurrent use.
type Holder struct {
	held map[netip.AddrPort]*holding
}

type holding struct {
	until time.Time
	next  time.Time // the earliest moment of the next request
	pause time.Duration
}

// Take notes that a keeper has given or renewed a lease that was asked for at a time. The
// first request under a new one waits for a pause, because the one that had the part before
// may have used it only just.
func (h *Holder) Take(now, asked time.Time, keeper netip.AddrPort, pause, term time.Duration) {
	if h.held == nil {
		h.held = make(map[netip.AddrPort]*holding)
	}
	known, found := h.held[keeper]
	if !found {
		known = &holding{}
		h.held[keeper] = known
	}
	if !now.Before(known.until) {
		known.next = now.Add(pause)
	}
	known.until, known.pause = asked.Add(term), pause
}

// Ready tells whether a request may be sent now.
func (h *Holder) Ready(now time.Time) bool {
	return h.first(now) != nil
}

// Use notes that a request is sent. It may be called only if Ready tells so.
func (h *Holder) Use(now time.Time) {
	first := h.first(now)
	if first == nil {
		return
	}
	early := time.Duration(credit * float64(first.pause))
	first.next = first.next.Add(first.pause)
	if least := now.Add(first.pause - early); first.next.Before(least) {
		first.next = least
	}
}

// first returns the lease that has been ready for longest, nil if none is.
func (h *Holder) first(now time.Time) *holding {
	var first *holding
	for keeper, known := range h.held {
		switch {
		case !now.Before(known.until):
			delete(h.held, keeper)
		case now.Before(known.next):
		case first == nil || known.next.Before(first.next):
			first = known
		}
	}
	return first
}
