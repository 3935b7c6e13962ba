// Package lister keeps the list of endpoints from their heartbeats.
//
// A List is a pure state machine: the host passes in what was heard and when.
// Keepers fill one from heartbeats and from one another, routers from keepers.
//
// An instance may start again under its id. Each start begins a life, which has
// sequences and states of its own and is told from the others by when it began.
//
// Invariants:
//   - of one instance's lives only the latest is listed, in whatever order the
//     heartbeats of several arrive;
//   - of one life's heartbeats only a higher sequence counts, so that a late one
//     changes nothing;
//   - a life's state only rises: one that leaves never becomes ready again, and one
//     that is gone stays gone, whatever arrives later;
//   - at most one listed instance holds an address, of those whose start is known
//     the one that started last;
//   - lists that have heard the same, in any order, agree on every state.
//
// Memory: Forget drops what has been gone or silent for long, and MaxListings
// bounds the rest.
package lister

import (
	"container/list"
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

// Listing is one life of an instance of an endpoint.
type Listing struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	Slots   int
	// Version is that of the instance's software, empty if it is not known.
	Version string
	// Started is when this life began, by the instance's own clock. It is zero for
	// an instance that does not tell: such a one has one life only.
	Started  time.Time
	Sequence uint64
	State    State
	// Silent tells that no heartbeat has come for SilentBeats intervals.
	Silent bool
	// WasSilent tells that it has been so in this life, as this list knows.
	WasSilent bool
	// ColdUntil is until when it bears few requests, zero if it has been warm all along. Of
	// what is told of one life the latest counts.
	ColdUntil time.Time
}

// Cold tells whether it bears few requests now.
func (l *Listing) Cold(now time.Time) bool {
	return now.Before(l.ColdUntil)
}

// Well tells whether nothing speaks or ever spoke against giving it work.
func (l *Listing) Well() bool {
	return l.State == Ready && !l.Silent && !l.WasSilent
}

// SilentBeats is how many missed heartbeats make an instance silent. Heartbeats
// may come seconds late, so that one or two missed ones say nothing.
const SilentBeats = 4

// lostBeats is how many missed heartbeats end an instance. One that still
// serves behind a partition announces itself again.
const lostBeats = 50

// freshSequence is the highest sequence with which an instance that does not tell
// its start, and that nobody has heard of, takes the address of another at once. A
// higher one may be a late heartbeat of an instance that has crashed since.
const freshSequence = 2

// coldSlack is how much later the end of being cold has to be told to be news. Heartbeats
// tell what is left, and take different times to arrive.
const coldSlack = 400 * time.Millisecond

// List is a list of endpoints. Its zero value is empty and usable; Interval has
// to be set where silence matters. It is not safe for concurrent use.
type List struct {
	// Interval is the pause between an instance's heartbeats.
	Interval time.Duration

	entries map[string]*entry
	holders map[netip.AddrPort]holder
	last    uint64
	// changes holds the entries that have a revision, the oldest change first: who asks
	// for what is new pays for that and not for the length of the list.
	changes list.List
	cold    map[*entry]bool // those that were cold when they were looked at last
}

// holder is the life that started last of those that have used an address. It is
// remembered for as long as its heartbeats may still arrive late, also when it has
// ended: a late heartbeat of a life before it must not bring that one back.
type holder struct {
	id      string
	started time.Time
	heard   time.Time
}

type entry struct {
	Listing
	heard    time.Time
	revision uint64 // of the list, when this entry changed last
	change   *list.Element
	pending  bool // it may be a late heartbeat of an instance that is gone
	disagree bool // its heartbeats named several versions of its software
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
	switch beat.Started.Compare(known.Started) {
	case -1:
		if beat.unnamed() {
			return l.Leave(now, beat.ID, time.Time{})
		}
		return l.late(now, beat)
	case 1:
		if known.unnamed() && beat.Sequence > freshSequence && now.Sub(known.heard) < 2*l.Interval {
			beat.State = Gone // the life whose end was heard of before any of its heartbeats
		}
		return l.restart(now, known, beat)
	default:
		return l.renew(now, known, beat)
	}
}

