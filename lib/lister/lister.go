// Package lister maintains the registry of endpoints from their heartbeats.
//
// A List is a pure state machine: the caller passes in the received heartbeats and the
// time. Keepers fill a list from heartbeats and from their peers, routers from keepers.
//
// An instance may restart under the same id. Each start begins a new incarnation of it, with
// its own sequence numbers and states, identified by its start time.
//
// Invariants:
//   - only the latest incarnation of an instance is listed, regardless of the order in which
//     heartbeats of several incarnations arrive;
//   - within an incarnation only a heartbeat with a higher sequence number takes effect, so
//     that a delayed heartbeat changes nothing;
//   - the state of an incarnation only rises: a leaving incarnation never becomes ready again,
//     and a gone incarnation stays gone, whatever arrives later;
//   - at most one listed instance holds an address: the one with the latest start, where start
//     times are known;
//   - lists that received the same heartbeats, in any order, agree on every state.
//
// Memory: Expire and RemoveGone delete instances that have been gone or silent for long,
// and MaxListings bounds the rest.
package lister

import (
	"container/list"
	"net/netip"
	"slices"
	"time"
)

// MaxListings bounds the number of instances in a list. At 200 bytes each, a full list
// takes 6 MB; the largest planned fleet has 12,000 endpoints.
const MaxListings = 30000

// State is the state of one incarnation of an instance. It only rises.
type State uint8

// The states of an instance.
const (
	// Ready instances accept new requests.
	Ready State = iota + 1
	// Leaving instances get no new requests and finish those in flight.
	Leaving
	// Gone instances have ended, or another instance holds their address.
	Gone
)

// Listing describes one incarnation of an endpoint instance.
type Listing struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	Slots   int
	// Version is the version of the instance's software, empty if unknown.
	Version string
	// Disputed is set when the heartbeats of this incarnation reported several versions. Its version
	// is unknown from then on.
	Disputed bool
	// Started is the start time of this incarnation by the instance's own clock. It is zero
	// for an instance that does not report it; such an instance has a single incarnation.
	Started  time.Time
	Sequence uint64
	State    State
	// Silent is set when no heartbeat has arrived for SilentHeartbeats intervals.
	Silent bool
	// WasSilent is set when this list has seen the instance silent during this incarnation.
	WasSilent bool
	// ColdUntil is the time until which the instance can take only few requests, zero if it
	// has always been warm. The latest time reported for an incarnation applies.
	ColdUntil time.Time
}

// Cold reports whether the instance can take only few requests at the given time.
func (l *Listing) Cold(now time.Time) bool {
	return now.Before(l.ColdUntil)
}

// Healthy reports whether the instance is ready and has never been silent in this incarnation.
func (l *Listing) Healthy() bool {
	return l.State == Ready && !l.Silent && !l.WasSilent
}

// SilentHeartbeats is the number of missed heartbeats after which an instance is silent.
// Heartbeats may be delayed by seconds, so one or two missed ones are not significant.
const SilentHeartbeats = 4

// expiryHeartbeats is the number of missed heartbeats after which an instance is removed. An
// instance that still serves behind a partition announces itself again.
const expiryHeartbeats = 50

// maxFreshSequence is the highest sequence number with which an unknown instance that does
// not report its start takes over another instance's address immediately. A higher number
// may belong to a delayed heartbeat of an instance that has crashed since.
const maxFreshSequence = 2

// minColdExtension is the minimum by which a reported end of the cold phase must be later
// than the known one to count as a change. Heartbeats report the remaining time and have
// varying transit times.
const minColdExtension = 400 * time.Millisecond

// List is a list of endpoint instances. Its zero value is empty and usable; Interval must
// be set where silence is to be detected. It is not safe for concurrent use.
type List struct {
	// Interval is the time between two heartbeats of an instance.
	Interval time.Duration

	entries  map[string]*entry
	holders  map[netip.AddrPort]addressHolder
	revision uint64
	// changes holds the entries that have a revision, oldest change first, so that the cost
	// of reading the changes depends on their number and not on the length of the list.
	changes list.List
	cold    map[*entry]bool // entries that may be cold; Cold removes those that are warm again
}

