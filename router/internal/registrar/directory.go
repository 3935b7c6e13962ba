package registrar

import (
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// maxDirectoryEntries bounds the endpoints in a directory; at about 300 bytes each it
// takes 1.2 MiB. The withdrawal of an endpoint beyond the bound is refused, and the
// endpoint stays listed until its lease expires.
const maxDirectoryEntries = 4096

// directory stores the last announcement of each endpoint for its time to live, because a
// withdrawal names only the endpoint and not its service.
type directory struct {
	lock    sync.Mutex
	entries map[string]directoryEntry
}

// directoryEntry is a stored announcement, without its load and cache events, and the
// end of its time to live.
type directoryEntry struct {
	message *messenger.Announcement
	until   time.Time
}

// store adds an announcement or replaces the previous one of the endpoint. It does
// nothing if the directory is full.
func (d *directory) store(now time.Time, message *messenger.Announcement) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]directoryEntry)
	}
	if _, found := d.entries[message.Id]; !found && len(d.entries) >= maxDirectoryEntries {
		d.expire(now)
		if len(d.entries) >= maxDirectoryEntries {
			return
		}
	}
	stored := &messenger.Announcement{
		Id: message.Id, Incarnation: message.Incarnation, Service: message.Service, Zone: message.Zone,
		Address: message.Address, Labels: message.Labels, Models: message.Models, Slots: message.Slots,
	}
	d.entries[message.Id] = directoryEntry{message: stored, until: now.Add(time.Duration(message.TtlMs) * time.Millisecond)}
}

// expire removes the entries whose time to live is over. The caller holds the lock.
func (d *directory) expire(now time.Time) {
	for id, entry := range d.entries {
		if entry.until.Before(now) {
			delete(d.entries, id)
		}
	}
}

// withdrawal returns the announcement that ends the endpoint's lease: leaving, with the
// shortest time to live. It returns false if the directory has no current announcement
// of this incarnation.
func (d *directory) withdrawal(now time.Time, id string, incarnation uint64) (*messenger.Announcement, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	entry, found := d.entries[id]
	if !found || entry.message.Incarnation != incarnation || entry.until.Before(now) {
		return nil, false
	}
	last := entry.message
	return &messenger.Announcement{
		Id: id, Incarnation: incarnation, Service: last.Service, Zone: last.Zone, Address: last.Address,
		Labels: last.Labels, Models: last.Models, Slots: last.Slots, Leaving: true, TtlMs: 1,
	}, true
}

// remove deletes the entry of an endpoint if it is of the given incarnation.
func (d *directory) remove(id string, incarnation uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if entry, found := d.entries[id]; found && entry.message.Incarnation == incarnation {
		delete(d.entries, id)
	}
}
