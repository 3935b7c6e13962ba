package server

import (
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// broadcast notifies all waiting goroutines of a change by closing a channel. Its zero value is
// ready for use.
type broadcast struct {
	lock    sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (b *broadcast) next() <-chan struct{} {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify closes the channels that next has returned since the last notification.
func (b *broadcast) notify() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.changed != nil {
		close(b.changed)
	}
	b.changed = make(chan struct{})
}

const (
	// maxRouters bounds the number of routers in the table.
	maxRouters = 4096
	// routerRetention is how long a router is listed after its last poll.
	routerRetention = 10 * time.Minute
)

// routerTable holds the state of the routers that poll this keeper. It is soft state: each
// poll reports it anew.
type routerTable struct {
	lock   sync.Mutex
	byName map[string]*routerState
}

// routerState is the content of a router's last poll.
type routerState struct {
	zone               string
	inForce            uint64 // revision of the configuration that the router uses
	lastPoll           time.Time
	quarantineRevision uint64 // revision of the quarantine list sent last
}

// observe records a poll. It ignores polls without a router name.
func (r *routerTable) observe(now time.Time, request *messenger.WatchRequest) {
	if request.GetRouter() == "" {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	known := r.get(request.GetRouter())
	known.zone, known.inForce, known.lastPoll = request.GetZone(), request.GetInForce(), now
}

// get returns the entry of a router and adds it if it is missing, evicting another one if the
// table is full. The caller holds the lock.
func (r *routerTable) get(name string) *routerState {
	if r.byName == nil {
		r.byName = make(map[string]*routerState)
	}
	known, found := r.byName[name]
	if found {
		return known
	}
	if len(r.byName) >= maxRouters {
		r.evictOldest()
	}
	known = &routerState{}
	r.byName[name] = known
	return known
}

// evictOldest deletes the router that has not polled for the longest time.
func (r *routerTable) evictOldest() {
	oldest := ""
	for name, at := range r.byName {
		if oldest == "" || at.lastPoll.Before(r.byName[oldest].lastPoll) {
			oldest = name
		}
	}
	delete(r.byName, oldest)
}

// hasQuarantine reports whether this revision of the list of fingerprints has been sent to a
// router. It is also true for an unknown router. If the answer with the list was lost, the
// answer to the router's next poll contains the list again.
func (r *routerTable) hasQuarantine(name string, revision uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known, found := r.byName[name]
	return !found || known.quarantineRevision == revision
}

// quarantineSent records the revision of the quarantine list that was sent to a router.
func (r *routerTable) quarantineSent(name string, revision uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if known, found := r.byName[name]; found {
		known.quarantineRevision = revision
	}
}

// list returns the routers that polled within routerRetention, and deletes the others.
func (r *routerTable) list(now time.Time) []*messenger.RouterSeen {
	r.lock.Lock()
	defer r.lock.Unlock()
	var listed []*messenger.RouterSeen
	for name, at := range r.byName {
		age := now.Sub(at.lastPoll)
		if age > routerRetention {
			delete(r.byName, name)
			continue
		}
		listed = append(listed, &messenger.RouterSeen{
			Router: name, Zone: at.zone, InForce: at.inForce, AgeMs: uint32(age / time.Millisecond),
		})
	}
	return listed
}