// addressHolder is the latest-started incarnation that has used an address. It is kept, even
// after the incarnation has ended, for as long as delayed heartbeats may arrive: a delayed
// heartbeat of an earlier incarnation must not bring that incarnation back.
type addressHolder struct {
	id           string
	started      time.Time
	lastReceived time.Time
}

type entry struct {
	Listing
	lastReceived time.Time
	revision     uint64 // revision of the list at this entry's last change
	change       *list.Element
	pending      bool // not listed: its only heartbeat may be a delayed one of an instance that is gone
}

// Revision returns the number of the list's latest change.
func (l *List) Revision() uint64 {
	return l.revision
}

// ApplyHeartbeat applies a heartbeat and reports whether it changed anything other than the
// instance's sequence number.
func (l *List) ApplyHeartbeat(now time.Time, heartbeat Listing) bool {
	known, found := l.entries[heartbeat.ID]
	if !found {
		return l.add(now, heartbeat)
	}
	switch heartbeat.Started.Compare(known.Started) {
	case -1:
		if heartbeat.isTombstone() {
			return l.Leave(now, heartbeat.ID, time.Time{})
		}
		return l.applyStale(now, heartbeat)
	case 1:
		if known.isTombstone() && heartbeat.Sequence > maxFreshSequence && now.Sub(known.lastReceived) < 2*l.Interval {
			heartbeat.State = Gone // the end of this incarnation arrived before any of its heartbeats
		}
		return l.restart(now, known, heartbeat)
	default:
		return l.renew(now, known, heartbeat)
	}
}

// isTombstone reports whether this listing, received from another list, is a tombstone: it
// marks the end of an incarnation of which only the id is known.
func (l *Listing) isTombstone() bool {
	return l.State == Gone && l.Started.IsZero() && !l.Address.IsValid()
}

// applyStale applies a heartbeat of an incarnation earlier than the known one. It only
// contributes that this incarnation used the address.
func (l *List) applyStale(now time.Time, heartbeat Listing) bool {
	if heartbeat.Started.IsZero() {
		return false
	}
	before := l.revision
	l.claimAddress(now, heartbeat)
	return l.revision != before
}

// renew applies a further heartbeat of the known incarnation.
func (l *List) renew(now time.Time, known *entry, heartbeat Listing) bool {
	// Refresh may have advanced the sequence before the heartbeat's contents arrive.
	changed := heartbeat.Sequence >= known.Sequence && l.extendCold(known, heartbeat.ColdUntil)
	if heartbeat.Disputed && known.dispute() {
		changed = true // whichever heartbeats this list has missed
	}
	if heartbeat.Sequence <= known.Sequence && heartbeat.State <= known.State {
		if changed {
			l.markChanged(known)
		}
		return changed
	}
	known.lastReceived = now
	changed = changed || known.Silent || known.pending
	if !known.Address.IsValid() {
		// The end of this incarnation arrived before its first heartbeat.
		known.Address = heartbeat.Address
		l.claimAddress(now, known.Listing)
	}
	if known.pending {
		known.pending = false
		l.assignAddress(now, known)
	}
	known.Sequence = max(known.Sequence, heartbeat.Sequence)
	known.Silent = false
	if heartbeat.State > known.State {
		known.State = heartbeat.State
		changed = true
	}
	if known.State == Gone {
		l.releaseAddress(known)
	} else if known.update(heartbeat) {
		changed = true
	}
	if changed {
		l.markChanged(known)
	}
	return changed
}

// restart replaces an instance's entry with its next incarnation. The state of the previous
// incarnation, including leaving or gone, does not apply to the new one.
func (l *List) restart(now time.Time, known *entry, heartbeat Listing) bool {
	l.releaseAddress(known)
	known.Listing, known.lastReceived, known.pending = heartbeat, now, false
	l.indexCold(known)
	l.assignAddress(now, known)
	l.markChanged(known)
	return true
}

// update applies the fields that may change during an incarnation and reports whether any
// differed.
func (e *entry) update(heartbeat Listing) bool {
	changed := e.updateVersion(heartbeat.Version)
	if heartbeat.Service == "" || heartbeat.Service == e.Service && heartbeat.Slots == e.Slots {
		return changed
	}
	e.Service, e.Slots = heartbeat.Service, heartbeat.Slots
	return true
}

