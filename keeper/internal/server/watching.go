package server

import (
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// watch wakes everyone who waits for a change.
type watch struct {
	lock    sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (w *watch) next() <-chan struct{} {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

func (w *watch) wake() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

const (
	// maxRouters bounds the table of routers.
	maxRouters = 4096
	// routerMemory is how long a router that is no longer heard is listed.
	routerMemory = 10 * time.Minute
)

// routers is what this keeper knows of the routers that poll it. It is soft:
// each poll tells it again.
type routers struct {
	lock  sync.Mutex
	known map[string]*router
}

type router struct {
	zone       string
	inForce    uint64
	heard      time.Time
	quarantine uint64 // the revision of the list that was sent last
}

// hear notes what a router told in its poll.
func (r *routers) hear(now time.Time, request *messenger.WatchRequest) {
	if request.GetRouter() == "" {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	known := r.get(request.GetRouter())
	known.zone, known.inForce, known.heard = request.GetZone(), request.GetInForce(), now
}

func (r *routers) get(name string) *router {
	if r.known == nil {
		r.known = make(map[string]*router)
	}
	known, found := r.known[name]
	if found {
		return known
	}
	if len(r.known) >= maxRouters {
		r.forgetOldest()
	}
	known = &router{}
	r.known[name] = known
	return known
}

func (r *routers) forgetOldest() {
	oldest := ""
	for name, at := range r.known {
		if oldest == "" || at.heard.Before(r.known[oldest].heard) {
			oldest = name
		}
	}
	delete(r.known, oldest)
}

// quarantine tells whether a router has been sent this revision of the list of
// fingerprints. If that answer was lost, its next poll's answer has the list.
func (r *routers) quarantine(name string, revision uint64) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known, found := r.known[name]
	return !found || known.quarantine == revision
}

func (r *routers) quarantineSent(name string, revision uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if known, found := r.known[name]; found {
		known.quarantine = revision
	}
}

// list returns the routers heard of late.
func (r *routers) list(now time.Time) []*messenger.RouterSeen {
	r.lock.Lock()
	defer r.lock.Unlock()
	var listed []*messenger.RouterSeen
	for name, at := range r.known {
		age := now.Sub(at.heard)
		if age > routerMemory {
			delete(r.known, name)
			continue
		}
		listed = append(listed, &messenger.RouterSeen{
			Router: name, Zone: at.zone, InForce: at.inForce, AgeMs: uint32(age / time.Millisecond),
		})
	}
	return listed
}
