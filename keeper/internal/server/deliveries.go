package server

import (
	"net/netip"
	"sync"
	"time"
)

// deliveryTimes records up to which time each peer has received the heartbeats that arrived
// here. Sending all heartbeats of the last seconds with each poll would cost time proportional
// to the endpoints times the polls.
type deliveryTimes struct {
	mutex        sync.Mutex
	pending      map[netip.AddrPort]time.Time // start of the poll in flight
	acknowledged map[netip.AddrPort]time.Time // start of the last poll that was answered
	// epochs identify the runs of the peers that have answered each poll since they were told all that is
	// known of crashes. A peer that is missing did not answer, or has started again.
	epochs     map[netip.AddrPort]uint64
	occasional map[netip.AddrPort]*occasional
}

// begin records the start of a poll of a peer. It returns the start of the last poll that
// the peer answered, since heartbeats after it may be unknown to it, and whether the peer may have
// missed reports of crashes from before that.
func (t *deliveryTimes) begin(now time.Time, keeper netip.AddrPort) (since time.Time, missed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending == nil {
		t.pending = make(map[netip.AddrPort]time.Time)
		t.acknowledged = make(map[netip.AddrPort]time.Time)
		t.epochs = make(map[netip.AddrPort]uint64)
	}
	t.pending[keeper] = now
	_, told := t.epochs[keeper]
	return t.acknowledged[keeper], !told
}

// occasionalOf records when the peer was sent what is not in each report.
func (t *deliveryTimes) occasionalOf(keeper netip.AddrPort) *occasional {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.occasional == nil {
		t.occasional = make(map[netip.AddrPort]*occasional)
	}
	if t.occasional[keeper] == nil {
		t.occasional[keeper] = &occasional{}
	}
	return t.occasional[keeper]
}

// acknowledge records that a peer has received the content of the poll in flight, and by which of its runs.
func (t *deliveryTimes) acknowledge(keeper netip.AddrPort, epoch uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.acknowledged[keeper] = t.pending[keeper]
	if former, told := t.epochs[keeper]; told && former != epoch {
		delete(t.epochs, keeper) // this run was told the latest reports only
		t.acknowledged[keeper] = time.Time{}
		return
	}
	t.epochs[keeper] = epoch
}

// lose records that a peer does not answer. What is kept for it is dropped before it may be back.
func (t *deliveryTimes) lose(keeper netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.epochs, keeper)
}
