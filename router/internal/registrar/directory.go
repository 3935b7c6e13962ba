package registrar

import (
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// maxKnown bounds the endpoints that a router remembers; at about 300 bytes
// each this is 1.2 MiB. Beyond it a withdrawal may have to wait for the lease.
const maxKnown = 4096

// directory remembers the last announcement of each endpoint for its time to
// live, because a withdrawal names only the endpoint and not its service.
type directory struct {
	lock    sync.Mutex
	entries map[string]known
}

type known struct {
	message *messenger.Announcement
	until   time.Time
}

func (d *directory) remember(now time.Time, message *messenger.Announcement) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]known)
	}
	if _, found := d.entries[message.Id]; !found && len(d.entries) >= maxKnown {
		d.expire(now)
		if len(d.entries) >= maxKnown {
			return
		}
	}
	kept := &messenger.Announcement{
		Id: message.Id, Incarnation: message.Incarnation, Service: message.Service, Zone: message.Zone,
		Address: message.Address, Labels: message.Labels, Models: message.Models, Slots: message.Slots,
	}
	d.entries[message.Id] = known{message: kept, until: now.Add(time.Duration(message.TtlMs) * time.Millisecond)}
}

func (d *directory) expire(now time.Time) {
	for id, entry := range d.entries {
		if entry.until.Before(now) {
			delete(d.entries, id)
		}
	}
}

// withdrawal returns the announcement that ends the endpoint's lease: leaving,
// with the shortest time to live.
func (d *directory) withdrawal(now time.Time, id string, incarnation uint64) (*messenger.Announcement, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	entry, found := d.entries[id]
	if !found || entry.message.Incarnation != incarnation || entry.until.Before(now) {
		return nil, false
	}
	kept := entry.message
	return &messenger.Announcement{
		Id: id, Incarnation: incarnation, Service: kept.Service, Zone: kept.Zone, Address: kept.Address,
		Labels: kept.Labels, Models: kept.Models, Slots: kept.Slots, Leaving: true, TtlMs: 1,
	}, true
}

func (d *directory) forget(id string, incarnation uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if entry, found := d.entries[id]; found && entry.message.Incarnation == incarnation {
		delete(d.entries, id)
	}
}