// updateVersion applies the reported version of the instance's software and reports whether it
// changed the entry. Some processes omit the version when they pass a listing on. An
// incarnation has a single version; after two different ones were reported it is unknown which
// one runs.
func (e *entry) updateVersion(version string) bool {
	switch {
	case version == "" || version == e.Version || e.Disputed:
		return false
	case e.Version == "":
		e.Version = version
		return true
	}
	return e.dispute()
}

// dispute makes the version of the instance's software unknown for the rest of the incarnation, and
// reports whether this changed the entry.
func (e *entry) dispute() bool {
	if e.Disputed {
		return false
	}
	e.Version, e.Disputed = "", true
	return true
}

// Refresh records that another list has received a heartbeat of an incarnation, and reports
// whether this ended the instance's silence. The first heartbeat of an incarnation arrives as
// a listing.
func (l *List) Refresh(now time.Time, id string, started time.Time, sequence uint64) bool {
	known, found := l.entries[id]
	if !found || !started.Equal(known.Started) || sequence <= known.Sequence {
		return false
	}
	known.Sequence, known.lastReceived = sequence, now
	if !known.Silent {
		return false
	}
	known.Silent = false
	l.markChanged(known)
	return true
}

// Leave marks an instance as gone because it announced its permanent departure, and reports
// whether this changed the list. The instance still finishes its requests in flight and only
// gets no new ones. Started is zero if the instance did not report which incarnation ends; the
// known incarnation is meant then.
func (l *List) Leave(now time.Time, id string, started time.Time) bool {
	known, found := l.entries[id]
	switch {
	case !found:
		// The entry keeps a delayed heartbeat from listing the instance again.
		return l.add(now, Listing{ID: id, Started: started, State: Gone})
	case started.After(known.Started):
		return l.restart(now, known, Listing{ID: id, Started: started, State: Gone})
	case !started.IsZero() && started.Before(known.Started) || known.State == Gone:
		return false
	}
	known.State, known.lastReceived = Gone, now
	l.releaseAddress(known)
	l.markChanged(known)
	return true
}

// Depart marks an incarnation as leaving because its departure is on record, and reports whether this
// changed the list. Unlike Leave, it never applies to another incarnation: the record may be older
// than the instance's latest start.
func (l *List) Depart(id string, started time.Time) bool {
	known, found := l.entries[id]
	if !found || known.State != Ready || !known.Started.Equal(started) {
		return false
	}
	known.State = Leaving
	l.markChanged(known)
	return true
}

func (l *List) add(now time.Time, heartbeat Listing) bool {
	if l.entries == nil {
		l.entries = make(map[string]*entry)
		l.holders = make(map[netip.AddrPort]addressHolder)
	}
	if len(l.entries) >= MaxListings {
		return false
	}
	added := &entry{Listing: heartbeat, lastReceived: now}
	l.entries[heartbeat.ID] = added
	l.indexCold(added)
	if l.addressDisputed(now, heartbeat) {
		// The address goes to the instance whose next heartbeat arrives first.
		added.pending = true
		return false
	}
	l.assignAddress(now, added)
	l.markChanged(added)
	return true
}

// addressDisputed reports whether another instance has recently used the heartbeat's address
// and neither start time is known, so that the order of the two cannot be determined.
func (l *List) addressDisputed(now time.Time, heartbeat Listing) bool {
	before, taken := l.holders[heartbeat.Address]
	if !taken || !before.started.IsZero() || !heartbeat.Started.IsZero() || heartbeat.Sequence <= maxFreshSequence {
		return false
	}
	e, listed := l.entries[before.id]
	return listed && now.Sub(e.lastReceived) < 2*l.Interval
}

// assignAddress assigns an entry its address; if a later-started incarnation has used the
// address, the entry is gone.
func (l *List) assignAddress(now time.Time, e *entry) {
	if !l.claimAddress(now, e.Listing) {
		e.State = Gone
	}
}

