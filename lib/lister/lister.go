// Package lister keeps the list of endpoints from their heartbeats.
//
// A List is a pure state machine: the host passes in what was heard and when.
// Keepers fill one from heartbeats and from one another, routers from keepers.
//
// Invariants:
//   - of one instance's heartbeats only a higher sequence counts, so that a late
//     one changes nothing;
//   - an instance's state only rises: one that leaves never becomes ready again,
//     and one that is gone stays gone, whatever arrives later;
//   - at most one listed instance holds an address;
//   - lists that have heard the same, in any order, agree on every state.
//
// Memory: Forget drops what has been gone or silent for long, and MaxListings
// bounds the rest.
package lister

import (
	"net/netip"
	"slices"
	"time"
)

// MaxListings bounds the instances of one list. At 200 bytes each that is 6 MB;
// the largest fleet planned for has 12,000 endpoints.
const MaxListings = 30000

// State is how far an instance is in its life. It only rises.
type State uint8

// The states of an instance.
const (
	// Ready takes work.
	Ready State = iota + 1
	// Leaving gets no new work and finishes what it has.
	Leaving
	// Gone has ended, or another instance has its address.
	Gone
)

// Listing is one instance of an endpoint.
type Listing struct {
	ID       string
	Service  string
	Zone     string
	Address  netip.AddrPort
	Slots    int
	Sequence uint64
	State    State
	// Silent tells that no heartbeat has come for SilentBeats intervals.
	Silent bool
}

// SilentBeats is how many missed heartbeats make an instance silent. Heartbeats
// may come seconds late, so that one or two missed ones say nothing.
const SilentBeats = 4

// lostBeats is how many missed heartbeats end an instance. One that still
// serves behind a partition announces itself again.
const lostBeats = 50

// freshSequence is the highest sequence with which an instance that nobody has
// heard of takes the address of another at once. A higher one may be a late
// heartbeat of an instance that has crashed since.
const freshSequence = 2

// List is a list of endpoints. Its zero value is empty and usable; Interval has
// to be set where silence matters. It is not safe for concurrent use.
type List struct {
	// Interval is the pause between an instance's heartbeats.
	Interval time.Duration

	entries map[string]*entry
	holders map[netip.AddrPort]string
	last    uint64
}

type entry struct {
	Listing
	heard    time.Time
	revision uint64 // of the list, when this entry changed last
	pending  bool   // it may be a late heartbeat of an instance that is gone
}

// Revision is the number of the list's latest change.
func (l *List) Revision() uint64 {
	return l.last
}

// Beat takes a heartbeat and tells whether it changed anything but the
// instance's sequence.
func (l *List) Beat(now time.Time, beat Listing) bool {
	known, found := l.entries[beat.ID]
	if !found {
		return l.add(now, beat)
	}
	if beat.Sequence <= known.Sequence && beat.State <= known.State {
		return false
	}
	known.heard = now
	changed := known.Silent || known.pending
	if known.pending {
		known.pending = false
		l.hold(known)
	}
	known.Sequence = max(known.Sequence, beat.Sequence)
	known.Silent = false
	if beat.State > known.State {
		known.State = beat.State
		changed = true
	}
	if known.State == Gone {
		l.release(known)
	} else if known.update(beat) {
		changed = true
	}
	if changed {
		l.touch(known)
	}
	return changed
}

// update takes what an instance may say anew, and tells whether it differs.
func (e *entry) update(beat Listing) bool {
	if beat.Service == "" || beat.Service == e.Service && beat.Slots == e.Slots {
		return false
	}
	e.Service, e.Slots = beat.Service, beat.Slots
	return true
}

// Heard takes the news that another list has had an instance's heartbeat.
func (l *List) Heard(now time.Time, id string, sequence uint64) bool {
	known, found := l.entries[id]
	if !found || sequence <= known.Sequence {
		return false
	}
	known.Sequence, known.heard = sequence, now
	if !known.Silent {
		return false
	}
	known.Silent = false
	l.touch(known)
	return true
}

// Leave notes that an instance says it leaves for good. It still finishes what
// it has, so that it only gets no new work.
func (l *List) Leave(now time.Time, id string) bool {
	known, found := l.entries[id]
	if !found {
		// Remembered, so that a late heartbeat does not list it again.
		return l.add(now, Listing{ID: id, State: Gone})
	}
	if known.State == Gone {
		return false
	}
	known.State, known.heard = Gone, now
	l.release(known)
	l.touch(known)
	return true
}

func (l *List) add(now time.Time, beat Listing) bool {
	if l.entries == nil {
		l.entries = make(map[string]*entry)
		l.holders = make(map[netip.AddrPort]string)
	}
	if len(l.entries) >= MaxListings {
		return false
	}
	added := &entry{Listing: beat, heard: now}
	l.entries[beat.ID] = added
	holder, taken := l.entries[l.holders[beat.Address]]
	if taken && beat.Sequence > freshSequence && now.Sub(holder.heard) < 2*l.Interval {
		// Two instances claim the address. The one that is heard again has it.
		added.pending = true
		return false
	}
	l.hold(added)
	l.touch(added)
	return true
}

// hold gives an address to an instance. Whoever had it before is gone: its
// address is given out again only after its end.
func (l *List) hold(e *entry) {
	if e.State == Gone || !e.Address.IsValid() {
		return
	}
	if before, taken := l.entries[l.holders[e.Address]]; taken && before != e {
		before.State = Gone
		l.touch(before)
	}
	l.holders[e.Address] = e.ID
}

func (l *List) release(e *entry) {
	if l.holders[e.Address] == e.ID {
		delete(l.holders, e.Address)
	}
}

func (l *List) touch(e *entry) {
	l.last++
	e.revision = l.last
}

// Pass lets time pass: instances that are not heard of become silent and are
// forgotten in the end. It tells whether the list has changed.
func (l *List) Pass(now time.Time) bool {
	before := l.last
	for id, e := range l.entries {
		quiet := now.Sub(e.heard)
		switch {
		case quiet > lostBeats*l.Interval:
			l.release(e)
			delete(l.entries, id)
		case quiet > SilentBeats*l.Interval && !e.Silent && e.State != Gone:
			e.Silent = true
			l.touch(e)
		}
	}
	return l.last != before
}

// Since returns what has changed behind a revision, oldest change first.
func (l *List) Since(revision uint64) []Listing {
	var changed []*entry
	for _, e := range l.entries {
		if e.revision > revision && !e.pending {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return int(int64(a.revision) - int64(b.revision)) })
	listings := make([]Listing, 0, len(changed))
	for _, e := range changed {
		listings = append(listings, e.Listing)
	}
	return listings
}

// Find returns an instance by its id.
func (l *List) Find(id string) (Listing, bool) {
	e, found := l.entries[id]
	if !found || e.pending {
		return Listing{}, false
	}
	return e.Listing, true
}