// unnamed tells whether this is the end of a life that nothing else was known of,
// as another list tells it.
func (l *Listing) unnamed() bool {
	return l.State == Gone && l.Started.IsZero() && !l.Address.IsValid()
}

// late takes a heartbeat of an earlier life than the known one. All that it still
// tells is who had the address.
func (l *List) late(now time.Time, beat Listing) bool {
	if beat.Started.IsZero() {
		return false
	}
	before := l.last
	l.claim(now, beat)
	return l.last != before
}

// renew takes a further heartbeat of a known life.
func (l *List) renew(now time.Time, known *entry, beat Listing) bool {
	// Another keeper's word that a heartbeat came may be here before what it told.
	chilled := beat.Sequence >= known.Sequence && l.chill(known, beat.ColdUntil)
	if beat.Sequence <= known.Sequence && beat.State <= known.State {
		if chilled {
			l.touch(known)
		}
		return chilled
	}
	known.heard = now
	changed := known.Silent || known.pending || chilled
	if !known.Address.IsValid() {
		// Its end was heard of before its first heartbeat.
		known.Address = beat.Address
		l.claim(now, known.Listing)
	}
	if known.pending {
		known.pending = false
		l.hold(now, known)
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

// restart replaces what is known of an instance by its next life. What the one
// before had said, that it leaves or is gone included, says nothing of this one.
func (l *List) restart(now time.Time, known *entry, beat Listing) bool {
	l.release(known)
	known.Listing, known.heard, known.pending, known.disagree = beat, now, false, false
	l.noteCold(known)
	l.hold(now, known)
	l.touch(known)
	return true
}

// update takes what an instance may say anew, and tells whether it differs.
func (e *entry) update(beat Listing) bool {
	changed := e.updateVersion(beat.Version)
	if beat.Service == "" || beat.Service == e.Service && beat.Slots == e.Slots {
		return changed
	}
	e.Service, e.Slots = beat.Service, beat.Slots
	return true
}

// updateVersion takes the version of an instance's software, which some of those who tell of it
// leave out. One life has one: of an instance that named two nobody knows which runs.
func (e *entry) updateVersion(version string) bool {
	switch {
	case version == "" || version == e.Version || e.disagree:
		return false
	case e.Version == "":
		e.Version = version
	default:
		e.Version, e.disagree = "", true
	}
	return true
}

// Heard takes the news that another list has had a heartbeat of a life. The first
// heartbeat of a life comes as a listing.
func (l *List) Heard(now time.Time, id string, started time.Time, sequence uint64) bool {
	known, found := l.entries[id]
	if !found || !started.Equal(known.Started) || sequence <= known.Sequence {
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
// it has, so that it only gets no new work. Started is zero if the instance did not
// tell which life ends; it is then the one that is known.
func (l *List) Leave(now time.Time, id string, started time.Time) bool {
	known, found := l.entries[id]
	switch {
	case !found:
		// Remembered, so that a late heartbeat does not list it again.
		return l.add(now, Listing{ID: id, Started: started, State: Gone})
	case started.After(known.Started):
		return l.restart(now, known, Listing{ID: id, Started: started, State: Gone})
	case !started.IsZero() && started.Before(known.Started) || known.State == Gone:
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
		l.holders = make(map[netip.AddrPort]holder)
	}
	if len(l.entries) >= MaxListings {
		return false
	}
	added := &entry{Listing: beat, heard: now}
	l.entries[beat.ID] = added
	l.noteCold(added)
	if l.disputed(now, beat) {
		// The one that is heard again has the address.
		added.pending = true
		return false
	}
	l.hold(now, added)
	l.touch(added)
	return true
}

// disputed tells whether another instance has used an address of late, and nothing
// tells which of the two was there first.
func (l *List) disputed(now time.Time, beat Listing) bool {
	before, taken := l.holders[beat.Address]
	if !taken || !before.started.IsZero() || !beat.Started.IsZero() || beat.Sequence <= freshSequence {
		return false
	}
	e, listed := l.entries[before.id]
	return listed && now.Sub(e.heard) < 2*l.Interval
}

// hold gives an address to a life, unless one that started later has had it.
func (l *List) hold(now time.Time, e *entry) {
	if !l.claim(now, e.Listing) {
		e.State = Gone
	}
}

// claim notes that a life uses an address, and tells whether no later one has.
// Whoever had it before is gone: an address is given out again only after its
// holder's end.
func (l *List) claim(now time.Time, beat Listing) bool {
	if !beat.Address.IsValid() || beat.State == Gone && beat.Started.IsZero() {
		return true
	}
	before, taken := l.holders[beat.Address]
	if taken && beat.Started.Before(before.started) {
		return false
	}
	if taken && before.id != beat.ID {
		l.end(before)
	}
	if !taken && len(l.holders) >= 2*MaxListings {
		return true
	}
	l.holders[beat.Address] = holder{id: beat.ID, started: beat.Started, heard: now}
	return true
}

// end notes that a life is over because another has its address.
func (l *List) end(before holder) {
	e, found := l.entries[before.id]
	if found && e.Started.Equal(before.started) && e.State != Gone {
		e.State = Gone
		l.touch(e)
	}
}

// release frees the address of a life that does not tell its start: whoever
// announces itself there is another one. Where starts are told they decide.
func (l *List) release(e *entry) {
	if e.Started.IsZero() && l.holders[e.Address].id == e.ID {
		delete(l.holders, e.Address)
	}
}

func (l *List) touch(e *entry) {
	l.last++
	e.revision = l.last
	if e.change == nil {
		e.change = l.changes.PushBack(e)
		return
	}
	l.changes.MoveToBack(e.change)
}

func (l *List) forget(e *entry) {
	l.release(e)
	delete(l.entries, e.ID)
	delete(l.cold, e)
	if e.change != nil {
		l.changes.Remove(e.change)
	}
}

// Pass lets time pass: instances that are not heard of become silent and are
// forgotten in the end. It tells whether the list has changed.
func (l *List) Pass(now time.Time) bool {
	before := l.last
	for _, e := range l.entries {
		quiet := now.Sub(e.heard)
		switch {
		case quiet > lostBeats*l.Interval:
			l.forget(e)
		case quiet > SilentBeats*l.Interval && !e.Silent && e.State != Gone:
			e.Silent, e.WasSilent = true, true
			l.touch(e)
		}
	}
	for address, h := range l.holders {
		if _, listed := l.entries[h.id]; !listed && now.Sub(h.heard) > lostBeats*l.Interval {
			delete(l.holders, address)
		}
	}
	return l.last != before
}

// Drop forgets what has been gone for a time, and returns the ids. It is for a list that lets no
// time pass because it hears no heartbeats itself.
func (l *List) Drop(now time.Time, age time.Duration) []string {
	var dropped []string
	for id, e := range l.entries {
		if e.State == Gone && now.Sub(e.heard) > age {
			l.forget(e)
			dropped = append(dropped, id)
		}
	}
	for address, h := range l.holders {
		if _, listed := l.entries[h.id]; !listed && now.Sub(h.heard) > age {
			delete(l.holders, address)
		}
	}
	return dropped
}

// Services returns how many ready instances each service has.
func (l *List) Services() map[string]int {
	services := make(map[string]int)
	for _, e := range l.entries {
		if e.State == Ready && !e.pending {
			services[e.Service]++
		}
	}
	return services
}

// Retell makes a service's instances news again.
func (l *List) Retell(service string) {
	for _, e := range l.entries {
		if e.Service == service && e.State == Ready {
			l.touch(e)
		}
	}
}

// Since returns what has changed behind a revision, oldest change first.
func (l *List) Since(revision uint64) []Listing {
	return l.Select(revision, func(*Listing) bool { return true })
}

// Select returns those of the changes behind a revision that are wanted, oldest change first.
func (l *List) Select(revision uint64, wanted func(*Listing) bool) []Listing {
	var listings []Listing
	for at := l.changes.Back(); at != nil; at = at.Prev() {
		e, known := at.Value.(*entry)
		if !known || e.revision <= revision {
			break
		}
		if !e.pending && wanted(&e.Listing) {
			listings = append(listings, e.Listing)
		}
	}
	slices.Reverse(listings)
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