// claimAddress records that an incarnation uses an address, and returns false if a
// later-started incarnation has used it. The previous holder is marked gone: the platform
// reassigns an address only after its holder has ended.
func (l *List) claimAddress(now time.Time, heartbeat Listing) bool {
	if !heartbeat.Address.IsValid() || heartbeat.State == Gone && heartbeat.Started.IsZero() {
		return true
	}
	before, taken := l.holders[heartbeat.Address]
	if taken && heartbeat.Started.Before(before.started) {
		return false
	}
	if taken && before.id != heartbeat.ID {
		l.endHolder(before)
	}
	if !taken && len(l.holders) >= 2*MaxListings {
		return true
	}
	l.holders[heartbeat.Address] = addressHolder{id: heartbeat.ID, started: heartbeat.Started, lastReceived: now}
	return true
}

// endHolder marks an incarnation as gone because another incarnation has its address.
func (l *List) endHolder(before addressHolder) {
	e, found := l.entries[before.id]
	if found && e.Started.Equal(before.started) && e.State != Gone {
		e.State = Gone
		l.markChanged(e)
	}
}

// releaseAddress frees the address of an incarnation without a start time: the next heartbeat
// from that address belongs to another incarnation. Where start times are known, they decide.
func (l *List) releaseAddress(e *entry) {
	if e.Started.IsZero() && l.holders[e.Address].id == e.ID {
		delete(l.holders, e.Address)
	}
}

func (l *List) markChanged(e *entry) {
	l.revision++
	e.revision = l.revision
	if e.change == nil {
		e.change = l.changes.PushBack(e)
		return
	}
	l.changes.MoveToBack(e.change)
}

func (l *List) remove(e *entry) {
	l.releaseAddress(e)
	delete(l.entries, e.ID)
	delete(l.cold, e)
	if e.change != nil {
		l.changes.Remove(e.change)
	}
}

// Expire marks instances without recent heartbeats as silent, and removes those without a
// heartbeat for expiryBeats intervals. It reports whether the list's revision has changed.
func (l *List) Expire(now time.Time) bool {
	before := l.revision
	for _, e := range l.entries {
		silence := now.Sub(e.lastReceived)
		switch {
		case silence > expiryHeartbeats*l.Interval:
			l.remove(e)
		case silence > SilentHeartbeats*l.Interval && !e.Silent && e.State != Gone:
			e.Silent, e.WasSilent = true, true
			l.markChanged(e)
		}
	}
	for address, h := range l.holders {
		if _, listed := l.entries[h.id]; !listed && now.Sub(h.lastReceived) > expiryHeartbeats*l.Interval {
			delete(l.holders, address)
		}
	}
	return l.revision != before
}

// RemoveGone removes the instances that have been gone for longer than age, and returns their
// ids. It is for lists that receive no heartbeats themselves and so never call Expire.
func (l *List) RemoveGone(now time.Time, age time.Duration) []string {
	var dropped []string
	for id, e := range l.entries {
		if e.State == Gone && now.Sub(e.lastReceived) > age {
			l.remove(e)
			dropped = append(dropped, id)
		}
	}
	for address, h := range l.holders {
		if _, listed := l.entries[h.id]; !listed && now.Sub(h.lastReceived) > age {
			delete(l.holders, address)
		}
	}
	return dropped
}

// Each calls a function for each listing, in any order. It must not keep the listing.
func (l *List) Each(call func(*Listing)) {
	for _, e := range l.entries {
		if !e.pending {
			call(&e.Listing)
		}
	}
}

// Resend marks a service's ready instances as changed, so that Since and Select return them
// again.
func (l *List) Resend(service string) {
	for _, e := range l.entries {
		if e.Service == service && e.State == Ready {
			l.markChanged(e)
		}
	}
}

// Since returns the listings that have changed after a revision, oldest change first.
func (l *List) Since(revision uint64) []Listing {
	return l.Select(revision, func(*Listing) bool { return true })
}

// Select returns the listings that have changed after a revision and for which wanted returns
// true, oldest change first.
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

// Find returns the listing of an instance by its id.
func (l *List) Find(id string) (Listing, bool) {
	e, found := l.entries[id]
	if !found || e.pending {
		return Listing{}, false
	}
	return e.Listing, true
}
